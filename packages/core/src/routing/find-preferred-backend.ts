/** Prompt affinity: all daemons prefer the same backend server for a prompt prefix without exchanging messages. */
import {estimateLoad} from './predict-wait.js';
import {weighMember} from './rank-by-rendezvous.js';
import {type BackendView, type RoutingContext} from './types.js';

/**
 * Maximum load of the preferred backend server, as a multiple of its proportional load. Beyond it,
 * the one with the next highest score is preferred. At 1.25 the preference changed so often that
 * 0.11 of the prompts were recomputed; at 3 it was 0.07.
 */
const maxLoadFactor = 3;

/**
 * Maximum number of leading blocks that determine the affinity. Prompts of one service share their
 * first blocks, so fewer blocks would send all of them to the same backend server. Later blocks
 * change as a conversation grows.
 */
const maxAffinityBlocks = 8;

const hashRange = 2 ** 32;
const halfHashRange = hashRange / 2;

/** Returns the hash of the block that determines the affinity; undefined for a prompt shorter than one block. */
export const getAffinityBlock = (chain: readonly bigint[]): bigint | undefined => chain[Math.min(maxAffinityBlocks, chain.length) - 1];

/** Returns the lowest 32 bits of the affinity block's hash as a number. */
export const getAffinityKey = (chain: readonly bigint[]): number | undefined => {
	const hash = getAffinityBlock(chain);
	return hash === undefined ? undefined : Number(BigInt.asUintN(32, hash));
};

const hashToUniform = (keyHash: number, idHash: number): number => (weighMember(keyHash, idHash) + halfHashRange + 0.5) / hashRange;

/** Computes the score of a member for a key. With weighted rendezvous hashing, members own keys in proportion to their weights. */
export const scoreMember = (keyHash: number, idHash: number, weight: number): number => -weight / Math.log(hashToUniform(keyHash, idHash));

/** Engines own prompts in proportion to their cache size; otherwise engines with a small cache would recompute their prompts repeatedly. */
const getWeight = (backend: BackendView): number => Math.max(1, backend.cacheTokens);

/** Finds the preferred backend server of a prompt. The load bound keeps a hot prefix from overloading a single backend server. */
export const findPreferredBackend = (context: RoutingContext, candidates: readonly BackendView[]): BackendView | undefined => {
	const key = getAffinityKey(context.call.prefixHashes);
	if (key === undefined || candidates.length === 0) {
		return undefined;
	}

	let totalLoad = 0;
	let totalWeight = 0;
	for (const backend of candidates) {
		totalLoad += estimateLoad(backend);
		totalWeight += getWeight(backend);
	}

	let preferred: BackendView | undefined;
	let highestScore = Number.NEGATIVE_INFINITY;
	for (const backend of candidates) {
		const weight = getWeight(backend);
		const uniform = hashToUniform(key, backend.idHash);
		// The score is at most this value, because -ln(u) >= 1 - u. Most members are skipped without computing a logarithm.
		if (weight / (1 - uniform) <= highestScore) {
			continue;
		}

		const maxLoad = (totalLoad * maxLoadFactor * (weight / totalWeight)) + 1;
		const score = -weight / Math.log(uniform);
		if (score > highestScore && estimateLoad(backend) <= maxLoad) {
			preferred = backend;
			highestScore = score;
		}
	}

	return preferred;
};
