/**
 * Sums over the durations of answers, by size class of the prompts. They add up over daemons, and are 4 numbers of a few digits for each
 * class, so that a report stays small. Durations are compared as logarithms, where a version that is twice as slow differs by a constant.
 */

/** Limits between the size classes of prompts, in tokens. Prefill makes the duration depend on the size. */
const sizeClassLimits = [512, 2048, 8192];

export const sizeClassCount = sizeClassLimits.length + 1;

/** Logarithms are integers, 16 for each doubling, so that they are short in reports. */
const unitsPerDoubling = 16;

/** Converts a factor, or a duration in milliseconds, of at least 1 into logarithmic units. */
export const toLogUnits = (factor: number): number => Math.round(Math.log2(Math.max(factor, 1)) * unitsPerDoubling);

export type DurationSums = {
	readonly count: number;
	/** Sum of the logarithms. */
	readonly logSum: number;
	/** Answers that were compared with the old version's mean. */
	readonly compared: number;
	/** Those of them that were slow. */
	readonly slow: number;
};

/** Numbers of each size class in `durations`: the fields of `DurationSums` in their order. */
const fieldCount = 4;

export const getSizeClass = (promptTokens: number): number => sizeClassLimits.filter(limit => promptTokens > limit).length;

export const getDurationSums = (durations: readonly number[], sizeClass: number): DurationSums => {
	const [count = 0, logSum = 0, compared = 0, slow = 0] = durations.slice(sizeClass * fieldCount, (sizeClass + 1) * fieldCount);
	return {
		count, logSum, compared, slow,
	};
};

/** An answer that takes this many times the old version's mean is slow. Engines of one version differ by up to 2.4. */
const slowFactor = 2.5;

/** Least number of answers of the old version at the same daemon from which its mean is used. */
const minOldAnswers = 10;

/** Adds a duration. `old` are the sums of the old version at the same daemon, with whose mean the answers of both versions are compared. */
export const addDuration = (durations: readonly number[], old: readonly number[], {promptTokens, tookMs}: {readonly promptTokens: number; readonly tookMs: number}): number[] => {
	const sizeClass = getSizeClass(promptTokens);
	const units = toLogUnits(tookMs);
	const {count, logSum} = getDurationSums(old, sizeClass);
	const isCompared = count >= minOldAnswers;
	const isSlow = isCompared && units > (logSum / count) + toLogUnits(slowFactor);
	const added = [1, units, isCompared ? 1 : 0, isSlow ? 1 : 0];
	const first = sizeClass * fieldCount;
	return Array.from(
		{length: Math.max(durations.length, first + fieldCount)},
		(_value, index) => (durations[index] ?? 0) + (added[index - first] ?? 0),
	);
};
