/**
 * Estimates how long work currently takes on a backend server's machine, from what its last response stated about it.
 * Machines become slow and usual again within some hundred milliseconds, so a reading loses its weight within that time.
 */

/** How long work takes on the machine as a multiple of the usual time, as one response stated it. */
export type SpeedReading = {
	readonly slowness: number;
	/** When the response was received, on the steady clock in milliseconds. */
	readonly at: number;
};

/** Bounds of a plausible slowness. Measured durations are divided by it, so a wrong one would make a server count as many times faster or slower. */
const minSlowness = 0.1;
const maxSlowness = 20;

/**
 * Time in which a reading loses its weight, in milliseconds. If a machine's speed changes every 600 ms, the probability that it is still
 * the stated one falls linearly to 0 within that time.
 */
const validMs = 600;

/** Returns the slowness that a stated percentage of the usual time means, or undefined if it cannot be one. */
export const toSlowness = (percent: number | undefined): number | undefined => {
	const slowness = (percent ?? Number.NaN) / 100;
	return slowness >= minSlowness && slowness <= maxSlowness ? slowness : undefined;
};

/** The slowness that a machine stated last. It may have changed since, and has after `remainingMs` at the latest. */
export type CurrentSlowness = {
	readonly slowness: number;
	readonly remainingMs: number;
};

/** Returns what is known of the slowness now, or undefined if nothing is, which counts as usual. */
export const estimateCurrentSlowness = (reading: SpeedReading | undefined, now: number): CurrentSlowness | undefined =>
	reading === undefined || now >= reading.at + validMs ? undefined : {slowness: reading.slowness, remainingMs: Math.min(validMs, reading.at + validMs - now)};

/** Predicts how long work takes that begins now and usually takes `usualMs`: the mean over the moments at which the machine may become usual. */
export const predictSlowedMs = (usualMs: number, currentSlowness: CurrentSlowness | undefined): number => {
	if (currentSlowness === undefined) {
		return usualMs;
	}

	const {slowness, remainingMs} = currentSlowness;
	const slowedMs = usualMs * slowness;
	const meanMs = slowedMs <= remainingMs
		? slowedMs - (usualMs * slowedMs * (slowness - 1) / (2 * remainingMs))
		: usualMs + (remainingMs * (1 - (1 / slowness)) / 2);
	return usualMs + ((meanMs - usualMs) * remainingMs / validMs);
};

/** Integral over the weight of a reading, from the reading to `ms` later, or earlier if it is negative. */
const sumWeight = (ms: number): number => {
	const within = Math.min(validMs, Math.abs(ms));
	return Math.sign(ms) * (within - (within * within / (2 * validMs)));
};

/** Computes the mean slowness over a period. A reading loses its weight towards both sides: before it was stated it may have been another. */
export const computeMeanSlowness = (reading: SpeedReading | undefined, since: number, until: number): number => {
	if (reading === undefined || until <= since) {
		return 1;
	}

	const weight = (sumWeight(until - reading.at) - sumWeight(since - reading.at)) / (until - since);
	return 1 + ((reading.slowness - 1) * weight);
};
