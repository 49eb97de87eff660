/** Runs days in threads; each is deterministic by itself, so their order does not matter. */
import {fileURLToPath} from 'node:url';
import {parentPort, Worker, workerData} from 'node:worker_threads';
import {runDay, type DayPlan, type DaySummary} from './run-day.js';

type ThreadData = {readonly kind: 'fleet_day'; readonly plan: DayPlan};

const runOne = async (plan: DayPlan): Promise<DaySummary> => new Promise((resolve, reject) => {
	const data: ThreadData = {kind: 'fleet_day', plan};
	const worker = new Worker(fileURLToPath(import.meta.url), {workerData: data});
	worker.once('message', resolve);
	worker.once('error', reject);
});

/** At most as many at once as there are ways of sizing a fleet and deployments: eight. */
export const runDays = async (plans: readonly DayPlan[]): Promise<DaySummary[]> => Promise.all(plans.map(async plan => runOne(plan)));

const data = workerData as ThreadData | undefined;
if (parentPort !== null && data?.kind === 'fleet_day') {
	parentPort.postMessage(await runDay(data.plan));
}
