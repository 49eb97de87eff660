import {type LatencyTarget, type LearnedSpeed} from './types.js';

/** Weight of a new sample; about the last ten count. */
const sampleWeight = 0.2;

/** Where learning starts: a middling engine, so that an unknown one is neither shunned nor flooded. */
export const unknownSpeed: LearnedSpeed = {
	firstTokenMs: 20, tokenMs: 10, prefillTokenMs: 0.1, samples: 0,
};

export type SpeedSample = {
	readonly firstTokenMs: number;
	/** Time between tokens; absent for an answer of one piece. */
	readonly tokenMs?: number;
	/** Prompt tokens that were not thought to be cached. */
	readonly uncachedTokens: number;
	/** Whether its tokens came slower than its class allows. */
	readonly isLate?: boolean;
};

const blend = (old: number, sample: number, samples: number): number => {
	const weight = Math.max(sampleWeight, 1 / (samples + 1));
	return old + (weight * (sample - old));
};

/** Prompts shorter than this tell of the fixed part of the wait, longer ones of the reading. */
const readingPromptTokens = 500;

/** The least rises by this with each answer, so that an engine that grew slower for good is known as such. */
const leastRise = 1.002;

const learnLeast = (least: number | undefined, sample: number | undefined): number | undefined =>
	sample === undefined ? least : Math.min(sample, (least ?? sample) * leastRise);

/** Learns from one answer. */
export const learnSpeed = (speed: LearnedSpeed, sample: SpeedSample): LearnedSpeed => {
	const isLong = sample.uncachedTokens >= readingPromptTokens;
	const reading = Math.max(0, sample.firstTokenMs - speed.firstTokenMs) / Math.max(1, sample.uncachedTokens);
	return {
		firstTokenMs: isLong ? speed.firstTokenMs : blend(speed.firstTokenMs, sample.firstTokenMs, speed.samples),
		tokenMs: sample.tokenMs === undefined ? speed.tokenMs : blend(speed.tokenMs, sample.tokenMs, speed.samples),
		prefillTokenMs: isLong ? blend(speed.prefillTokenMs, reading, speed.samples) : speed.prefillTokenMs,
		leastTokenMs: learnLeast(speed.leastTokenMs, sample.tokenMs),
		samples: speed.samples + 1,
	};
};

/** Whether tokens came slower than the class allows. */
export const isLate = (tokenMs: number | undefined, target: LatencyTarget | undefined): boolean =>
	tokenMs !== undefined && tokenMs > (target?.betweenTokensMs ?? Number.POSITIVE_INFINITY);

/** An answer counts as slowed by load when its tokens came so much slower than the engine's own pace. */
const slowedFactor = 1.25;

/**
 * Whether an answer missed its target because of load. An old engine may never reach
 * the target; fewer calls would not make it faster, and would only leave it idle.
 */
export const isSlowedByLoad = ({leastTokenMs}: LearnedSpeed, {isLate: isTooLate, tokenMs}: SpeedSample): boolean =>
	isTooLate === true && tokenMs !== undefined && leastTokenMs !== undefined && tokenMs > leastTokenMs * slowedFactor;
