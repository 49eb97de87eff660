/** Chooses a backend server from the registry for a call. */
import {type Call, isStream} from '@shallotpass/core/calls/types.js';
import {type Choice, chooseBackend} from '@shallotpass/core/placement/choose-backend.js';
import {computeContinuityPenalty} from '@shallotpass/core/origins/compute-continuity-penalty.js';
import {needsRelays} from '@shallotpass/core/gossip/pick-relays.js';
import {defaultLatencyModel} from '@shallotpass/core/placement/engine-latency.js';
import {getAffinityHash} from '@shallotpass/core/placement/prompt-affinity.js';
import {computeOrderPosition, computeUnreportedMs} from '@shallotpass/core/placement/spread-choices.js';
import {countDaemons, type GatewayState} from '../gateway-state.js';
import {estimateCaches} from '../prefix-cache/estimate-caches.js';
import {isBrittle} from './backend-brittleness.js';
import {findUnheard, recordAsk} from './ask-unheard.js';
import {countMoreUrgentRanks, getLimitRoom, type LimitRoom} from './backend-limits.js';
import {getLatencyModel, isLimitedToOwnZone, toBackendView} from './backend-view.js';
import {type BackendState} from './backend-registry.js';
import {makeLanePenalty, sumReportedWork} from './long-prompts.js';
import {unknownVersion} from './count-versions.js';
import {getYieldingRank} from './yielding-rank.js';
import {listAvailableBackends, type PlacementOptions} from './list-available-backends.js';

/** Share of a service's connection limit that the known daemons use. The rest is left for daemons not known yet and for closing connections. */
const usedConnectionShare = 0.85;

/** Milliseconds until this daemon knows the calls of other daemons: one gossip round, or two to three rounds through relays. */
const gossipDelayMs = 300;
const relayedGossipDelayMs = 900;

/** Upper bound of the estimated wait for limits. Statements change within seconds. */
const maxLimitWaitMs = 5000;

/** Estimates the prefill time that other daemons send to a backend server before their reports arrive, in milliseconds. */
const estimateUnreportedMs = (gateway: GatewayState, {service, backendCount, othersWork}: {readonly service: string; readonly backendCount: number; readonly othersWork: number}): number =>
	computeUnreportedMs({
		tokensPerSecond: othersWork,
		gossipDelayMs: needsRelays(countDaemons(gateway)) ? relayedGossipDelayMs : gossipDelayMs,
		backends: backendCount,
		tokensPerMs: (gateway.registry.latencyModels.get(service) ?? defaultLatencyModel).tokensPerMs,
	});

export type Placement = {
	readonly state: BackendState;
	readonly choice: Choice;
	readonly cachedTokens: number;
	/** When the backend server was chosen, on the steady clock. */
	readonly chosenAt: number;
	/** Whether the call already counts against the backend server's limit. */
	readonly isCounted?: boolean;
	/** Whether the call yields, so that its wait says nothing about the backend server. */
	readonly isYielding?: boolean;
};

export type PlacementResult =
	| {readonly kind: 'placed'; readonly placement: Placement}
	| {readonly kind: 'none'}
	/** All available backend servers have stated limits that leave no room. `waitMs`: estimated time until one does. */
	| {readonly kind: 'limited'; readonly waitMs: number; readonly backends: number; /** Whether a place may become free soon. */ readonly isBrief: boolean};

type Candidate = {
	readonly state: BackendState;
	readonly room: LimitRoom;
};

/** Estimates the time until a limit leaves room for a call, here or at the daemons that hold the shares. */
const estimateWaitMs = (candidates: readonly Candidate[]): number => {
	let ownWaitMs = Infinity;
	let perSecond = 0;
	for (const {room} of candidates) {
		if (room.kind === 'exhausted') {
			ownWaitMs = Math.min(ownWaitMs, room.waitMs ?? Infinity);
			perSecond += room.perSecond;
		}
	}

	return Math.min(ownWaitMs, perSecond === 0 ? Infinity : 1000 / perSecond, maxLimitWaitMs);
};

/** Determines the room at each backend server. Calls are left to more urgent ranks only if no backend server is without a limit. */
const findRooms = (gateway: GatewayState, call: Call, states: readonly BackendState[], hasStarted: boolean): Candidate[] => {
	const getRooms = (moreUrgentRanks: number): Candidate[] => states.map(state => ({state, room: getLimitRoom(gateway, state, {hasStarted, moreUrgentRanks, tokens: call.promptTokens + call.outputTokens})}));
	const candidates = getRooms(0);
	const moreUrgentRanks = countMoreUrgentRanks(gateway, call.service, call.rank);
	return moreUrgentRanks === 0 || candidates.some(({room}) => room.kind === 'unlimited') ? candidates : getRooms(moreUrgentRanks);
};

