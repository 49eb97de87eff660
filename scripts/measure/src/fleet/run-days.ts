/** Simulates days of demand in worker threads. Each day is deterministic, so the order in which they run does not change their results. */
import {fileURLToPath} from 'node:url';
import {parentPort, Worker, workerData} from 'node:worker_threads';
import {type DayPlan} from './day-simulation.js';
import {runDay} from './run-day.js';
import {type DaySummary} from './summarize-day.js';

type ThreadData = {readonly kind: 'fleet_day'; readonly plan: DayPlan};

const runInWorker = async (plan: DayPlan): Promise<DaySummary> => new Promise((resolve, reject) => {
	const data: ThreadData = {kind: 'fleet_day', plan};
	const worker = new Worker(fileURLToPath(import.meta.url), {workerData: data});
	worker.once('message', resolve);
	worker.once('error', reject);
});

/** Runs all plans concurrently, each in its own thread. An experiment with four policies and two deployments needs eight. */
export const runDays = async (plans: readonly DayPlan[]): Promise<DaySummary[]> => Promise.all(plans.map(async plan => runInWorker(plan)));

const data = workerData as ThreadData | undefined;
if (parentPort !== null && data?.kind === 'fleet_day') {
	parentPort.postMessage(await runDay(data.plan));
}
