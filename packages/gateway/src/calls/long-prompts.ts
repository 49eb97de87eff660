/** Separates long prompts from other calls of services whose streams differ in urgency or objective. */
import {type Call, isStream} from '@shallotpass/core/calls/types.js';
import {computeWorkRate, recordWork} from '@shallotpass/core/engines/work-rate.js';
import {defaultLatencyModel} from '@shallotpass/core/placement/engine-latency.js';
import {computeSeparationPenalty, isLongPrompt, pickLanes} from '@shallotpass/core/placement/long-prompts.js';
import {type GatewayState, peerExpiryMs} from '../gateway-state.js';
import {type BackendState} from './backend-registry.js';
import {getLatencyModel} from './backend-view.js';

export type LanesOfService = {
	/** Incarnations of the backend servers. */
	readonly incarnations: ReadonlySet<string>;
	/** When they are picked again, on the steady clock. */
	readonly validUntil: number;
};

/** Time for which lanes are kept: about one gossip round, as the figures that decide on them come in reports. */
const lanesValidMs = 300;

/** Sums the prompt tokens per second that callers send to the other daemons. */
export const sumReportedWork = (gateway: GatewayState, service: string, field: 'work' | 'longWork'): number => {
	const reportedSince = gateway.clocks.steady() - peerExpiryMs;
	let tokensPerSecond = 0;
	for (const peer of gateway.peers.values()) {
		tokensPerSecond += peer.receivedAt >= reportedSince ? peer[field][service] ?? 0 : 0;
	}

	return tokensPerSecond;
};

/** Whether the call shares engines with streams of other urgency or objective. Plain calls have no prompt that others wait for. */
export const isOfMixedService = ({configuration}: GatewayState, {service, repeatability}: Call): boolean =>
	isStream(repeatability) && configuration?.mixedServices.has(service) === true;

/** Prompt tokens of the call's own part. Parts that calls share are cached, or soon will be. */
const getOwnTokens = ({promptParts, promptTokens}: Call): number => promptParts.at(-1)?.tokens ?? promptTokens;

const getObjectiveMs = ({targetAt, arrivedAt}: Call): number => targetAt - arrivedAt;

const isLong = ({registry}: GatewayState, call: Call): boolean => isLongPrompt({
	uncachedTokens: getOwnTokens(call), tokensPerMs: (registry.latencyModels.get(call.service) ?? defaultLatencyModel).tokensPerMs, objectiveMs: getObjectiveMs(call),
});

/** Counts the tokens of a stream that is sent, if it has a long prompt. Others count as none: an average that began with a long prompt would be too high. */
export const recordPrompt = (gateway: GatewayState, call: Call, now: number): void => {
	if (isOfMixedService(gateway, call)) {
		gateway.longWorkRates.set(call.service, recordWork(gateway.longWorkRates.get(call.service), isLong(gateway, call) ? getOwnTokens(call) : 0, now));
	}
};

const sumWork = (gateway: GatewayState, service: string, field: 'work' | 'longWork'): number => {
	const ownRates = field === 'work' ? gateway.workRates : gateway.longWorkRates;
	return computeWorkRate(ownRates.get(service), gateway.clocks.steady()) + sumReportedWork(gateway, service, field);
};

/** Returns the lanes of the service. All ready backend servers are considered, also those that this daemon doesn't reach, so that daemons agree. */
const getLanes = (gateway: GatewayState, service: string): LanesOfService => {
	const now = gateway.clocks.steady();
	const known = gateway.lanes.get(service);
	if (known !== undefined && now < known.validUntil) {
		return known;
	}

	const engines = (gateway.registry.byService.get(service) ?? []).map(state => ({
		incarnation: state.incarnation, incarnationHash: state.incarnationHash, tokensPerMs: getLatencyModel(gateway.registry, state, now).tokensPerMs,
	}));
	const picked = pickLanes(engines, {tokensPerSecond: sumWork(gateway, service, 'work'), longTokensPerSecond: sumWork(gateway, service, 'longWork')});
	const lanes = {incarnations: new Set([...picked].map(({incarnation}) => incarnation)), validUntil: now + lanesValidMs};
	gateway.lanes.set(service, lanes);
	return lanes;
};

/** Returns a function that computes the penalty of a backend server for the call, in milliseconds. */
export const makeLanePenalty = (gateway: GatewayState, call: Call): ((state: BackendState) => number) => {
	const {incarnations} = isOfMixedService(gateway, call) ? getLanes(gateway, call.service) : {incarnations: undefined};
	if (incarnations === undefined || incarnations.size === 0) {
		return () => 0;
	}

	const objectiveMs = getObjectiveMs(call);
	const isLongCall = isLong(gateway, call);
	return ({incarnation}) => computeSeparationPenalty({isLong: isLongCall, isLane: incarnations.has(incarnation), objectiveMs});
};
