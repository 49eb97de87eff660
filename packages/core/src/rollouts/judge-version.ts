/**
 * Weighs the evidence that the new version is worse than the old one, on each route, over the same time: failures, slow answers, and
 * the mean duration. Each is a sequential likelihood ratio test. If the version is at most as bad as the test tolerates, the ratio
 * exceeds a bound B at any time with a probability of at most 1 / B, however often one looks (Ville's inequality).
 *
 * A test restarts with each kept sum of the history, as some versions turn bad late, and the largest ratio counts.
 */
import {getDurationSums, sizeClassCount, toLogUnits} from './duration-sums.js';
import {
	addCells, countSent, emptyRouteResults, getRouteResults, subtractResults,
} from './record-result.js';
import {type ResultsHistory} from './results-history.js';
import {type RolloutResults, type RouteResults, type VersionResults} from './types.js';

/**
 * A version is bad from this logarithm of the likelihood ratio on. With 3 tests on each of 4 routes and one on all of them, restarted
 * at the 100 sums that are kept in a minute, a bound of e^-12.6 for each gives 1,300 x 3.4e-6 = 0.0044 for all.
 */
const rollbackScore = 12.6;

/** A server that crashes breaks all its calls at once. Of those at one server in one second, so many count. */
const maxFailuresInCell = 2;

/** Tolerated shares of failures and slow answers of the new version: the old version's share by this factor, and a part of all answers in addition. */
const failureTolerance = 1.5;
const toleratedFailures = 0.01;
const slowTolerance = 1.3;
const toleratedSlow = 0.03;

/** No share is tolerated beyond this one, so that a larger one can be compared with it. */
const maxToleratedShare = 0.9;

/** Tolerated share of failures if the old version has no answers to compare with. */
const toleratedFailuresAlone = 0.2;

/** How much larger than the tolerated shares those are that they are compared with. */
const failureExcesses = [0.03, 0.1, 0.4];
const slowExcesses = [0.12, 0.4];

/** Tolerated share of slow answers in a shift, where the old version's answers are those of the trial and reclaimed servers make all answers slow. */
const toleratedSlowInShift = 0.6;

/**
 * In a burst, slow answers in a shift are no evidence. It is one if the call rate of at least the last `minBurstMs` is more than this
 * many times the mean rate since the first kept sum.
 */
const burstFactor = 1.3;
const minBurstMs = 2000;

/** Design effect: answers of one server are alike in their duration, and so many of them count as one independent answer. */
const computeDesignEffect = (serversInUse: number): number => 1 + (2 / serversInUse);

/** Logarithms of the tolerated slowdown (1.15) and of those that it is compared with (2 and 4). */
const toleratedSlowdown = toLogUnits(1.15);
const slowdowns = [toLogUnits(2), toLogUnits(4)];

/** The mean durations are compared in batches of this time, in which the servers in use are mostly the same ones. */
const batchMs = 3000;

/** Least number of answers of each version in a batch. */
const minBatchAnswers = 4;

/**
 * Variance of a batch before any was seen, and the number of batches that it counts for. Engines of 0.7, 0.7 and 1.7 of the mean
 * speed have a standard deviation of 0.6 doublings; noise and the sizes of the prompts within a batch add 0.2.
 */
const expectedVarianceWeight = 8;
const computeExpectedVariance = (serversInUse: number): number => ((toLogUnits(2 ** 0.6) ** 2) / serversInUse) + (toLogUnits(2 ** 0.2) ** 2);

/** Least number of batches in a test, as the servers of a single one may all be slow ones. */
const minBatches = 3;

/** Smallest variance of a batch that is assumed, of a standard deviation of 0.2 doublings. */
const minVariance = toLogUnits(2 ** 0.2) ** 2;

export type Evidence = {
	/** Largest natural logarithm of a likelihood ratio. */
	readonly score: number;
	readonly reason: string;
};

const noEvidence: Evidence = {score: 0, reason: 'none'};

const pickStronger = (left: Evidence, right: Evidence): Evidence => right.score > left.score ? right : left;

/** How many of all answers of each version are counted: failures, or slow answers. */
type AnswerCounts = {
	readonly oldCount: number;
	readonly oldTotal: number;
	readonly newCount: number;
	readonly newTotal: number;
};

/**
 * Score of a larger share in the new version. `tolerated` is the largest share that counts as good. Compared shares are at most
 * 0.98 and exponents at most 600, so that the logarithms and the sum stay finite.
 */
const scoreShare = ({newCount, newTotal}: Pick<AnswerCounts, 'newCount' | 'newTotal'>, tolerated: number, excesses: readonly number[]): number => {
	let ratioSum = 0;
	for (const excess of excesses) {
		const compared = Math.min(0.98, tolerated + excess);
		ratioSum += Math.exp(Math.min(600, (newCount * Math.log(compared / tolerated)) + ((newTotal - newCount) * Math.log((1 - compared) / (1 - tolerated)))));
	}

	return Math.log(Math.max(ratioSum / excesses.length, Number.MIN_VALUE));
};

