/** Limits that backend servers state: learns them from answers and peers, and decides how many calls this daemon may send. */
import {
	applyStatement, type BackendLimit, computeConfirmationPreference, computeNeededLevel, computeRefill, estimateLimitWait, isAlmostFull, isLimited, type LimitRefill, refillLimit,
	returnCall, takeCall,
} from '@shallotpass/core/limits/backend-limit.js';
import {isNewerStatement, type LimitStatement} from '@shallotpass/core/limits/limit-statement.js';
import {estimateCallRate} from '@shallotpass/core/limits/participants.js';
import {type Holding, updateHolding} from '@shallotpass/core/limits/plan-sharing.js';
import {computeWorkRate, recordWork} from '@shallotpass/core/engines/work-rate.js';
import {countDaemons, type GatewayState} from '../gateway-state.js';
import {type StatedLimit} from '../ports.js';
import {estimatePlaceWait} from './backend-brittleness.js';
import {type BackendState} from './backend-registry.js';
import {getPropagationMs} from './limit-propagation.js';

/** Computes this daemon's part in the backend server's limit, from the participants that all daemons know. */
const getHolding = (gateway: GatewayState, state: BackendState): Holding => {
	state.holding = updateHolding(state.holding, {
		perSecond: state.limit?.statement.perSecond,
		backend: {incarnationHash: state.incarnationHash, availabilityZone: state.entry.availabilityZone},
		history: gateway.participants.get(state.entry.service) ?? [],
		daemon: gateway.settings.instance.id,
		now: gateway.clocks.steady(),
		propagationMs: getPropagationMs(gateway),
	});
	return state.holding.value;
};

type OwnPart = {
	readonly limit: BackendLimit;
	readonly refill: LimitRefill;
	readonly holding: Holding;
};

/** Fills the bucket of a limited backend server up to now. Returns undefined if calls to it are not limited. */
const refreshLimit = (gateway: GatewayState, state: BackendState): OwnPart | undefined => {
	const now = gateway.clocks.steady();
	if (state.limit === undefined || !isLimited(state.limit, now)) {
		return undefined;
	}

	const holding = getHolding(gateway, state);
	const refill = computeRefill(state.limit, {holding, daemons: countDaemons(gateway), now});
	state.limit = refillLimit(state.limit, refill, {holding, now});
	return {limit: state.limit, refill, holding};
};

/** Fills the buckets of all limited backend servers with the shares that hold so far. To be called before shares change. */
export const refreshLimits = (gateway: GatewayState): void => {
	for (const state of gateway.registry.byId.values()) {
		refreshLimit(gateway, state);
	}
};

export const hasStatedLimit = (state: BackendState): boolean => state.limit?.statement.perSecond !== undefined;

/** Where a statement was learned. */
export type StatementSource = {
	readonly request?: string;
	readonly status?: number;
	readonly peer?: string;
};

const recordStatement = (gateway: GatewayState, state: BackendState, statement: LimitStatement, source: StatementSource): void => {
	const before = state.limit?.statement.perSecond;
	refreshLimit(gateway, state);
	state.limit = applyStatement(state.limit, statement, {now: gateway.clocks.steady(), random: gateway.random});
	if (statement.perSecond !== before) {
		gateway.unreportedLimits[source.peer === undefined ? 'areOwn' : 'areFromPeers'] = true;
		gateway.log.write('state', 'backend_limit', {
			backend: state.entry.id, service: state.entry.service, perSecond: statement.perSecond, before, ...source,
			sentMs: Math.round(gateway.clocks.trueTime() - statement.statedAt), share: getHolding(gateway, state).share,
		});
	}
};

export type LimitAnswer = {
	readonly requestId: string;
	/** When the call was sent, in true time in milliseconds. */
	readonly sentAt: number;
	readonly status: number | undefined;
};

/** Records what an answer of the backend server states about its limit. An answer to a call that was sent before the one of the known statement changes nothing. */
export const observeLimit = (gateway: GatewayState, state: BackendState, limit: StatedLimit, answer: LimitAnswer): void => {
	if (limit.kind === 'unreadable') {
		gateway.log.write('failure', 'backend_limit_unreadable', {backend: state.entry.id, request: answer.requestId, text: limit.text});
		return;
	}

	const statement = {perSecond: limit.kind === 'limited' ? limit.perSecond : undefined, statedAt: answer.sentAt};
	if (isNewerStatement(statement, state.limit?.statement)) {
		recordStatement(gateway, state, statement, {request: answer.requestId, status: answer.status});
	}
};

/** Differences between the true times of two daemons up to this are not corrected. */
const clockToleranceMs = 300;

/** Records a statement that a peer has reported. */
export const adoptStatement = (gateway: GatewayState, state: BackendState, statement: LimitStatement, peer: string): void => {
	if (isNewerStatement(statement, state.limit?.statement, clockToleranceMs)) {
		recordStatement(gateway, state, statement, {peer});
	}
};

/** Time for which a limit must have held before other backend servers are ordered in its place: many last for seconds only. */
const orderAfterMs = 2000;

