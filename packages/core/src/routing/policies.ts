/** Routing policies. The simple ones are baselines for measurements. */
import {isCandidate, listCandidates} from './list-candidates.js';
import {
	findPreferredBackend, getAffinityBlock, getAffinityKey, scoreMember,
} from './find-preferred-backend.js';
import {computeCost, estimateCachedBlocks} from './compute-cost.js';
import {estimateLoad} from './predict-wait.js';
import {type BackendView, type RoutingPolicy} from './types.js';

const pickLowest = (backends: readonly BackendView[], getCost: (backend: BackendView) => number): BackendView | undefined => {
	let best: BackendView | undefined;
	let bestCost = Number.POSITIVE_INFINITY;
	for (const backend of backends) {
		const cost = getCost(backend);
		if (cost < bestCost) {
			best = backend;
			bestCost = cost;
		}
	}

	return best;
};

const pickRandom = (backends: readonly BackendView[], random: () => number): BackendView | undefined =>
	backends[Math.floor(random() * backends.length)];

/** Makes a policy that chooses the candidates in turn. */
export const makeRoundRobin = (): RoutingPolicy => {
	let requestCount = 0;
	return ({call, backends}) => {
		const candidates = listCandidates(call, backends);
		requestCount++;
		return candidates[requestCount % Math.max(1, candidates.length)];
	};
};

/** Chooses the candidate with the fewest calls. */
export const chooseLeastRequests: RoutingPolicy = ({call, backends}) =>
	pickLowest(listCandidates(call, backends), backend => estimateLoad(backend));

/** Chooses the less loaded of two random candidates. */
export const choosePowerOfTwo: RoutingPolicy = ({call, backends, random}) => {
	const candidates = listCandidates(call, backends);
	const pair = [pickRandom(candidates, random), pickRandom(candidates, random)].filter(backend => backend !== undefined);
	return pickLowest(pair, backend => estimateLoad(backend));
};

/** Always chooses the owner of the prompt prefix by rendezvous hashing with equal weights. */
export const choosePrefixAffinity: RoutingPolicy = ({call, backends, random}) => {
	const candidates = listCandidates(call, backends);
	const key = getAffinityKey(call.prefixHashes);
	return key === undefined
		? pickRandom(candidates, random)
		: pickLowest(candidates, backend => -scoreMember(key, backend.idHash, 1));
};

const sampleCount = 4;

/**
 * Chooses the lowest cost among the preferred backend server of the prompt, those known to have it
 * cached and a few random ones. Sampling keeps daemons with the same outdated reports from all
 * choosing the same one.
 */
export const chooseLowestCost: RoutingPolicy = context => {
	const {call, random} = context;
	const candidates = listCandidates(call, context.backends);
	const considered = new Set<BackendView>();
	const preferred = findPreferredBackend(context, candidates);
	if (preferred !== undefined) {
		considered.add(preferred);
	}

	const affinityBlock = getAffinityBlock(call.prefixHashes);
	const holders = affinityBlock === undefined ? undefined : context.listHolders(affinityBlock);
	if (holders !== undefined) {
		const isHealthy = (candidates[0]?.avoidUntil ?? 0) <= call.now;
		for (const id of holders) {
			const holder = context.findBackend(id);
			if (holder !== undefined && isCandidate(call, holder) && (holder.avoidUntil <= call.now) === isHealthy) {
				considered.add(holder);
			}
		}
	}

	for (let index = 0; index < sampleCount; index++) {
		const sampled = pickRandom(candidates, random);
		if (sampled !== undefined) {
			considered.add(sampled);
		}
	}

	return pickLowest([...considered], backend => computeCost(backend, call, estimateCachedBlocks(context, backend, preferred)));
};
