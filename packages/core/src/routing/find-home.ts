/** The home of a prompt: where daemons agree, without a message, that its beginning is kept. */
import {estimateLoad} from './predict-wait.js';
import {weighMember} from './rank-by-rendezvous.js';
import {type BackendView, type RoutingContext} from './types.js';

/**
 * A home takes at most this many times its part of the load; beyond it the next in rank
 * is the home. At 1.25 homes gave way so often that 0.11 of the prompts were read anew, at 3 0.07.
 */
const loadBound = 3;

/**
 * Blocks of the beginning that tell prompts apart. Prompts of one service share
 * their first blocks, and by these alone all would have the same home; deeper ones
 * change as a conversation grows.
 */
const homeBlocks = 8;

const hashRange = 2 ** 32;
const halfRange = hashRange / 2;

/** The block that the home of the prompt hangs on; undefined for a prompt shorter than a block. */
export const getHomeBlock = (chain: readonly bigint[]): bigint | undefined => chain[Math.min(homeBlocks, chain.length) - 1];

/** Hash of that block as a number. */
export const getHomeKey = (chain: readonly bigint[]): number | undefined => {
	const hash = getHomeBlock(chain);
	return hash === undefined ? undefined : Number(BigInt.asUintN(32, hash));
};

const getUniform = (keyHash: number, idHash: number): number => (weighMember(keyHash, idHash) + halfRange + 0.5) / hashRange;

/** Weighted rendezvous hashing: a member owns keys in proportion to its weight. */
export const scoreMember = (keyHash: number, idHash: number, weight: number): number => -weight / Math.log(getUniform(keyHash, idHash));

/** Engines own prompts in proportion to their cache, or those with a small one would read theirs again and again. */
const getWeight = (backend: BackendView): number => Math.max(1, backend.cacheTokens);

/** The home among candidates, bounded so that one hot beginning does not drown its home. */
export const findHome = (context: RoutingContext, candidates: readonly BackendView[]): BackendView | undefined => {
	const key = getHomeKey(context.call.chain);
	if (key === undefined || candidates.length === 0) {
		return undefined;
	}

	let totalLoad = 0;
	let totalWeight = 0;
	for (const backend of candidates) {
		totalLoad += estimateLoad(backend);
		totalWeight += getWeight(backend);
	}

	let home: BackendView | undefined;
	let highest = Number.NEGATIVE_INFINITY;
	for (const backend of candidates) {
		const weight = getWeight(backend);
		const uniform = getUniform(key, backend.idHash);
		// No score is above this, since -ln(u) >= 1 - u; most members are passed over without a logarithm.
		if (weight / (1 - uniform) <= highest) {
			continue;
		}

		const bound = (totalLoad * loadBound * (weight / totalWeight)) + 1;
		const score = -weight / Math.log(uniform);
		if (score > highest && estimateLoad(backend) <= bound) {
			home = backend;
			highest = score;
		}
	}

	return home;
};
