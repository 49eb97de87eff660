/**
 * Estimates how fast model engines produce the first event of an answer, from measured answers.
 * Each of many daemons sees few answers of an engine, so daemons share their prefilled tokens and
 * prefill time; the ratio of the sums over all daemons is the speed.
 */
import {updateMovingMean} from './moving-averages.js';

/** Prefilled prompt tokens and the milliseconds that the prefill took. Records of both decay over time. */
export type PrefillSample = {
	readonly tokens: number;
	readonly ms: number;
};

export const emptyPrefillSample: PrefillSample = {tokens: 0, ms: 0};

export type PrefillRecord = PrefillSample & {
	/** Time to which the values are decayed, on the steady clock in milliseconds. */
	readonly at: number;
};

export const emptyPrefillRecord: PrefillRecord = {...emptyPrefillSample, at: 0};

/** Time constant of the exponential decay. It is short, so that an engine that becomes slow is detected within seconds. */
const decayTimeMs = 5000;

/** Decays a record to the given time. */
export const decayPrefillRecord = ({tokens, ms, at}: PrefillRecord, now: number): PrefillSample => {
	const decayFactor = Math.exp(-Math.max(0, now - at) / decayTimeMs);
	return {tokens: tokens * decayFactor, ms: ms * decayFactor};
};

/** Adds a sample to a record. */
export const recordPrefill = (record: PrefillRecord, sample: PrefillSample, now: number): PrefillRecord => {
	const decayed = decayPrefillRecord(record, now);
	return {tokens: decayed.tokens + sample.tokens, ms: decayed.ms + sample.ms, at: now};
};

/** Latency model of a service: mean prefill speed and fixed latency. */
export type LatencyModel = {
	/** Prompt tokens prefilled per millisecond. */
	readonly tokensPerMs: number;
	/** Time to the first event without the prefill, in milliseconds. */
	readonly fixedMs: number;
};

/** Used until answers of the service have been measured. */
export const defaultLatencyModel: LatencyModel = {tokensPerMs: 45, fixedMs: 50};

export type FirstEventSample = {
	/** Prompt tokens prefilled before the event: those of the call and of calls queued before it. */
	readonly workTokens: number;
	readonly tookMs: number;
};

/** A first event is a sample of the fixed latency if its expected prefill time is at most this share of the fixed latency. */
const maxPrefillShare = 0.25;

/** Bounds how much slower or faster than its service one answer may count: any time beyond that was not spent on prefill. */
const maxDeviationFactor = 8;

/** Returns the prefill sample of a first event, or undefined if too few tokens were prefilled to estimate the speed. */
export const toPrefillSample = ({workTokens, tookMs}: FirstEventSample, model: LatencyModel): PrefillSample | undefined => {
	const expectedMs = workTokens / model.tokensPerMs;
	if (expectedMs < model.fixedMs) {
		return undefined;
	}

	const ms = Math.min(expectedMs * maxDeviationFactor, Math.max(expectedMs / maxDeviationFactor, tookMs - model.fixedMs));
	return {tokens: workTokens, ms};
};

/**
 * Weights of the priors, as milliseconds of prefill. A service starts from the default speed, and
 * each of its engines starts from the speed of the service.
 */
const servicePriorMs = 300;
const enginePriorMs = 100;

const computeSpeedWithPrior = (samples: Iterable<PrefillSample>, tokensPerMs: number, priorMs: number): number => {
	let tokens = tokensPerMs * priorMs;
	let ms = priorMs;
	for (const sample of samples) {
		tokens += sample.tokens;
		ms += sample.ms;
	}

	return tokens / ms;
};

/** Computes the prompt tokens that engines of a service prefill per millisecond, from the samples of all daemons and engines. */
export const computeServiceSpeed = (samples: Iterable<PrefillSample>): number => computeSpeedWithPrior(samples, defaultLatencyModel.tokensPerMs, servicePriorMs);

/** Computes the prompt tokens that an engine prefills per millisecond, from all daemons' samples of it and the model of its service. */
export const computeEngineSpeed = (samples: Iterable<PrefillSample>, serviceModel: LatencyModel): number => computeSpeedWithPrior(samples, serviceModel.tokensPerMs, enginePriorMs);

/** Updates the fixed latency from an answer with a short prefill; ignores other answers. */
export const updateFixedLatency = (model: LatencyModel, {workTokens, tookMs}: FirstEventSample): LatencyModel => {
	const expectedMs = workTokens / model.tokensPerMs;
	return expectedMs <= model.fixedMs * maxPrefillShare ? {...model, fixedMs: updateMovingMean(model.fixedMs, Math.max(1, tookMs - expectedMs))} : model;
};
