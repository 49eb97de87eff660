/** Ways of choosing a backend server. The simple ones are kept as baselines for measurements. */
import {listCandidates} from './list-candidates.js';
import {estimateLoad, predictAnswer} from './predict-wait.js';
import {rankByRendezvous, weighMember} from './rank-by-rendezvous.js';
import {type BackendView, type RoutingContext, type RoutingPolicy} from './types.js';

const pickLowest = (backends: readonly BackendView[], computeCost: (backend: BackendView) => number): BackendView | undefined => {
	let best: BackendView | undefined;
	let bestCost = Number.POSITIVE_INFINITY;
	for (const backend of backends) {
		const cost = computeCost(backend);
		if (cost < bestCost) {
			best = backend;
			bestCost = cost;
		}
	}

	return best;
};

const pickRandom = (backends: readonly BackendView[], random: () => number): BackendView | undefined =>
	backends[Math.floor(random() * backends.length)];

/** Each in turn. */
export const makeRoundRobin = (): RoutingPolicy => {
	let turn = 0;
	return ({call, backends}) => {
		const candidates = listCandidates(call, backends);
		turn++;
		return candidates[turn % Math.max(1, candidates.length)];
	};
};

/** The one with the fewest calls. */
export const chooseLeastRequests: RoutingPolicy = ({call, backends}) =>
	pickLowest(listCandidates(call, backends), backend => estimateLoad(backend));

/** The better of two at random. */
export const chooseTwoChoices: RoutingPolicy = ({call, backends, random}) => {
	const candidates = listCandidates(call, backends);
	const pair = [pickRandom(candidates, random), pickRandom(candidates, random)].filter(backend => backend !== undefined);
	return pickLowest(pair, backend => estimateLoad(backend));
};

/** Always the home of the prompt's beginning. */
export const choosePrefixAffinity: RoutingPolicy = ({call, backends, random}) => {
	const candidates = listCandidates(call, backends);
	const first = call.chain[0];
	if (first === undefined) {
		return pickRandom(candidates, random);
	}

	const home = rankByRendezvous(String(first), candidates.map(backend => backend.id))[0];
	return candidates.find(backend => backend.id === home);
};

/** A home takes at most this many times the mean load; beyond it the next in rank is the home. */
const loadBound = 1.25;

/** The home of a prompt among candidates, bounded so that one hot prefix does not drown its home. */
export const findHome = (context: RoutingContext, candidates: readonly BackendView[]): BackendView | undefined => {
	const first = context.call.chain[0];
	if (first === undefined || candidates.length === 0) {
		return undefined;
	}

	let total = 0;
	for (const backend of candidates) {
		total += estimateLoad(backend);
	}

	const bound = ((total / candidates.length) * loadBound) + 1;
	const keyHash = Number(BigInt.asUintN(32, first));
	let home: BackendView | undefined;
	let highest = Number.NEGATIVE_INFINITY;
	for (const backend of candidates) {
		const weight = weighMember(keyHash, backend.id);
		if (weight > highest && estimateLoad(backend) <= bound) {
			home = backend;
			highest = weight;
		}
	}

	return home;
};

const sampledCandidates = 4;

/** Milliseconds that one credit an hour is worth in a choice; small against waits, so that it decides between equals. */
const priceWeightMs = 4;

/** Milliseconds that leaving the availability zone costs, beyond the network's own. */
const otherZoneMs = 3;

/**
 * The lowest of predicted wait, reading of what is not cached, and price. A few
 * are sampled beside the home and the holders of the prefix, so that daemons with
 * the same lagging reports do not all run to the same one.
 */
export const chooseLowestCost: RoutingPolicy = context => {
	const {call, backends, countCachedBlocks, random} = context;
	const candidates = listCandidates(call, backends);
	const considered = new Set<BackendView>();
	const home = findHome(context, candidates);
	if (home !== undefined) {
		considered.add(home);
	}

	const holders = call.chain[0] === undefined ? undefined : context.listHolders(call.chain[0]);
	if (holders !== undefined) {
		for (const backend of candidates) {
			if (holders.has(backend.id)) {
				considered.add(backend);
			}
		}
	}

	for (let index = 0; index < sampledCandidates; index++) {
		const sampled = pickRandom(candidates, random);
		if (sampled !== undefined) {
			considered.add(sampled);
		}
	}

	return pickLowest([...considered], backend =>
		predictAnswer(backend, call, countCachedBlocks(backend.id, call.chain))
		+ (backend.price * priceWeightMs)
		+ (backend.availabilityZone === call.availabilityZone ? 0 : otherZoneMs));
};
