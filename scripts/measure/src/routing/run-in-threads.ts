/** Distributes runs over worker threads. Each run is deterministic on its own, so their order does not matter. */
import {fileURLToPath} from 'node:url';
import {parentPort, workerData} from 'node:worker_threads';
import {runInWorkers} from '../run-in-workers.js';
import {findPolicy} from './policy-table.js';
import {runDeployment, type RunPlan} from './run-deployment.js';
import {type RunSummary} from './summarize-run.js';

export type ThreadJob = {readonly plan: RunPlan; readonly policy: string};

const jobKind = 'routing_run';

/** Runs all jobs and returns their summaries in the order of the jobs. */
export const runInThreads = async (jobs: readonly ThreadJob[]): Promise<RunSummary[]> => runInWorkers({file: fileURLToPath(import.meta.url), kind: jobKind, jobs});

const data = workerData as {readonly kind: string; readonly job: ThreadJob} | undefined;
if (parentPort !== null && data?.kind === jobKind) {
	const {plan, policy} = data.job;
	parentPort.postMessage(await runDeployment(plan, findPolicy(policy).make));
}
