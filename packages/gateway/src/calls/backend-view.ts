/** What the choice of a backend server needs to know of each. */
import {estimateCurrentSlowness} from '@shallotpass/core/placement/current-speed.js';
import {
	computeEngineSpeed, decayPrefillRecord, defaultLatencyModel, type LatencyModel,
} from '@shallotpass/core/placement/engine-latency.js';
import {combinePlainMs, decayPlainRecord} from '@shallotpass/core/placement/plain-durations.js';
import {predictPlainAnswer} from '@shallotpass/core/placement/choose-backend.js';
import {type BackendView, type Load} from '@shallotpass/core/placement/types.js';
import {usesOwnZoneOnly} from '@shallotpass/core/gossip/filter-loads.js';
import {type BackendRegistry, type BackendState} from './backend-registry.js';
import {computeContentWaitMs, computeSilenceMs} from './backend-waits.js';

/** Returns the latency model of a backend server, computed from the measurements of all daemons and the model of its service. */
export const getLatencyModel = (registry: BackendRegistry, state: BackendState, now: number): LatencyModel => {
	const latencyModel = registry.latencyModels.get(state.entry.service) ?? defaultLatencyModel;
	return {...latencyModel, tokensPerMs: computeEngineSpeed([decayPrefillRecord(state.prefill, now), state.othersPrefill], latencyModel)};
};

/** Whether this daemon sends its calls to backend servers of its own availability zone only, for all services alike. */
export const isLimitedToOwnZone = (registry: BackendRegistry, ownZone: string): boolean => {
	let inZone = 0;
	for (const {entry} of registry.byId.values()) {
		inZone += entry.availabilityZone === ownZone ? 1 : 0;
	}

	return usesOwnZoneOnly(registry.byId.size, inZone);
};

export type BackendViewOptions = {
	readonly latencyModel: LatencyModel;
	/** Estimated number of the call's prompt tokens that the backend server has cached. */
	readonly cachedTokens: number;
	/** Engine time that other calls lose; undefined if the call has no shared parts. */
	readonly lostEngineMs: number | undefined;
	/** Penalty from the call's own order of backend servers, which spreads calls, in milliseconds. */
	readonly spreadPenaltyMs: number;
	/** Additional wait that is accepted because of its limit, in milliseconds. */
	readonly limitPreferenceMs: number;
	/** Maximum number of concurrent calls of this daemon. */
	readonly maxOwnCalls: number;
	readonly ownZone: string;
	readonly isStream: boolean;
	/** On the steady clock. */
	readonly now: number;
};

/** A plain call that takes longer than this multiple of the mean is overdue. */
const overdueFactor = 3;

/** Milliseconds for which a plain call is overdue, though its answer may have begun: the mean knows only of those that have ended. */
const computeOverdueMs = (state: BackendState, now: number): number => computeContentWaitMs(state, now) - (state.plainMs * overdueFactor);

const toLoad = (running: number, pendingTokens: readonly number[]): Load => ({running, pendingTokens});

/** Returns the mean duration of plain calls, from the own ones and those of other daemons. */
const getPlainMs = ({plainMs, plainCalls, othersPlain}: BackendState, now: number): number => combinePlainMs(plainMs, decayPlainRecord(plainCalls, now), othersPlain);

/** Predicts the answer time of a plain call that is sent to the backend server now. */
export const predictPlainMs = (state: BackendState, now: number): number => predictPlainAnswer({
	own: toLoad(state.running, state.pendingTokens),
	others: toLoad(state.othersRunning, state.othersPendingTokens),
	places: state.entry.places,
	plainMs: getPlainMs(state, now),
	currentSlowness: estimateCurrentSlowness(state.speed, now),
});

export const toBackendView = (state: BackendState, {latencyModel, cachedTokens, lostEngineMs, spreadPenaltyMs, limitPreferenceMs, maxOwnCalls, ownZone, isStream, now}: BackendViewOptions): BackendView => ({
	id: state.entry.id,
	isInOtherZone: state.entry.availabilityZone !== ownZone,
	places: state.entry.places,
	isReclaimable: state.entry.isReclaimable,
	latencyModel,
	plainMs: getPlainMs(state, now),
	currentSlowness: estimateCurrentSlowness(state.speed, now),
	own: toLoad(state.running, state.pendingTokens),
	others: toLoad(state.othersRunning, state.othersPendingTokens),
	failureRate: state.failureRate,
	isAtConnectionLimit: state.running >= maxOwnCalls,
	cachedTokens,
	...(lostEngineMs !== undefined && {lostEngineMs}),
	spreadPenaltyMs,
	limitPreferenceMs,
	silentMs: Math.max(computeSilenceMs(state, now), isStream ? 0 : computeOverdueMs(state, now)),
});
