/** What the daemons of a play told, added up as it is told, so that a play of hundreds of daemons stays quick. */
import {emptyPrefillSample, type PrefillSample} from '@shallotpass/core/placement/engine-latency.js';

export const countedRanks = 3;

export type ToldLoad = {
	readonly running: number;
	readonly pending: readonly number[];
	readonly reading: PrefillSample;
};

/** What a daemon told last. */
export type Told = {
	readonly loads: ReadonlyMap<string, ToldLoad>;
	readonly tokensPerSecond: number;
};

export const nothingTold: Told = {loads: new Map(), tokensPerSecond: 0};

const noLoad: ToldLoad = {running: 0, pending: Array.from<number>({length: countedRanks}).fill(0), reading: emptyPrefillSample};

const addLoad = (left: ToldLoad, right: ToldLoad, sign: 1 | -1): ToldLoad => ({
	running: left.running + (sign * right.running),
	pending: left.pending.map((tokens, rank) => tokens + (sign * right.pending[rank]!)),
	reading: {tokens: left.reading.tokens + (sign * right.reading.tokens), ms: left.reading.ms + (sign * right.reading.ms)},
});

export type ReportBoard = {
	/** Takes what a daemon tells now in the place of what it told before. */
	readonly replace: (before: Told, told: Told) => void;
	/** Load of an engine by all but the daemon that told this. */
	readonly sumWithout: (engine: string, told: Told) => ToldLoad;
	readonly getTokensPerSecond: () => number;
};

export const openReportBoard = (): ReportBoard => {
	const loads = new Map<string, ToldLoad>();
	let tokensPerSecond = 0;
	const add = (told: Told, sign: 1 | -1): void => {
		tokensPerSecond += sign * told.tokensPerSecond;
		for (const [engine, load] of told.loads) {
			loads.set(engine, addLoad(loads.get(engine) ?? noLoad, load, sign));
		}
	};

	return {
		replace(before, told) {
			add(before, -1);
			add(told, 1);
		},
		sumWithout(engine, told) {
			const all = loads.get(engine) ?? noLoad;
			const own = told.loads.get(engine);
			return own === undefined ? all : addLoad(all, own, -1);
		},
		getTokensPerSecond: () => tokensPerSecond,
	};
};
