/** Estimates from the state of this daemon what the backend servers have cached of a call's prompt. */
import {type Call} from '@shallotpass/core/calls/types.js';
import {computeWorkRate} from '@shallotpass/core/engines/work-rate.js';
import {maxNormalSilenceMs} from '@shallotpass/core/placement/choose-backend.js';
import {defaultLatencyModel, type LatencyModel} from '@shallotpass/core/placement/engine-latency.js';
import {estimatePrefixCaches, type PrefixEstimate} from '@shallotpass/core/placement/estimate-prefix-caches.js';
import {type PartUse} from '@shallotpass/core/placement/part-uses.js';
import {type BackendState} from '../calls/backend-registry.js';
import {computeSilenceMs} from '../calls/backend-waits.js';
import {type GatewayState} from '../gateway-state.js';

export type CacheContext = {
	/** Latency models of the candidates, in their order. */
	readonly latencyModels: readonly LatencyModel[];
	readonly keyHash: number;
	/** Prompt tokens per second that callers send to the other daemons. */
	readonly othersWork: number;
	readonly daemons: number;
	readonly now: number;
};

/** Returns the estimates in the order of the candidates. */
export const estimateCaches = (gateway: GatewayState, call: Call, candidates: readonly BackendState[], {latencyModels, keyHash, othersWork, daemons, now}: CacheContext): PrefixEstimate[] => {
	const {registry, workRates, partUses, configuration, directoryReadAt} = gateway;
	const ownWork = computeWorkRate(workRates.get(call.service), now);
	const readyCount = Math.max(1, registry.byService.get(call.service)?.length ?? 0);
	return estimatePrefixCaches(call, candidates, {
		service: {
			partUses: partUses.get(call.service) ?? new Map<string, PartUse>(),
			cacheTokens: configuration?.servicesByName.get(call.service)?.engine?.cacheTokens,
			tokensPerMs: (registry.latencyModels.get(call.service) ?? defaultLatencyModel).tokensPerMs,
			inflowPerMs: (ownWork + othersWork) / 1000 / readyCount,
			daemons,
		},
		keyHash,
		speeds: latencyModels.map(({tokensPerMs}) => tokensPerMs),
		getCondition: state => ({
			places: state.entry.places,
			joinedAt: directoryReadAt === undefined || state.joinedAt <= directoryReadAt ? Number.NEGATIVE_INFINITY : state.joinedAt,
			reliability: computeSilenceMs(state, now) > maxNormalSilenceMs ? 0 : 1 - state.failureRate,
		}),
		now,
	});
};
