/** Smoothed rate of prompt tokens that backend servers have to prefill. */

export type WorkRate = {
	/** Moving average in tokens per second, too low until several time constants have passed since the first tokens. */
	readonly perSecond: number;
	/** Time of the last update, in milliseconds. */
	readonly at: number;
	/** Time of the first tokens, in milliseconds. */
	readonly since: number;
};

/** Time constant of the moving average: long enough to smooth callers that arrive in groups, short enough to follow a burst. */
const timeConstantMs = 3000;

/** Minimum time over which the first tokens are averaged. */
const minSpanMs = 500;

/** Returns the rate at `now`, corrected for the short time since the first tokens. It is 0 before them. */
export const computeWorkRate = (rate: WorkRate | undefined, now: number): number => {
	if (rate === undefined) {
		return 0;
	}

	const warmUpFactor = 1 - Math.exp(-Math.max(minSpanMs, now - rate.since) / timeConstantMs);
	return rate.perSecond * Math.exp(-Math.max(0, now - rate.at) / timeConstantMs) / warmUpFactor;
};

/** Adds prompt tokens to the rate. */
export const recordWork = (rate: WorkRate | undefined, tokens: number, now: number): WorkRate => {
	if (rate === undefined) {
		return {perSecond: tokens * 1000 / timeConstantMs, at: now, since: now};
	}

	const decayed = rate.perSecond * Math.exp(-Math.max(0, now - rate.at) / timeConstantMs);
	return {...rate, perSecond: decayed + (tokens * 1000 / timeConstantMs), at: now};
};
