/** Earlier sums of the results of a rollout, from which the lease holder sees versions that turn bad late. */
import {type RolloutResults} from './types.js';

export type ResultsHistory = ReadonlyArray<{readonly at: number; readonly results: RolloutResults}>;

export const emptyHistory: ResultsHistory = [];

/** Sums of the last `recentMs` are kept at this interval, older ones at the longer one. */
const recentIntervalMs = 500;
const recentMs = 6000;
const olderIntervalMs = 3000;
const retentionMs = 60_000;

/** Keeps about 30 sums. With one each 0.5 s for 120 s, a judgement took 38 ms, three times a second. */
const removeOld = (history: ResultsHistory, now: number): ResultsHistory => {
	let lastAt = Number.NEGATIVE_INFINITY;
	return history.filter(({at}) => {
		const isKept = at > now - retentionMs && (at > now - recentMs || at >= lastAt + olderIntervalMs);
		lastAt = isKept ? at : lastAt;
		return isKept;
	});
};

/** Records a sum. `now` is in true time. */
export const recordHistory = (history: ResultsHistory, results: RolloutResults, now: number): ResultsHistory => {
	const last = history.at(-1);
	if (last !== undefined && last.results.offset !== results.offset) {
		return [{at: now, results}];
	}

	if (last !== undefined && now < last.at + recentIntervalMs) {
		return history;
	}

	return [...removeOld(history, now), {at: now, results}];
};
