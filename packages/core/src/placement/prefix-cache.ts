/**
 * Estimates which parts of a prompt an engine has cached, and what it costs if it has not. An
 * engine evicts the least recently used parts, so a daemon, which sees only some of the calls,
 * derives from the rate of all of them how long an engine holds an unused part.
 */
import {type PromptPart} from '../calls/types.js';
import {type KnownParts} from './known-parts.js';
import {type PartUse} from './part-uses.js';

/** Least share of an engine's memory that is assumed to be left for parts that no running call uses. */
const minFreeShare = 0.1;

export type Inflow = {
	/** Tokens that the engine's memory holds; undefined if the operator states none. */
	readonly cacheTokens: number | undefined;
	/** Tokens of the calls that are running there. */
	readonly runningTokens: number;
	/** New prompt tokens that reach it per millisecond. */
	readonly tokensPerMs: number;
};

/** Computes for how long an engine holds a part after its last use, in milliseconds. */
export const computeRetentionMs = ({cacheTokens, runningTokens, tokensPerMs}: Inflow): number =>
	cacheTokens === undefined || tokensPerMs <= 0 ? Infinity : Math.max(cacheTokens * minFreeShare, cacheTokens - runningTokens) / tokensPerMs;

/** Estimates the probability that a part is still cached. The retention is an estimate, so the probability falls gradually around it. */
export const estimateHeldProbability = (ageMs: number, retentionMs: number): number => {
	const ratio = Math.max(0, ageMs) / retentionMs;
	return 1 / (1 + (ratio * ratio * ratio * ratio));
};

export type ReplicaUse = {
	/** This daemon's record of the shared part; undefined if it has not used it yet. */
	readonly use: PartUse | undefined;
	readonly daemons: number;
	/** Number of engines that hold the part. */
	readonly replicas: number;
	/** Time for which the engine has been available, at most its retention, in milliseconds. */
	readonly withinMs: number;
	readonly now: number;
};

/** Estimates the probability that some daemon has sent the part to a given replica within the time. Without own uses it is 1, as nothing is known of the part but its replica order. */
export const estimateReplicaProbability = ({use, daemons, replicas, withinMs, now}: ReplicaUse): number => {
	if (withinMs <= 0) {
		return 0;
	}

	if (use === undefined || withinMs === Infinity) {
		return 1;
	}

	// The time since the last use is on average the time between two uses.
	const intervalMs = Math.max(1, now - use.usedAt) * replicas / daemons;
	return 1 - Math.exp(-withinMs / intervalMs);
};

export type CacheEstimate = {
	readonly knownParts: KnownParts;
	readonly retentionMs: number;
	/** Probability that the shared parts are cached because the engine is one of their replicas; 0 for other engines. */
	readonly replicaProbability: number;
	readonly now: number;
};

export type CachedPrefix = {
	/** Expected tokens that need no prefill. */
	readonly cachedTokens: number;
	/** Expected tokens of shared parts that are prefilled again. */
	readonly missingTokens: number;
};

/** Estimates how much of a prompt is cached. A part counts only if all parts before it are cached. */
export const estimateCachedPrefix = (parts: readonly PromptPart[], {knownParts, retentionMs, replicaProbability, now}: CacheEstimate): CachedPrefix => {
	let probability = 1;
	let cachedTokens = 0;
	let missingTokens = 0;
	for (const [index, {id, tokens}] of parts.entries()) {
		const isShared = index < parts.length - 1;
		const known = knownParts.parts.get(id);
		const heldProbability = known === undefined ? 0 : estimateHeldProbability(now - known.usedAt, retentionMs);
		probability *= Math.max(heldProbability, isShared ? replicaProbability : 0);
		cachedTokens += probability * tokens;
		missingTokens += isShared ? (1 - probability) * tokens : 0;
	}

	return {cachedTokens: Math.round(cachedTokens), missingTokens};
};

/**
 * A prefill delays `delayedCallsFactor` u / (1 - u) calls at utilization u, and `maxDelayedCalls` at most. Engine time that is
 * lost delays all calls that arrive until the queue is empty, and prompt sizes are so skewed that queues are many mean
 * prefills long. In simulations, two thirds of these values prefilled a seventh more shared tokens again; twice the values
 * a fifth fewer, but more calls were late on busy engines of unequal speed.
 */
const delayedCallsFactor = 12;
const maxDelayedCalls = 6;

/** Computes how many calls a prefill delays, by the share of the engines' speed that is in use. */
export const computeDelayedCalls = (utilization: number): number =>
	utilization >= 1 ? maxDelayedCalls : Math.min(maxDelayedCalls, delayedCallsFactor * utilization / (1 - utilization));
