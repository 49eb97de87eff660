/** Estimates for each backend server that can take a call how much of its prompt is cached there. */
import {type Call, type PromptPart} from '../calls/types.js';
import {type KnownParts} from './known-parts.js';
import {countReplicas, type PartUses} from './part-uses.js';
import {
	type CachedPrefix, computeDelayedCalls, computeRetentionMs, estimateCachedPrefix, estimateReplicaProbability,
} from './prefix-cache.js';
import {findAffinityPart, listPreferredBackends} from './prompt-affinity.js';

/** What the estimate needs to know of each backend server. */
export type PrefixEngine = {
	readonly incarnationHash: number;
	readonly knownParts: KnownParts;
	/** Calls of this daemon that are running there, the tokens that they may take, and calls of other daemons. */
	readonly running: number;
	readonly runningTokens: number;
	readonly othersRunning: number;
};

/** What the estimate needs to know in addition of a backend server that may have parts cached. */
export type EngineCondition = {
	/** Calls that it runs concurrently. */
	readonly places: number;
	/** When it may have received its first call. Negative infinity if it was there before this daemon. */
	readonly joinedAt: number;
	/** Probability that it answers as usual, as a cached prompt is of no use on an engine that fails. */
	readonly reliability: number;
};

/** What the estimate needs to know of a service. */
export type PrefixService = {
	readonly partUses: PartUses;
	/** Tokens that the memory of an engine holds; undefined if the operator states none. */
	readonly cacheTokens: number | undefined;
	/** Mean prompt tokens that an engine prefills per millisecond. */
	readonly tokensPerMs: number;
	/** Prompt tokens to prefill that reach an engine per millisecond on average, from all daemons. */
	readonly inflowPerMs: number;
	readonly daemons: number;
};

export type PrefixEstimate = Pick<CachedPrefix, 'cachedTokens'> & {
	/** Engine time that other calls lose, in milliseconds; undefined if the call has no shared parts. */
	readonly lostEngineMs: number | undefined;
};

const sumSharedTokens = (promptParts: readonly PromptPart[]): number => {
	let sum = 0;
	for (const {tokens} of promptParts.slice(0, -1)) {
		sum += tokens;
	}

	return sum;
};

const nothingCached: PrefixEstimate = {cachedTokens: 0, lostEngineMs: undefined};

/** Estimates the tokens of a running call from those of this daemon. Without any, slots and memory are taken to be in proportion. */
const estimateTokensPerCall = (engines: readonly PrefixEngine[], cacheTokens: number, places: number): number => {
	let running = 0;
	let tokens = 0;
	for (const engine of engines) {
		running += engine.running;
		tokens += engine.runningTokens;
	}

	return running > 0 ? tokens / running : cacheTokens / places;
};

export type PrefixContext<Engine> = {
	readonly service: PrefixService;
	readonly keyHash: number;
	/** Prompt tokens that each engine prefills per millisecond. */
	readonly speeds: readonly number[];
	readonly getCondition: (engine: Engine) => EngineCondition;
	readonly now: number;
};

/** Returns the estimates in the order of the backend servers. `getCondition` is called only for those that may have parts cached, which are few of many. */
export const estimatePrefixCaches = <Engine extends PrefixEngine>({promptParts}: Pick<Call, 'promptParts'>, engines: readonly Engine[], context: PrefixContext<Engine>): PrefixEstimate[] => {
	const {service, keyHash, speeds, getCondition, now} = context;
	const [firstPart] = promptParts;
	if (firstPart === undefined) {
		return engines.map(() => nothingCached);
	}

	const {partUses, cacheTokens, tokensPerMs, inflowPerMs, daemons} = service;
	const affinityPart = findAffinityPart(promptParts);
	const use = affinityPart && partUses.get(affinityPart.id);
	const replicas = listPreferredBackends(keyHash, engines, countReplicas(use, {daemons, tokensPerMs, now}));
	const delayedCalls = computeDelayedCalls(inflowPerMs / tokensPerMs);
	const sharedTokens = sumSharedTokens(promptParts);
	// At the mean speed, so that engines of which nothing is known differ by their waits only.
	const toLostMs = (tokens: number): number | undefined => promptParts.length > 1 ? delayedCalls * tokens / tokensPerMs : undefined;
	let tokensPerCall: number | undefined;
	const getRetentionMs = ({runningTokens, othersRunning}: Engine, speed: number, places: number): number => {
		tokensPerCall ??= estimateTokensPerCall(engines, cacheTokens ?? 0, places);
		return computeRetentionMs({cacheTokens, runningTokens: runningTokens + (othersRunning * tokensPerCall), tokensPerMs: inflowPerMs * speed / tokensPerMs});
	};

	return engines.map((engine, index) => {
		const {knownParts, running, othersRunning} = engine;
		const isReplica = replicas.includes(engine);
		if (!isReplica && !knownParts.parts.has(firstPart.id)) {
			return {cachedTokens: 0, lostEngineMs: toLostMs(sharedTokens)};
		}

		const {places, joinedAt, reliability} = getCondition(engine);
		const retentionMs = getRetentionMs(engine, speeds[index]!, places);
		const withinMs = Math.min(retentionMs, now - joinedAt);
		const replicaUse = {
			use, daemons, replicas: replicas.length, withinMs, now,
		};
		const replicaProbability = isReplica ? estimateReplicaProbability(replicaUse) : 0;
		const cacheEstimate = {
			knownParts, retentionMs, replicaProbability, now,
		};
		const {cachedTokens, missingTokens} = estimateCachedPrefix(promptParts, cacheEstimate);
		// A cached prompt is of little use on an engine whose slots are all in use, because the wait for one is hardly predictable.
		const usability = running + othersRunning < places ? reliability : 0;
		return {cachedTokens, lostEngineMs: toLostMs(sharedTokens - (usability * (sharedTokens - missingTokens)))};
	});
};
