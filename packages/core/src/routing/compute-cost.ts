/** What it costs to send a call to a backend server, in milliseconds that somebody waits. */
import {predictDisturbance, predictFirstToken, predictPrefill} from './predict-wait.js';
import {type BackendView, type RoutedCall, type RoutingContext} from './types.js';

/** Milliseconds that one credit an hour is worth in a choice; small against waits, so that it decides between equals. */
const priceWeightMs = 4;

/** Milliseconds that leaving the availability zone costs, beyond the network's own. */
const otherZoneMs = 3;

/**
 * Milliseconds that a place beyond a backend server's limit costs. At 2000 calls went
 * elsewhere sooner and read more anew (at Ben Salah's full load 0.17 against 0.13 of the prompt tokens).
 */
const fullMs = 400;

/** Of a target so much is used in choosing; the rest is for what could not be predicted. */
const targetMargin = 0.8;

/** An answer that is late anyway costs this, however late: it must not drive others' prompts out of a cache. */
const latestMs = 1000;

/** A millisecond beyond the target costs so many before it. */
const lateFactor = 8;

/** Of its own wait so much counts: an answer within its target gains nothing by coming sooner. */
const ownFactor = 0.2;

/**
 * Reading costs the engine's time, and room in its cache, from which another prompt
 * goes that will be read again. In `measure -- routing` 12 recomputed less than 8 on
 * both deployments.
 */
const readingFactor = 12;

/**
 * Leading blocks that the backend server holds, as far as known. The home is taken to
 * hold all but the last, since every daemon sends there; one that is known to hold all goes before it.
 */
export const estimateCachedBlocks = ({call, countCachedBlocks}: RoutingContext, backend: BackendView, home: BackendView | undefined): number =>
	Math.max(countCachedBlocks(backend.id, call.chain), backend === home ? call.chain.length - 1 : 0);

const penalizeLate = (predictedMs: number, targetMs: number): number =>
	Math.min(latestMs, Math.max(0, predictedMs - (targetMs * targetMargin)) * lateFactor);

const computeWaitCost = (backend: BackendView, call: RoutedCall, cachedBlocks: number): number => {
	const firstMs = predictFirstToken(backend, call, cachedBlocks);
	const {tokenMs} = backend.speed;
	const {target, expectedTokens} = call;
	const ownMs = firstMs + (expectedTokens * tokenMs);
	if (target === undefined) {
		return ownMs * ownFactor;
	}

	const lateTokens = target.betweenTokensMs === undefined ? 0 : penalizeLate(tokenMs * expectedTokens, target.betweenTokensMs * expectedTokens);
	return (ownMs * ownFactor) + penalizeLate(firstMs, target.firstTokenMs) + lateTokens;
};

export const computeCost = (backend: BackendView, call: RoutedCall, cachedBlocks: number): number =>
	computeWaitCost(backend, call, cachedBlocks)
	+ (predictPrefill(backend, call, cachedBlocks) * readingFactor)
	+ predictDisturbance(backend, call, cachedBlocks)
	+ (backend.running < backend.limit ? 0 : fullMs)
	+ (backend.price * priceWeightMs)
	+ (backend.availabilityZone === call.availabilityZone ? 0 : otherZoneMs);