/** Estimates how many backend servers of the service are missing because they state limits below their part of the calls. */
export const countMissingBackends = (gateway: GatewayState, service: string): number => {
	const ready = gateway.registry.byService.get(service) ?? [];
	const since = gateway.clocks.steady() - orderAfterMs;
	const participants = gateway.participants.get(service)?.at(-1)?.participants ?? [];
	const usualPerSecond = estimateCallRate(participants, countDaemons(gateway)) / Math.max(1, ready.length);
	let missing = 0;
	for (const {limit} of ready) {
		const perSecond = limit?.statement.perSecond;
		if (limit !== undefined && perSecond !== undefined && limit.limitedSince <= since && perSecond < usualPerSecond) {
			missing += 1 - (perSecond / usualPerSecond);
		}
	}

	return missing;
};

/** Times the mean of all daemons from which the calls of one count as uneven load. */
const unevenLoadFactor = 2;

/** Whether callers send this daemon far more calls for the service than they send the others, as when the load balancer hands it most new connections. */
export const hasUnevenLoad = (gateway: GatewayState, service: string): boolean => {
	const daemons = countDaemons(gateway);
	const participants = gateway.participants.get(service)?.at(-1)?.participants ?? [];
	const own = computeWorkRate(gateway.callRates.get(service), gateway.clocks.steady());
	const others = estimateCallRate(participants.filter(({daemon}) => daemon !== gateway.settings.instance.id), daemons) / Math.max(1, daemons - 1);
	return daemons > 1 && own > unevenLoadFactor * others;
};

/** What a call needs to be sent to a limited backend server. */
export type LimitNeed = {
	/** Whether the call's run has started elsewhere and would be lost. */
	readonly hasStarted: boolean;
	/** Number of more urgent ranks for which calls should be left. */
	readonly moreUrgentRanks: number;
	/** Tokens that the call may take in an engine's cache. */
	readonly tokens: number;
};

export type LimitRoom =
	| {readonly kind: 'unlimited'}
	/** `preferenceMs`: additional wait that is accepted for the call to be sent there. */
	| {readonly kind: 'free'; readonly preferenceMs: number}
	/** `waitMs`: time until this daemon may send a call there, undefined if it holds no share of the limit. */
	| {readonly kind: 'exhausted'; readonly waitMs: number | undefined; readonly perSecond: number};

/** Additional wait that is accepted to use a part of a limit that would be lost. */
const unusedLimitPreferenceMs = 100;

const getPreferenceMs = ({limit, refill}: OwnPart, now: number): number =>
	Math.max(computeConfirmationPreference(limit, now), isAlmostFull(limit, refill) ? unusedLimitPreferenceMs : 0);

const unlimitedRoom: LimitRoom = {kind: 'unlimited'};

/** Determines whether the limit of the backend server leaves room for a call of this daemon. */
export const getLimitRoom = (gateway: GatewayState, state: BackendState, need: LimitNeed): LimitRoom => {
	const placeWaitMs = estimatePlaceWait(gateway, state, need.tokens);
	if (placeWaitMs > 0) {
		return {kind: 'exhausted', waitMs: placeWaitMs, perSecond: state.limit?.statement.perSecond ?? 0};
	}

	const part = refreshLimit(gateway, state);
	if (part === undefined) {
		return unlimitedRoom;
	}

	const {limit, refill} = part;
	const needed = computeNeededLevel(refill, need);
	if (refill.most > 0 && limit.level >= needed) {
		return {kind: 'free', preferenceMs: getPreferenceMs(part, gateway.clocks.steady())};
	}

	return {kind: 'exhausted', waitMs: estimateLimitWait(limit, refill, needed), perSecond: limit.statement.perSecond ?? 0};
};

/** Counts a call that is sent to the backend server against its limit. */
export const takeFromLimit = (gateway: GatewayState, state: BackendState): void => {
	if (refreshLimit(gateway, state) !== undefined) {
		state.limit = takeCall(state.limit!);
	}
};

/** Gives back a call that was counted and then certainly not sent. */
export const returnToLimit = (gateway: GatewayState, state: BackendState): void => {
	if (refreshLimit(gateway, state) !== undefined) {
		state.limit = returnCall(state.limit!);
	}
};

/** Time for which calls of a rank count as still coming. */
const rankActiveMs = 2000;

/** Records that a call of the service arrived, for this daemon's part in limits. */
export const recordArrival = (gateway: GatewayState, service: string, rank: number): void => {
	const now = gateway.clocks.steady();
	gateway.callRates.set(service, recordWork(gateway.callRates.get(service), 1, now));
	const times = gateway.rankTimes.get(service) ?? [];
	times[rank] = now;
	gateway.rankTimes.set(service, times);
};

/** Counts the more urgent ranks of which the service has had calls lately. */
export const countMoreUrgentRanks = (gateway: GatewayState, service: string, rank: number): number => {
	const since = gateway.clocks.steady() - rankActiveMs;
	return (gateway.rankTimes.get(service) ?? []).slice(0, rank).filter(at => at >= since).length;
};
