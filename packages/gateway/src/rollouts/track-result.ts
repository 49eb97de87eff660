/** Records the outcomes of calls by software version while their service is in a rollout. */
import {type Call, isStream} from '@shallotpass/core/calls/types.js';
import {
	recordResult, recordSend, type ResultOutcome, type RolloutResult,
} from '@shallotpass/core/rollouts/record-result.js';
import {isEnded} from '@shallotpass/core/rollouts/is-ended.js';
import {type RolloutResults} from '@shallotpass/core/rollouts/types.js';
import {type BackendState} from '../calls/backend-registry.js';
import {type BreakFinding} from '../calls/connect-failures.js';
import {type GatewayState} from '../gateway-state.js';
import {canConnect} from '../paths/can-connect.js';
import {isCutOff} from '../paths/track-paths.js';

/** The first event of a stream counts as its answer, so that slow streams are seen before they end. One that fails later is counted once more, as a failure. */
export type ResultTracker = {
	readonly onEvents: () => void;
	/** A plain response is complete. */
	readonly onWhole: () => void;
	/** The response has a status of 500 or more, or belongs to another call. */
	readonly onError: () => void;
	/** The connection broke. */
	readonly onBreak: (finding: BreakFinding) => void;
	/** Nothing, or no end, came for so long that the call was sent elsewhere. */
	readonly onSilence: () => void;
	/** The caller left, or the deadline passed. */
	readonly onAbandoned: () => void;
};

const doNothing = (): void => {/* Nothing is recorded. */};

/** Used without a rollout, and for calls that are sent through a peer, which records their results. */
export const inactiveTracker: ResultTracker = {
	onEvents: doNothing, onWhole: doNothing, onError: doNothing, onBreak: doNothing, onSilence: doNothing, onAbandoned: doNothing,
};

/** Backend servers whose crash was counted. A crash breaks all calls of a server at once, and counts as one failure. */
const countedCrashes = new WeakSet<BackendState>();

export type SentRequest = {
	/** On the steady clock. */
	readonly sentAt: number;
	readonly uncachedTokens: number;
};

/** Records that the call is sent, and returns the tracker of its outcome. */
export const trackResult = (gateway: GatewayState, call: Call, state: BackendState, {sentAt, uncachedTokens}: SentRequest): ResultTracker => {
	const {service, routeName: route, repeatability} = call;
	const rollout = gateway.rollouts.byService.get(service);
	if (rollout === undefined || isEnded(rollout)) {
		return inactiveTracker;
	}

	const {offset} = rollout;
	const isNew = state.entry.softwareVersion === rollout.toVersion;
	const {results} = gateway.rollouts;
	const update = (change: (current: RolloutResults) => RolloutResults): void => {
		const current = results.get(service);
		if (current?.offset === offset) {
			results.set(service, change(current));
		}
	};

	/** When the response last showed progress, or the call was sent. */
	let heardAt = sentAt;
	let hasAnswered = false;
	const record = (outcome: ResultOutcome, details: Pick<RolloutResult, 'failureSource'> & {readonly tookMs?: number} = {}): void => {
		gateway.metrics.rolloutResults.inc({service, version: isNew ? 'new' : 'old', outcome});
		update(current => recordResult(current, {
			route, isNew, outcome, promptTokens: isStream(repeatability) ? uncachedTokens : 0, tookMs: undefined, ...details,
		}));
	};

	/** Records a failure that other calls at the backend server may share, as it may have ended and started again. */
	const recordSharedFailure = (): void => {
		record('failure', {failureSource: {backendId: state.entry.id, at: gateway.clocks.trueTime()}});
	};

	const recordAnswer = (): void => {
		hasAnswered = true;
		heardAt = gateway.clocks.steady();
		record('answer', {tookMs: heardAt - sentAt});
	};

	/** Records a failure unless the path to the backend server may have been lost. */
	const recordSilence = async (): Promise<void> => {
		if (isCutOff(gateway) || state.leavingSince !== undefined) {
			record('unknown');
			return;
		}

		const isReached = state.lastReadAt > heardAt || await canConnect(gateway.registry.openConnection, state.entry.address);
		if (isReached && !isCutOff(gateway)) {
			recordSharedFailure();
		} else {
			record('unknown');
		}
	};

	update(current => recordSend(current, {route, isNew}));
	return {
		onEvents() {
			if (hasAnswered) {
				heardAt = gateway.clocks.steady();
			} else {
				recordAnswer();
			}
		},
		onWhole: recordAnswer,
		onError() {
			record('failure');
		},
		onBreak(finding) {
			const isFirst = finding !== 'crashed' || !countedCrashes.has(state);
			if (finding === 'crashed') {
				countedCrashes.add(state);
			}

			if (isFirst && (finding === 'reachable' || finding === 'crashed')) {
				recordSharedFailure();
			} else {
				record('unknown');
			}
		},
		onSilence() {
			void recordSilence();
		},
		onAbandoned() {
			// A caller that leaves earlier is no evidence of a fault of the backend server.
			if (gateway.clocks.steady() - heardAt >= call.patienceMs) {
				void recordSilence();
			} else {
				record('unknown');
			}
		},
	};
};