/** Share of the old version, estimated as if one of 20 more answers had been counted, so that few answers don't give a share of 0. */
const estimateShare = ({oldCount, oldTotal}: Pick<AnswerCounts, 'oldCount' | 'oldTotal'>): number => (oldCount + 1) / (oldTotal + 20);

/** Counts the failures of the new version, at most `maxFailuresInCell` of each cell. */
const countFailures = ({failures, failureCells}: VersionResults): number => {
	const counts = Object.values(failureCells ?? {});
	const inCells = counts.reduce((sum, count) => sum + count, 0);
	const counted = counts.reduce((sum, count) => sum + Math.min(count, maxFailuresInCell), 0);
	return counted + Math.max(0, failures - inCells);
};

/** Score of a larger share of failures. The old version's share is the larger one of those since the order and since the start of the test, as it has few answers in a shift. */
const scoreFailures = (since: RouteResults, total: RouteResults): number => {
	const share = Math.max(...[since, total].map(({old}) => estimateShare({oldCount: old.failures, oldTotal: old.answers})));
	const isCompared = since.old.answers + total.old.answers > 0;
	const tolerated = isCompared ? Math.min(maxToleratedShare, (share * failureTolerance) + toleratedFailures) : toleratedFailuresAlone;
	const newCount = countFailures(since.new);
	// Failures that don't count are left out of the total, too.
	const newTotal = Math.max(newCount, since.new.answers - since.new.failures + newCount);
	return scoreShare({newCount, newTotal}, tolerated, failureExcesses);
};

/** Least number of answers of the old version with which slow answers are compared. */
const minOldAnswersForSlow = 20;

const countSlow = (versions: RouteResults): AnswerCounts => {
	let counts: AnswerCounts = {
		oldCount: 0, oldTotal: 0, newCount: 0, newTotal: 0,
	};
	for (let sizeClass = 0; sizeClass < sizeClassCount; sizeClass++) {
		const [oldSums, newSums] = [getDurationSums(versions.old.durations, sizeClass), getDurationSums(versions.new.durations, sizeClass)];
		counts = {
			oldCount: counts.oldCount + oldSums.slow,
			oldTotal: counts.oldTotal + oldSums.compared,
			newCount: counts.newCount + newSums.slow,
			newTotal: counts.newTotal + newSums.compared,
		};
	}

	return counts;
};

/** Score of a larger share of slow answers. Without enough answers of the old version since then, as in a shift, those since the order are used. */
const scoreSlow = (since: RouteResults, total: RouteResults, {serversInUse, isBurst}: {readonly serversInUse: number; readonly isBurst: boolean}): number => {
	const [counts, totalCounts] = [countSlow(since), countSlow(total)];
	// A test that started before a shift also has fewer answers of the old version than of the new one.
	const hasOldAnswers = counts.oldTotal >= Math.max(minOldAnswersForSlow, counts.newTotal);
	if (totalCounts.oldTotal < minOldAnswersForSlow || (!hasOldAnswers && isBurst)) {
		return 0;
	}

	const share = estimateShare(hasOldAnswers ? counts : totalCounts);
	const tolerated = Math.min(maxToleratedShare, (share * slowTolerance) + (hasOldAnswers ? toleratedSlow : toleratedSlowInShift));
	return scoreShare(counts, tolerated, slowExcesses) / computeDesignEffect(serversInUse);
};

/** Difference of the mean logarithms of both versions in the same size classes, or undefined if there are too few answers. */
const compareMeans = (versions: RouteResults): number | undefined => {
	let weightSum = 0;
	let sum = 0;
	let answers = 0;
	for (let sizeClass = 0; sizeClass < sizeClassCount; sizeClass++) {
		const [oldSums, newSums] = [getDurationSums(versions.old.durations, sizeClass), getDurationSums(versions.new.durations, sizeClass)];
		if (oldSums.count > 0 && newSums.count > 0) {
			const weight = oldSums.count * newSums.count / (oldSums.count + newSums.count);
			weightSum += weight;
			sum += weight * ((newSums.logSum / newSums.count) - (oldSums.logSum / oldSums.count));
			answers += Math.min(oldSums.count, newSums.count);
		}
	}

	return answers < minBatchAnswers ? undefined : sum / weightSum;
};

