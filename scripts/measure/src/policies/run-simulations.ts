/** Runs simulations in worker threads. Each simulation is deterministic, so the order in which they run does not change their results. */
import {fileURLToPath} from 'node:url';
import {parentPort, workerData} from 'node:worker_threads';
import {runInWorkers} from '../run-in-workers.js';
import {type Customer} from './customer.js';
import {simulatePolicies, type SimulationReport} from './simulate-policies.js';
import {policySets} from './policies.js';

export type SimulationJob = {
	readonly customer: Customer;
	/** Name of a policy set. */
	readonly policy: string;
	readonly seed: number;
};

const jobKind = 'policies_play';

/** Runs all jobs and returns their reports in the order of the jobs. */
export const runSimulations = async (jobs: readonly SimulationJob[]): Promise<SimulationReport[]> => runInWorkers({file: fileURLToPath(import.meta.url), kind: jobKind, jobs});

// This file is also the entry point of the worker threads.
const data = workerData as {readonly kind: string; readonly job: SimulationJob} | undefined;
if (parentPort !== null && data?.kind === jobKind) {
	const {customer, policy, seed} = data.job;
	parentPort.postMessage(simulatePolicies(customer, policySets[policy]!, seed));
}
