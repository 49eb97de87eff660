/** Prompt tokens that had to be read a second, smoothed. */

export type WorkRate = {
	readonly perSecond: number;
	readonly at: number;
};

/** Time in which the memory falls to a third, in milliseconds; long enough for the clumps of callers, short for a burst. */
const memoryMs = 3000;

export const emptyWorkRate: WorkRate = {perSecond: 0, at: 0};

export const readWorkRate = (rate: WorkRate, now: number): number => rate.perSecond * Math.exp(-Math.max(0, now - rate.at) / memoryMs);

export const noteWork = (rate: WorkRate, tokens: number, now: number): WorkRate => ({perSecond: readWorkRate(rate, now) + (tokens * 1000 / memoryMs), at: now});
