/** Totals of the load reports of all daemons. They are updated with each report, because summing up hundreds of reports for every call would be slow. */
import {emptyPrefillSample, type PrefillSample} from '@shallotpass/core/placement/engine-latency.js';

/** Number of priority ranks that are counted separately. Lower priorities count as the last rank. */
export const rankCount = 3;

export type ReportedLoad = {
	readonly running: number;
	/** Prompt tokens that engines have not processed yet, by rank. */
	readonly pendingTokens: readonly number[];
	readonly prefill: PrefillSample;
};

/** Latest load report of a daemon. */
export type DaemonReport = {
	/** Load that the daemon has sent to each engine. */
	readonly loads: ReadonlyMap<string, ReportedLoad>;
	/** Prompt tokens per second that the daemon sends to engines. */
	readonly tokensPerSecond: number;
};

export const emptyReport: DaemonReport = {loads: new Map(), tokensPerSecond: 0};

const emptyLoad: ReportedLoad = {running: 0, pendingTokens: Array.from<number>({length: rankCount}).fill(0), prefill: emptyPrefillSample};

const addLoad = (left: ReportedLoad, right: ReportedLoad, sign: 1 | -1): ReportedLoad => ({
	running: left.running + (sign * right.running),
	pendingTokens: left.pendingTokens.map((tokens, rank) => tokens + (sign * right.pendingTokens[rank]!)),
	prefill: {tokens: left.prefill.tokens + (sign * right.prefill.tokens), ms: left.prefill.ms + (sign * right.prefill.ms)},
});

export type ReportTotals = {
	/** Replaces the previous report of a daemon with its current one. */
	readonly replace: (previous: DaemonReport, current: DaemonReport) => void;
	/** Returns the load of an engine without the part that the given report contains. */
	readonly sumExcluding: (engine: string, report: DaemonReport) => ReportedLoad;
	readonly getTokensPerSecond: () => number;
};

export const makeReportTotals = (): ReportTotals => {
	const loads = new Map<string, ReportedLoad>();
	let tokensPerSecond = 0;
	const addReport = (report: DaemonReport, sign: 1 | -1): void => {
		tokensPerSecond += sign * report.tokensPerSecond;
		for (const [engine, load] of report.loads) {
			loads.set(engine, addLoad(loads.get(engine) ?? emptyLoad, load, sign));
		}
	};

	return {
		replace(previous, current) {
			addReport(previous, -1);
			addReport(current, 1);
		},
		sumExcluding(engine, report) {
			const total = loads.get(engine) ?? emptyLoad;
			const own = report.loads.get(engine);
			return own === undefined ? total : addLoad(total, own, -1);
		},
		getTokensPerSecond: () => tokensPerSecond,
	};
};