/** Returns the backend servers with the fewest running calls, of this daemon and the others. */
const listLeastUsed = (states: readonly BackendState[]): BackendState[] => {
	const countRunning = ({running, othersRunning}: BackendState): number => running + othersRunning;
	const least = Math.min(...states.map(state => countRunning(state)));
	return states.filter(state => countRunning(state) === least);
};

/** Computes the penalty for beginning a stream at the backend server, in milliseconds. One that has begun has no choice of its version. */
const computeBeginPenalty = ({registry}: GatewayState, {service, repeatability}: Call, state: BackendState, {softwareVersion}: PlacementOptions): number => {
	const versions = registry.versionsByService.get(service);
	const own = versions?.get(state.entry.softwareVersion ?? unknownVersion);
	if (versions === undefined || own === undefined || softwareVersion !== undefined || !isStream(repeatability)) {
		return 0;
	}

	return computeContinuityPenalty({
		versions: versions.values(), own, running: state.running + state.othersRunning, places: state.entry.places,
	});
};

/** Returns the best available backend server for the call. */
export const placeCall = (gateway: GatewayState, call: Call, options: PlacementOptions): PlacementResult => {
	const now = gateway.clocks.steady();
	const service = gateway.configuration?.servicesByName.get(call.service);
	const available = listAvailableBackends(gateway, call, options);
	const rooms = findRooms(gateway, call, available, options.hasStarted);
	const withRoom = rooms.filter(({room}) => room.kind !== 'exhausted');
	if (rooms.length > 0 && withRoom.length === 0) {
		return {
			kind: 'limited', waitMs: estimateWaitMs(rooms), backends: rooms.length, isBrief: rooms.some(({state}) => isBrittle(state)),
		};
	}

	const limitPreferences = new Map(withRoom.map(({state, room}) => [state, room.kind === 'free' ? room.preferenceMs : 0]));
	const usable = withRoom.map(({state}) => state);
	const {availabilityZone: ownZone} = gateway.settings.instance;
	const sameZone = isLimitedToOwnZone(gateway.registry, ownZone) ? usable.filter(state => state.entry.availabilityZone === ownZone) : [];
	// A service without available backend servers in this zone is served by the other zones.
	const near = sameZone.length > 0 ? sameZone : usable;
	const candidates = options.mayCrash === true ? listLeastUsed(near) : near;
	const daemons = countDaemons(gateway);
	const maxOwnCalls = Math.max(2, Math.floor((service?.maxConnections ?? 64) * usedConnectionShare / daemons));
	const keyHash = getAffinityHash(call);
	const othersWork = sumReportedWork(gateway, call.service, 'work');
	const unreportedMs = estimateUnreportedMs(gateway, {service: call.service, backendCount: candidates.length, othersWork});
	const latencyModels = candidates.map(state => getLatencyModel(gateway.registry, state, now));
	const caches = estimateCaches(gateway, call, candidates, {
		latencyModels, keyHash, othersWork, daemons, now,
	});
	const computeLanePenalty = makeLanePenalty(gateway, call);
	const views = candidates.map((state, index) => toBackendView(state, {
		latencyModel: latencyModels[index]!,
		...caches[index]!,
		spreadPenaltyMs: (unreportedMs * computeOrderPosition(keyHash, state.incarnationHash)) + computeBeginPenalty(gateway, call, state, options) + computeLanePenalty(state),
		limitPreferenceMs: limitPreferences.get(state) ?? 0,
		maxOwnCalls,
		ownZone,
		isStream: isStream(call.repeatability),
		now,
	}));
	const placedCall = {
		rank: call.rank,
		promptTokens: call.promptTokens,
		isStream: isStream(call.repeatability),
		isPinned: call.repeatability === 'stream_once',
		slackMs: call.targetAt - now,
		yieldingRank: getYieldingRank(gateway, call.service),
	};
	const unheard = findUnheard(gateway, call, candidates, options);
	const choice = chooseBackend(unheard === undefined ? views : views.filter(({id}) => id === unheard.entry.id), placedCall, gateway.random);
	if (unheard !== undefined) {
		recordAsk(gateway, unheard);
	}

	const state = choice && gateway.registry.byId.get(choice.id);
	if (choice === undefined || state === undefined) {
		return {kind: 'none'};
	}

	const cachedTokens = views.find(({id}) => id === choice.id)?.cachedTokens ?? 0;
	return {
		kind: 'placed', placement: {
			state, choice, chosenAt: now, cachedTokens,
		},
	};
};
