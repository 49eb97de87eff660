/** Simulated model engine: runs its batch steps on a virtual clock and reports what callers receive. */
import {type EngineCore, makeEngineCore} from '@shallotpass/stand-ins/engine-core.js';
import {type ManualClock} from '../routing/manual-clock.js';
import {type Customer} from './customer.js';
import {type SimulatedCall} from './make-calls.js';

/** Result of one run of a call on an engine. */
export type RunResult = {
	readonly kind: 'complete' | 'lost';
	/** Time of the first event; undefined if there was none. */
	readonly firstEventAt: number | undefined;
	readonly longestPauseMs: number;
	/** Tokens that were produced for the call, including those of its earlier runs. */
	readonly tokens: number;
};

export type VirtualEngine = {
	readonly id: string;
	readonly zone: string;
	readonly isReclaimable: boolean;
	readonly core: EngineCore;
	/** Whether the end of the engine was announced, so that it accepts no new calls. */
	isLeaving: boolean;
	hasEnded: boolean;
	readonly run: (call: SimulatedCall, options: RunOptions) => void;
	/** Ends the engine at once. Its running calls are lost. */
	readonly end: () => void;
};

export type RunOptions = {
	/** Tokens that earlier runs of the call produced. */
	readonly previousTokens: number;
	readonly onFirstEvent: () => void;
	readonly onEnd: (result: RunResult) => void;
};

type Run = RunOptions & {
	readonly call: SimulatedCall;
	tokens: number;
	firstEventAt: number | undefined;
	lastEventAt: number;
	longestPauseMs: number;
};

export type EngineOptions = {
	readonly id: string;
	readonly zone: string;
	readonly isReclaimable: boolean;
	/** Factor by which the processing times are multiplied. */
	readonly slowness: number;
	readonly engine: Customer['engine'];
	readonly clock: ManualClock;
};

export const startVirtualEngine = ({id, zone, isReclaimable, slowness, engine, clock}: EngineOptions): VirtualEngine => {
	const core = makeEngineCore({
		stepMs: engine.stepMs * slowness,
		sequenceMs: engine.sequenceMs * slowness,
		prefillTokenMs: slowness / engine.tokensPerMs,
		prefillChunkTokens: engine.chunkTokens,
		mostRunning: engine.places,
		cacheTokens: engine.cacheTokens,
		paceMs: 0,
		loadLagMs: 0,
	});
	const runs = new Map<string, Run>();
	let isStepping = false;

	const endRun = (run: Run, kind: RunResult['kind']): void => {
		runs.delete(run.call.id);
		run.onEnd({
			kind, firstEventAt: run.firstEventAt, longestPauseMs: run.longestPauseMs, tokens: run.tokens,
		});
	};

	/** Counts a token. The caller receives an event for every `eventTokens` tokens, and one for the rest at the end. */
	const recordToken = (run: Run, isLast: boolean): void => {
		run.tokens++;
		if (run.tokens % run.call.kind.eventTokens !== 0 && !isLast) {
			return;
		}

		if (run.firstEventAt === undefined) {
			run.firstEventAt = clock.now();
			run.onFirstEvent();
		} else {
			run.longestPauseMs = Math.max(run.longestPauseMs, clock.now() - run.lastEventAt);
		}

		run.lastEventAt = clock.now();
	};

	const step = (): void => {
		const result = self.hasEnded ? undefined : core.step();
		if (result === undefined) {
			isStepping = false;
			return;
		}

		clock.schedule(clock.now() + result.durationMs, () => {
			for (const token of result.tokens) {
				const run = runs.get(token.id);
				if (run === undefined) {
					continue;
				}

				recordToken(run, token.isLast);
				if (token.isLast) {
					endRun(run, 'complete');
				}
			}

			step();
		});
	};

	const self: VirtualEngine = {
		id,
		zone,
		isReclaimable,
		core,
		isLeaving: false,
		hasEnded: false,
		run(call, options) {
			runs.set(call.id, {
				...options, call, tokens: options.previousTokens, firstEventAt: undefined, lastEventAt: clock.now(), longestPauseMs: 0,
			});
			core.submit({
				id: call.id, prompt: '', chain: call.blockHashes, promptTokens: call.promptTokens, priority: call.kind.rank, maxTokens: call.answerTokens, resumeAfter: options.previousTokens - 1,
			});
			if (!isStepping) {
				isStepping = true;
				step();
			}
		},
		end() {
			self.hasEnded = true;
			for (const run of runs.values()) {
				endRun(run, 'lost');
			}
		},
	};
	return self;
};
