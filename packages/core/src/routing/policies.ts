/** Ways of choosing a backend server. The simple ones are kept as baselines for measurements. */
import {isCandidate, listCandidates} from './list-candidates.js';
import {
	findHome, getHomeBlock, getHomeKey, scoreMember,
} from './find-home.js';
import {computeCost, estimateCachedBlocks} from './compute-cost.js';
import {estimateLoad} from './predict-wait.js';
import {type BackendView, type RoutingPolicy} from './types.js';

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

/** Always the home of the prompt's beginning, each engine owning as many. */
export const choosePrefixAffinity: RoutingPolicy = ({call, backends, random}) => {
	const candidates = listCandidates(call, backends);
	const key = getHomeKey(call.chain);
	return key === undefined
		? pickRandom(candidates, random)
		: pickLowest(candidates, backend => -scoreMember(key, backend.idHash, 1));
};

const sampledCandidates = 4;

/**
 * The lowest cost among the home of the prompt, those known to hold it, and a few
 * sampled ones, so that daemons with the same lagging reports do not all run to
 * the same one.
 */
export const chooseLowestCost: RoutingPolicy = context => {
	const {call, random} = context;
	const candidates = listCandidates(call, context.backends);
	const considered = new Set<BackendView>();
	const home = findHome(context, candidates);
	if (home !== undefined) {
		considered.add(home);
	}

	const homeBlock = getHomeBlock(call.chain);
	const holders = homeBlock === undefined ? undefined : context.listHolders(homeBlock);
	if (holders !== undefined) {
		const isHealthy = (candidates[0]?.avoidUntil ?? 0) <= call.now;
		for (const id of holders) {
			const holder = context.findBackend(id);
			if (holder !== undefined && isCandidate(call, holder) && (holder.avoidUntil <= call.now) === isHealthy) {
				considered.add(holder);
			}
		}
	}

	for (let index = 0; index < sampledCandidates; index++) {
		const sampled = pickRandom(candidates, random);
		if (sampled !== undefined) {
			considered.add(sampled);
		}
	}

	return pickLowest([...considered], backend => computeCost(backend, call, estimateCachedBlocks(context, backend, home)));
};
