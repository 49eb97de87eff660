/** Moving averages of the speed of model engines, from measured answers. */
import {type LatencyTarget, type SpeedEstimate} from './types.js';

/** Weight of a new sample. About the last ten samples determine the mean. */
const sampleWeight = 0.2;

/** Initial estimate: an average engine, so that an unmeasured one is neither avoided nor overloaded. */
export const defaultSpeed: SpeedEstimate = {
	firstTokenMs: 20, tokenMs: 10, prefillTokenMs: 0.1, samples: 0,
};

export type SpeedSample = {
	readonly firstTokenMs: number;
	/** Time between tokens; absent for an answer in one piece. */
	readonly tokenMs?: number;
	/** Prompt tokens that were estimated not to be cached. */
	readonly uncachedTokens: number;
	/** Whether the tokens arrived more slowly than the class allows. */
	readonly isLate?: boolean;
};

const updateMean = (mean: number, sample: number, samples: number): number => {
	const weight = Math.max(sampleWeight, 1 / (samples + 1));
	return mean + (weight * (sample - mean));
};

/** Shorter prompts are samples of the fixed time to the first token, longer ones of the prefill time. */
const longPromptTokens = 500;

/** The minimum grows by this factor with each answer, so that it adapts to an engine that has become permanently slower. */
const minimumGrowth = 1.002;

const updateMinimum = (minimum: number | undefined, sample: number | undefined): number | undefined =>
	sample === undefined ? minimum : Math.min(sample, (minimum ?? sample) * minimumGrowth);

/** Updates the estimate from one answer. */
export const updateSpeed = (speed: SpeedEstimate, sample: SpeedSample): SpeedEstimate => {
	const isLong = sample.uncachedTokens >= longPromptTokens;
	const prefillTokenMs = Math.max(0, sample.firstTokenMs - speed.firstTokenMs) / Math.max(1, sample.uncachedTokens);
	return {
		firstTokenMs: isLong ? speed.firstTokenMs : updateMean(speed.firstTokenMs, sample.firstTokenMs, speed.samples),
		tokenMs: sample.tokenMs === undefined ? speed.tokenMs : updateMean(speed.tokenMs, sample.tokenMs, speed.samples),
		prefillTokenMs: isLong ? updateMean(speed.prefillTokenMs, prefillTokenMs, speed.samples) : speed.prefillTokenMs,
		leastTokenMs: updateMinimum(speed.leastTokenMs, sample.tokenMs),
		samples: speed.samples + 1,
	};
};

/** Whether tokens arrived more slowly than the class allows. */
export const isLate = (tokenMs: number | undefined, target: LatencyTarget | undefined): boolean =>
	tokenMs !== undefined && tokenMs > (target?.betweenTokensMs ?? Number.POSITIVE_INFINITY);

/** Multiple of the engine's minimum token time beyond which an answer counts as slowed by load. */
const slowdownFactor = 1.25;

/**
 * Whether an answer missed its target because of load. A slow engine may miss the target even
 * without load; fewer calls would not make it faster but only leave it idle.
 */
export const isSlowedByLoad = ({leastTokenMs: minTokenMs}: SpeedEstimate, {isLate: isTooLate, tokenMs}: SpeedSample): boolean =>
	isTooLate === true && tokenMs !== undefined && minTokenMs !== undefined && tokenMs > minTokenMs * slowdownFactor;
