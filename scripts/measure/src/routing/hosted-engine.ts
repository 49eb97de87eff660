/** The stand-in engine's core on a controlled clock: it runs its steps one after the other while it has work. */
import {makeEngineCore, type EngineCounts, type EngineJob} from '@shallotpass/stand-ins/engine-core.js';
import {type CacheEvent} from '@shallotpass/backends/engine-events.js';
import {type LoadReport} from '@shallotpass/core/routing/types.js';
import {type PlacedEngine} from './deployment.js';
import {type ManualClock} from './manual-clock.js';

export type RunOutcome = {
	/** Tokens that came in this run. */
	readonly tokens: number;
	readonly firstTokenAt: number | undefined;
	readonly isWhole: boolean;
};

export type HostedEngine = PlacedEngine & {
	/** Resolves when the answer is whole, or when the engine is taken away. */
	readonly run: (job: EngineJob, onFirstToken: () => void) => Promise<RunOutcome>;
	/** Ends what runs there. */
	readonly takeAway: () => void;
	/** The report, as old as the engine's lag makes it. */
	readonly getReport: () => LoadReport;
	/** Cache events since the last call. */
	readonly takeEvents: () => CacheEvent[];
	readonly counts: Readonly<EngineCounts>;
	/** Whether it was ever sent a job whose id begins so. */
	readonly hasSeen: (requestId: string) => boolean;
};

type OpenJob = {
	tokens: number;
	firstTokenAt: number | undefined;
	readonly onFirstToken: () => void;
	readonly resolve: (outcome: RunOutcome) => void;
};

export const makeHostedEngine = (placed: PlacedEngine, clock: ManualClock): HostedEngine => {
	const {name: _name, price: _price, ...parameters} = placed.machine;
	const {loadLagMs} = parameters;
	const core = makeEngineCore({...parameters, paceMs: 0});
	const jobs = new Map<string, OpenJob>();
	const seen = new Set<string>();
	let isStepping = false;
	let isGone = false;
	let report: LoadReport = {...core.getLoad(), at: clock.now()};

	const finish = (id: string, isWhole: boolean): void => {
		const job = jobs.get(id);
		jobs.delete(id);
		job?.resolve({tokens: job.tokens, firstTokenAt: job.firstTokenAt, isWhole});
	};

	const takeToken = (id: string, isLast: boolean): void => {
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
		const result = isGone ? undefined : core.step();
		isStepping = result !== undefined;
		if (result === undefined) {
			return;
		}

		clock.schedule(clock.now() + result.durationMs, () => {
			for (const {id, isLast} of result.tokens) {
				takeToken(id, isLast);
			}

			step();
		});
	};

	return {
		...placed,
		async run(job, onFirstToken) {
			return new Promise<RunOutcome>(resolve => {
				if (isGone) {
					resolve({tokens: 0, firstTokenAt: undefined, isWhole: false});
					return;
				}

				seen.add(job.id.slice(0, job.id.lastIndexOf('-')));
				jobs.set(job.id, {
					tokens: 0, firstTokenAt: undefined, onFirstToken, resolve,
				});
				core.submit(job);
				if (!isStepping) {
					step();
				}
			});
		},
		takeAway() {
			isGone = true;
			for (const id of jobs.keys()) {
				core.cancel(id);
				finish(id, false);
			}
		},
		getReport() {
			if (clock.now() - report.at >= loadLagMs) {
				report = {...core.getLoad(), at: clock.now()};
			}

			return report;
		},
		takeEvents: () => core.takeEvents().map(({kind, blocks}) => ({kind, blocks: blocks.map(block => BigInt(`0x${block}`))})),
		counts: core.counts,
		hasSeen: requestId => seen.has(requestId),
	};
};
