/** Runs jobs in worker threads, one job per thread, and leaves two processors free. */
import {availableParallelism} from 'node:os';
import {Worker} from 'node:worker_threads';

export type WorkerJobs<Job> = {
	/** Module that reads a job from its worker data and posts its result as one message. */
	readonly file: string;
	/** Passed in the worker data, so that the module knows that it runs as a worker. */
	readonly kind: string;
	readonly jobs: readonly Job[];
};

/** Runs all jobs and returns their results in the order of the jobs. */
export const runInWorkers = async <Job, Result>({file, kind, jobs}: WorkerJobs<Job>): Promise<Result[]> => {
	const runOne = async (job: Job): Promise<Result> => new Promise((resolve, reject) => {
		const worker = new Worker(file, {workerData: {kind, job}});
		worker.once('message', resolve);
		worker.once('error', reject);
	});

	const results: Result[] = [];
	let next = 0;
	const runJobs = async (): Promise<void> => {
		while (next < jobs.length) {
			const index = next++;
			const result = await runOne(jobs[index]!); // eslint-disable-line no-await-in-loop -- each lane runs one worker at a time
			results[index] = result;
		}
	};

	await Promise.all(Array.from({length: Math.max(1, availableParallelism() - 2)}, async () => runJobs()));
	return results;
};
