/** Chooses a backend server from the registry for a call. */
import {type Call, isStream} from '@shallotpass/core/calls/types.js';
import {type Choice, chooseBackend} from '@shallotpass/core/placement/choose-backend.js';
import {needsRelays} from '@shallotpass/core/gossip/pick-relays.js';
import {defaultLatencyModel} from '@shallotpass/core/placement/engine-latency.js';
import {countCachedTokens, findPreferredBackend, getAffinityHash} from '@shallotpass/core/placement/prompt-affinity.js';
import {computeOrderPosition, computeUnreportedMs} from '@shallotpass/core/placement/spread-choices.js';
import {countDaemons, type GatewayState, peerExpiryMs} from '../gateway-state.js';
import {
	type BackendState, getLatencyModel, isLimitedToOwnZone, toBackendView,
} from './backend-registry.js';

/** Share of a service's connection limit that the known daemons use. The rest is left for daemons not known yet and for closing connections. */
const usedConnectionShare = 0.85;

/** Milliseconds until this daemon knows the calls of other daemons: one gossip round, or two to three rounds through relays. */
const gossipDelayMs = 300;
const relayedGossipDelayMs = 900;

/** Estimates the prefill time that other daemons send to a backend server before their reports arrive, in milliseconds. */
const estimateUnreportedMs = (gateway: GatewayState, service: string, backendCount: number): number => {
	const reportedSince = gateway.clocks.steady() - peerExpiryMs;
	let tokensPerSecond = 0;
	for (const peer of gateway.peers.values()) {
		tokensPerSecond += peer.receivedAt >= reportedSince ? peer.work[service] ?? 0 : 0;
	}

	return computeUnreportedMs({
		tokensPerSecond,
		gossipDelayMs: needsRelays(countDaemons(gateway)) ? relayedGossipDelayMs : gossipDelayMs,
		backends: backendCount,
		tokensPerMs: (gateway.registry.latencyModels.get(service) ?? defaultLatencyModel).tokensPerMs,
	});
};

export type Placement = {
	readonly state: BackendState;
	readonly choice: Choice;
	readonly cachedTokens: number;
	/** When the backend server was chosen, on the steady clock. */
	readonly chosenAt: number;
};

export type PlacementOptions = {
	/** Incarnations that the call was already sent to. */
	readonly attemptedIncarnations: ReadonlySet<string>;
};

/** Returns the best available backend server for the call, or undefined if there is none. */
export const placeCall = (gateway: GatewayState, call: Call, options: PlacementOptions): Placement | undefined => {
	const now = gateway.clocks.steady();
	const service = gateway.configuration?.servicesByName.get(call.service);
	const ready = gateway.registry.byService.get(call.service) ?? [];
	const available = ready.filter(state => state.suspendedUntil <= now && !options.attemptedIncarnations.has(state.incarnation));
	const {availabilityZone: ownZone} = gateway.settings.instance;
	const sameZone = isLimitedToOwnZone(gateway.registry, ownZone) ? available.filter(state => state.entry.availabilityZone === ownZone) : [];
	// A service without available backend servers in this zone is served by the other zones.
	const candidates = sameZone.length > 0 ? sameZone : available;
	const maxOwnCalls = Math.max(2, Math.floor((service?.maxConnections ?? 64) * usedConnectionShare / countDaemons(gateway)));
	const keyHash = getAffinityHash(call);
	const preferred = findPreferredBackend(keyHash, candidates);
	const unreportedMs = estimateUnreportedMs(gateway, call.service, candidates.length);
	const views = candidates.map(state => toBackendView(state, {
		latencyModel: getLatencyModel(gateway.registry, state, now),
		cachedTokens: countCachedTokens(call.promptParts, {wasSent: partId => state.knownParts.has(partId), isPreferred: state === preferred}),
		spreadPenaltyMs: unreportedMs * computeOrderPosition(keyHash, state.incarnationHash),
		maxOwnCalls,
		ownZone,
		now,
	}));
	const placedCall = {
		rank: call.rank,
		promptTokens: call.promptTokens,
		isStream: isStream(call.repeatability),
		isPinned: call.repeatability === 'stream_once',
	};
	const choice = chooseBackend(views, placedCall, gateway.random);
	const state = choice && gateway.registry.byId.get(choice.id);
	return choice && state && {
		state, choice, chosenAt: now, cachedTokens: countCachedTokens(call.promptParts, {wasSent: partId => state.knownParts.has(partId), isPreferred: state === preferred}),
	};
};
