/** Runs the stand-in engine's core on a manual clock: one batch step after the other while it has jobs. */
import {makeEngineCore, type EngineCounts, type EngineJob} from '@shallotpass/stand-ins/engine-core.js';
import {type CacheEvent} from '@shallotpass/backends/engine-events.js';
import {type LoadReport} from '@shallotpass/core/routing/types.js';
import {type PlacedEngine} from './deployment.js';
import {type ManualClock} from './manual-clock.js';

export type RunOutcome = {
	/** Number of tokens generated in this run. */
	readonly tokens: number;
	readonly firstTokenAt: number | undefined;
	readonly isComplete: boolean;
};

export type SimulatedEngine = PlacedEngine & {
	/** Resolves when the answer is complete or the engine is terminated. */
	readonly run: (job: EngineJob, onFirstToken: () => void) => Promise<RunOutcome>;
	/** Terminates the engine and its running jobs. */
	readonly terminate: () => void;
	/** Returns the last load report, which is up to `loadLagMs` old. */
	readonly getLoadReport: () => LoadReport;
	/** Returns the cache events since the last call. */
	readonly takeEvents: () => CacheEvent[];
	readonly counts: Readonly<EngineCounts>;
	/** Whether the engine ever received a job of the request. */
	readonly hasReceived: (requestId: string) => boolean;
};

type RunningJob = {
	tokens: number;
	firstTokenAt: number | undefined;
	readonly onFirstToken: () => void;
	readonly resolve: (outcome: RunOutcome) => void;
};

export const makeSimulatedEngine = (placed: PlacedEngine, clock: ManualClock): SimulatedEngine => {
	const {name: _name, price: _price, ...parameters} = placed.machine;
	const {loadLagMs} = parameters;
	const core = makeEngineCore({...parameters, paceMs: 0});
	const jobs = new Map<string, RunningJob>();
	const seenRequestIds = new Set<string>();
	let isStepping = false;
	let isTerminated = false;
	let report: LoadReport = {...core.getLoad(), at: clock.now()};

	const finish = (id: string, isComplete: boolean): void => {
		const job = jobs.get(id);
		jobs.delete(id);
		job?.resolve({tokens: job.tokens, firstTokenAt: job.firstTokenAt, isComplete});
	};

	const handleToken = (id: string, isLast: boolean): void => {
		const job = jobs.get(id);
		if (job === undefined) {
			return;
		}

		job.tokens++;
		if (job.firstTokenAt === undefined) {
			job.firstTokenAt = clock.now();
			job.onFirstToken();
		}

		if (isLast) {
			finish(id, true);
		}
	};

	const step = (): void => {
		const result = isTerminated ? undefined : core.step();
		isStepping = result !== undefined;
		if (result === undefined) {
			return;
		}

		clock.schedule(clock.now() + result.durationMs, () => {
			for (const {id, isLast} of result.tokens) {
				handleToken(id, isLast);
			}

			step();
		});
	};

	return {
		...placed,
		async run(job, onFirstToken) {
			return new Promise<RunOutcome>(resolve => {
				if (isTerminated) {
					resolve({tokens: 0, firstTokenAt: undefined, isComplete: false});
					return;
				}

				seenRequestIds.add(job.id.slice(0, job.id.lastIndexOf('-')));
				jobs.set(job.id, {
					tokens: 0, firstTokenAt: undefined, onFirstToken, resolve,
				});
				core.submit(job);
				if (!isStepping) {
					step();
				}
			});
		},
		terminate() {
			isTerminated = true;
			for (const id of jobs.keys()) {
				core.cancel(id);
				finish(id, false);
			}
		},
		getLoadReport() {
			if (clock.now() - report.at >= loadLagMs) {
				report = {...core.getLoad(), at: clock.now()};
			}

			return report;
		},
		takeEvents: () => core.takeEvents().map(({kind, blocks}) => ({kind, blocks: blocks.map(block => BigInt(`0x${block}`))})),
		counts: core.counts,
		hasReceived: requestId => seenRequestIds.has(requestId),
	};
};
