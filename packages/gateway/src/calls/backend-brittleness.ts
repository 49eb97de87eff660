/** Backend servers that fall over when they turn calls away: learns of them from answers and peers, and decides whether a place is free. */
import {
	applyBrittleness, type BrittlenessStatement, computePauseMs, countOwnPlaces, countUsedPlaces, isInForce, recordRejection, limitAfterRejection,
} from '@shallotpass/core/limits/brittleness.js';
import {
	endedBrittleness, type ReportedBrittleness, type ReportedBrittlenesses, trimBrittlenesses,
} from '@shallotpass/core/limits/reported-brittleness.js';
import {type GatewayState} from '../gateway-state.js';
import {type StatedBrittleness} from '../ports.js';
import {type BackendState} from './backend-registry.js';
import {getPropagationMs} from './limit-propagation.js';

export const isBrittle = ({brittleness}: BackendState): boolean => brittleness?.statement.rejections !== undefined;

const recordStatement = (gateway: GatewayState, state: BackendState, statement: BrittlenessStatement, source: {request?: string; peer?: string}): void => {
	const before = state.brittleness?.statement.rejections;
	state.brittleness = applyBrittleness(state.brittleness, statement, gateway.clocks.steady());
	const rejections = state.brittleness?.statement.rejections;
	if (rejections !== before) {
		gateway.unreportedLimits[source.peer === undefined ? 'areOwn' : 'areFromPeers'] = true;
		gateway.log.write('state', 'backend_brittle', {
			backend: state.entry.id, service: state.entry.service, rejections, before, ...source, places: state.entry.places,
		});
	}
};

export type BrittleAnswer = {
	readonly requestId: string;
	/** When the call was sent, in true time in milliseconds. */
	readonly sentAt: number;
	/** Whether the backend server turned the call away for want of room. */
	readonly isRejection: boolean;
};

/** Records what an answer states. */
export const observeBrittleness = (gateway: GatewayState, state: BackendState, stated: StatedBrittleness, {requestId, sentAt, isRejection}: BrittleAnswer): void => {
	if (stated.kind === 'unreadable') {
		gateway.log.write('failure', 'backend_brittle_unreadable', {backend: state.entry.id, request: requestId, text: stated.text});
		return;
	}

	recordStatement(gateway, state, {rejections: stated.kind === 'brittle' ? stated.rejections : undefined, statedAt: sentAt}, {request: requestId});
	if (isRejection && isBrittle(state)) {
		state.brittleness = recordRejection(state.brittleness!, gateway.clocks.trueTime());
		gateway.unreportedLimits.areOwn = true;
		gateway.log.write('state', 'backend_rejection', {
			backend: state.entry.id, request: requestId, own: state.running, others: state.othersRunning, places: state.entry.places,
		});
	}
};

/** Records what a peer has reported of the same incarnation. */
export const adoptBrittleness = (gateway: GatewayState, state: BackendState, [rejections, statedAt, incarnationHash, rejectedAt]: ReportedBrittleness, peer: string): void => {
	if (incarnationHash !== state.incarnationHash) {
		return;
	}

	recordStatement(gateway, state, {rejections: rejections === endedBrittleness ? undefined : rejections, statedAt}, {peer});
	if (state.brittleness !== undefined && rejectedAt > state.brittleness.rejectedAt) {
		state.brittleness = recordRejection(state.brittleness, rejectedAt);
		gateway.unreportedLimits.areFromPeers = true;
	}
};

export const reportBrittleness = ({registry}: GatewayState): ReportedBrittlenesses =>
	trimBrittlenesses(Object.fromEntries([...registry.byId.values()].filter(({brittleness}) => brittleness !== undefined).map(({entry, incarnationHash, brittleness}): [string, ReportedBrittleness] => {
		const {statement: {rejections, statedAt}, rejectedAt} = brittleness!;
		return [entry.id, [rejections ?? endedBrittleness, Math.round(statedAt), incarnationHash, Math.round(rejectedAt)]];
	})));

/** Estimated time until a place is free, in milliseconds. */
const placeWaitMs = 100;

/** Part of an engine's cache that running calls may fill. */
const usedCachePart = 0.9;

/** Whether the engine's cache has room for the call beside those of this daemon, which may use a part as large as that of its places. */
const hasCacheRoom = (gateway: GatewayState, state: BackendState, ownPlaces: number, tokens: number): boolean => {
	const engine = gateway.configuration?.servicesByName.get(state.entry.service)?.engine;
	if (engine === undefined || state.running === 0) {
		return true;
	}

	return state.runningTokens + tokens <= engine.cacheTokens * usedCachePart * ownPlaces / countUsedPlaces(state.entry.places);
};

/** Returns the estimated milliseconds until this daemon may send a call of so many tokens to the backend server. 0 if it may now. */
export const estimatePlaceWait = (gateway: GatewayState, state: BackendState, tokens: number): number => {
	const {brittleness} = state;
	const now = gateway.clocks.steady();
	if (brittleness === undefined || !isInForce(brittleness, now)) {
		return 0;
	}

	const trueTime = gateway.clocks.trueTime();
	const pausedMs = computePauseMs(brittleness, trueTime);
	if (pausedMs > 0) {
		return pausedMs;
	}

	const places = countOwnPlaces({
		backend: {incarnationHash: state.incarnationHash, availabilityZone: state.entry.availabilityZone},
		history: gateway.participants.get(state.entry.service) ?? [],
		daemon: gateway.settings.instance.id,
		places: state.entry.places,
		now,
		propagationMs: getPropagationMs(gateway),
	});
	const usable = limitAfterRejection(places, brittleness, trueTime);
	return state.running < usable && hasCacheRoom(gateway, state, usable, tokens) ? 0 : placeWaitMs;
};