/** Score of a slower mean over batches, oldest first. Their spread gives the variance, so that unequal servers don't count as slow. */
const scoreBatches = (batches: readonly number[], serversInUse: number): number => {
	const mean = batches.reduce((sum, difference) => sum + difference, 0) / batches.length;
	const squareSum = batches.reduce((sum, difference) => sum + ((difference - mean) ** 2), 0);
	const variance = Math.max(minVariance, ((expectedVarianceWeight * computeExpectedVariance(serversInUse)) + squareSum) / (expectedVarianceWeight + batches.length - 1));
	const ratios = slowdowns.map(slowdown => {
		const step = slowdown - toleratedSlowdown;
		return batches.length * step / variance * (mean - toleratedSlowdown - (step / 2));
	});
	return Math.max(...ratios) - Math.log(slowdowns.length);
};

/** Splits the results since the first kept sum into batches of at least `batchMs`, oldest first. */
const splitBatches = (results: RolloutResults, history: ResultsHistory, now: number): RolloutResults[] => {
	const batches: RolloutResults[] = [];
	let last: ResultsHistory[number] | undefined;
	for (const entry of [...history, {at: now, results}]) {
		if (last === undefined) {
			last = entry;
		} else if (entry.at >= last.at + batchMs) {
			batches.push(subtractResults(entry.results, last.results));
			last = entry;
		}
	}

	return batches;
};

/** Score of a slower mean on a route. A test starts at each batch that at least `minBatches - 1` others follow. */
const scoreSlowdown = (batches: readonly RolloutResults[], route: string, serversInUse: number): number => {
	const differences = batches.map(batch => compareMeans(getRouteResults(batch, route))).filter(difference => difference !== undefined);
	return Math.max(0, ...differences.slice(minBatches - 1).map((_difference, index) => scoreBatches(differences.slice(index), serversInUse)));
};

/** Adds the failures of two routes. They share their cells, as a crash breaks the calls of all routes. */
const addVersionFailures = (left: VersionResults, right: VersionResults): VersionResults => ({
	...left, answers: left.answers + right.answers, failures: left.failures + right.failures, ...addCells(left.failureCells, right.failureCells, 1),
});

/** Whether the call rate has increased by `burstFactor`. */
const isInBurst = (results: RolloutResults, history: ResultsHistory, now: number): boolean => {
	const [first] = history;
	if (first === undefined || now === first.at) {
		return false;
	}

	const sent = countSent(results);
	const computeRate = (entry: ResultsHistory[number]): number => (sent - countSent(entry.results)) / (now - entry.at);
	return history.some(entry => entry.at <= now - minBurstMs && computeRate(entry) > burstFactor * computeRate(first));
};

/** Sums the failures on all routes, in which a bad version shows sooner than on each route. */
const sumRouteFailures = ({routes}: RolloutResults): RouteResults => {
	let sum = emptyRouteResults;
	for (const versions of Object.values(routes)) {
		sum = {old: addVersionFailures(sum.old, versions.old), new: addVersionFailures(sum.new, versions.new)};
	}

	return sum;
};

export type JudgedResults = {
	/** Sums since the order. */
	readonly results: RolloutResults;
	/** Earlier sums. */
	readonly history: ResultsHistory;
	/** New servers that get calls at a time. The fewer there are, the weaker is the evidence of slow answers. */
	readonly serversInUse: number;
};

/** Returns the strongest evidence against the new version. `now` is in true time. */
export const judgeVersion = ({results, history, serversInUse}: JudgedResults, now: number): Evidence => {
	const earlier = history.filter(entry => entry.results.offset === results.offset);
	const sinceStarts = [results, ...earlier.map(entry => subtractResults(results, entry.results))];
	const batches = splitBatches(results, earlier, now);
	const totalFailures = sumRouteFailures(results);
	const isBurst = isInBurst(results, earlier, now);
	let strongest = noEvidence;
	for (const since of sinceStarts) {
		strongest = pickStronger(strongest, {score: scoreFailures(sumRouteFailures(since), totalFailures), reason: 'failures'});
	}

	for (const route of Object.keys(results.routes)) {
		const total = getRouteResults(results, route);
		for (const since of sinceStarts.map(sums => getRouteResults(sums, route))) {
			strongest = pickStronger(strongest, {score: scoreFailures(since, total), reason: `failures:${route}`});
			strongest = pickStronger(strongest, {score: scoreSlow(since, total, {serversInUse, isBurst}), reason: `slow_answers:${route}`});
		}

		strongest = pickStronger(strongest, {score: scoreSlowdown(batches, route, serversInUse), reason: `slower:${route}`});
	}

	return strongest;
};

export const isBad = ({score}: Evidence): boolean => score >= rollbackScore;

/** Score from which the shift is put off, and the completion until the deadline. */
const suspectScore = 3;

/**
 * Score from which a version is rolled back when the time of a trial or of a shift is up, since what follows exposes all calls. It is below
 * `rollbackScore`, as this test is made once in a stage.
 */
const stageEndScore = 8;

export const isSuspect = ({score}: Evidence): boolean => score >= suspectScore;

export const isBadAtStageEnd = ({score}: Evidence): boolean => score >= stageEndScore;
