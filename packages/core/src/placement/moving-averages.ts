/** Exponential moving averages of a backend server's answer times and failures. */

/** Weight of a new sample. The mean follows a change within about ten answers. */
const sampleWeight = 0.15;

/** Samples are clamped to these multiples of the mean: a stalled engine is detected by its failures, not by its speed. */
const minSampleFactor = 0.25;
const maxSampleFactor = 4;

/** Updates a moving mean with a sample. */
export const updateMovingMean = (mean: number, sample: number): number => {
	const bounded = Math.min(mean * maxSampleFactor, Math.max(mean * minSampleFactor, sample));
	return mean + (sampleWeight * (bounded - mean));
};

/** Weight of one result in the failure rate. */
const failureWeight = 0.1;

export const updateFailureRate = (failureRate: number, hasFailed: boolean): number => failureRate + (failureWeight * ((hasFailed ? 1 : 0) - failureRate));
