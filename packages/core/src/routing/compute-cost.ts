/** Cost of sending a call to a backend server, expressed in milliseconds of waiting time. */
import {predictDelayToOthers, predictFirstToken, predictPrefill} from './predict-wait.js';
import {type BackendView, type RoutedCall, type RoutingContext} from './types.js';

/** Cost of each credit per hour. It is small compared to waits, so that the price only decides between otherwise equal backend servers. */
const priceWeightMs = 4;

/** Penalty for another availability zone, in addition to the network latency. */
const otherZonePenaltyMs = 3;

/**
 * Penalty for exceeding the concurrency limit of a backend server. At 2000, calls moved to other
 * backend servers earlier and recomputed more prompt tokens.
 */
const overLimitPenaltyMs = 400;

/** Share of a latency target that predictions may use. The rest allows for prediction errors. */
const usableTargetShare = 0.8;

/** Upper bound of the penalty for a late answer, so that a very late call does not evict the prompts of other calls from a cache. */
const maxLatePenaltyMs = 1000;

/** Cost of each millisecond beyond the target, in milliseconds. */
const lateFactor = 8;

/** Weight of the call's own wait. It is low because an answer within its target gains nothing by arriving earlier. */
const ownWaitFactor = 0.2;

/**
 * Weight of the prefill, which takes engine time and evicts another prompt from the cache that will
 * have to be recomputed. 12 caused less recomputation than 8.
 */
const prefillFactor = 12;

/**
 * Estimates how many leading blocks of the prompt the backend server has cached. The preferred
 * backend server is assumed to have all but the last block, because every daemon sends the prompt
 * there. A backend server known to have all blocks is better.
 */
export const estimateCachedBlocks = ({call, countCachedBlocks}: RoutingContext, backend: BackendView, preferred: BackendView | undefined): number =>
	Math.max(countCachedBlocks(backend.id, call.prefixHashes), backend === preferred ? call.prefixHashes.length - 1 : 0);

const computeLatePenalty = (predictedMs: number, targetMs: number): number =>
	Math.min(maxLatePenaltyMs, Math.max(0, predictedMs - (targetMs * usableTargetShare)) * lateFactor);

const computeWaitCost = (backend: BackendView, call: RoutedCall, cachedBlocks: number): number => {
	const firstMs = predictFirstToken(backend, call, cachedBlocks);
	const {tokenMs} = backend.speed;
	const {target, expectedTokens} = call;
	const ownMs = firstMs + (expectedTokens * tokenMs);
	if (target === undefined) {
		return ownMs * ownWaitFactor;
	}

	const tokenPenaltyMs = target.betweenTokensMs === undefined ? 0 : computeLatePenalty(tokenMs * expectedTokens, target.betweenTokensMs * expectedTokens);
	return (ownMs * ownWaitFactor) + computeLatePenalty(firstMs, target.firstTokenMs) + tokenPenaltyMs;
};

export const computeCost = (backend: BackendView, call: RoutedCall, cachedBlocks: number): number =>
	computeWaitCost(backend, call, cachedBlocks)
	+ (predictPrefill(backend, call, cachedBlocks) * prefillFactor)
	+ predictDelayToOthers(backend, call, cachedBlocks)
	+ (backend.running < backend.limit ? 0 : overLimitPenaltyMs)
	+ (backend.price * priceWeightMs)
	+ (backend.availabilityZone === call.availabilityZone ? 0 : otherZonePenaltyMs);
