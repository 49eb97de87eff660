/** Results of an attempt that was not sent, and the outcomes of calls that get no answer of a backend server. */
import {type Call} from '@shallotpass/core/calls/types.js';
import {makeGoneRefusal} from '../origins/continuity.js';
import {type CallContext} from './call-context.js';
import {type CallProgress} from './call-progress.js';
import {type Refusal} from './refusal.js';
import {type AttemptResult} from './run-at-backend.js';

/** Outcome of a call, as reported in metrics and logs. */
export type CallOutcome = {
	readonly name: string;
	readonly refusal?: Refusal;
	/** Why a response that had started ended early. */
	readonly detail?: string;
	/** Whether the call may have reached a backend server. */
	readonly hasArrived?: boolean;
};

export const makeFailureOutcome = ({possibleRuns, hasArrived, lastFailure}: CallProgress): CallOutcome => possibleRuns > 0
	? {name: 'backend_failed', hasArrived, refusal: {kind: 'backend_failed', detail: `The backend server failed: ${lastFailure}.`}}
	: {name: 'no_backend', hasArrived, refusal: {kind: 'no_backend', detail: `No backend server took the call: ${lastFailure}.`, retryAfterS: 0.2}};

/** What a call is answered whose answer has not begun when the process of a draining daemon ends. */
export const makeDrainOutcome = ({possibleRuns, hasArrived}: CallProgress): CallOutcome => possibleRuns > 0
	? {name: 'backend_failed', hasArrived, refusal: {kind: 'backend_failed', detail: 'This daemon left before the backend server answered.'}}
	: {name: 'draining', hasArrived, refusal: {kind: 'draining', detail: 'This daemon is leaving.', retryAfterS: 0}};

export type SendResult =
	| AttemptResult
	| {readonly kind: 'no_backend'}
	/** No backend server is reached from here, and a peer has refused the call; it was not run. */
	| {readonly kind: 'refused_by_peer'; readonly refusal: Refusal}
	/** Calls like this one crash backend servers; nothing was sent. */
	| {readonly kind: 'suspended'; readonly refusal: Refusal}
	/** All backend servers are too busy to respond before the deadline; nothing was sent. */
	| {readonly kind: 'unreachable'; readonly retryAfterS: number}
	/** No backend server has the version at which the stream must go on; nothing was sent. */
	| {readonly kind: 'version_gone'; readonly softwareVersion: string}
	/** All backend servers of the version at which the stream must go on have turned it away. */
	| {readonly kind: 'version_full'}
	/** All backend servers have stated limits that leave no room; nothing was sent. `waitMs`: estimated time until one has room. */
	| {readonly kind: 'limited'; readonly waitMs: number; readonly backends: number; readonly isBrief: boolean};

const unsentKinds = ['no_backend', 'version_gone', 'version_full', 'refused_by_peer', 'suspended', 'unreachable', 'limited'] as const;

export type UnsentResult = SendResult & {readonly kind: (typeof unsentKinds)[number]};

export const isUnsent = (result: SendResult): result is UnsentResult => (unsentKinds as readonly string[]).includes(result.kind);

/** Lower bound of Retry-After for calls that limits turn away, in seconds. */
const minLimitRetryAfterS = 0.2;

/** Refuses a call for which the limits of all backend servers leave no room. */
const refuseForLimits = ({gateway}: CallContext, call: Call, {waitMs, backends}: UnsentResult & {readonly kind: 'limited'}): CallOutcome => {
	// Callers that return at the same time would compete for the same calls.
	const jitter = 0.75 + (gateway.random() / 2);
	const retryAfterS = Math.max(minLimitRetryAfterS, waitMs * jitter / 1000);
	gateway.metrics.limitRefusals.inc({service: call.service});
	gateway.log.write('failure', 'backend_limits_reached', {
		request: call.id, service: call.service, rank: call.rank, backends, waitMs: Math.round(waitMs), retryAfterS,
	});
	const detail = 'All backend servers take fewer calls at the moment, and their limits are used up.';
	return {name: 'limited', refusal: {kind: 'over_capacity', detail, retryAfterS}};
};

/** Makes the outcome of a call that could not be sent to another backend server. */
export const makeUnsentOutcome = (context: CallContext, call: Call, progress: CallProgress, result: UnsentResult): CallOutcome => ({...describeUnsent(context, call, progress, result), hasArrived: progress.hasArrived});

const describeUnsent = (context: CallContext, call: Call, progress: CallProgress, result: UnsentResult): CallOutcome => {
	switch (result.kind) {
		case 'version_full':
		case 'no_backend': {
			return makeFailureOutcome(progress);
		}

		case 'version_gone': {
			return progress.possibleRuns > 0 ? makeFailureOutcome(progress) : {name: 'version_gone', refusal: makeGoneRefusal(result)};
		}

		case 'refused_by_peer': {
			return progress.possibleRuns > 0 ? makeFailureOutcome(progress) : {name: 'refused_by_peer', refusal: result.refusal};
		}

		case 'suspended': {
			return progress.possibleRuns > 0 ? makeFailureOutcome(progress) : {name: 'suspended', refusal: result.refusal};
		}

		case 'limited': {
			return progress.possibleRuns > 0 ? makeFailureOutcome(progress) : refuseForLimits(context, call, result);
		}

		case 'unreachable': {
			const detail = 'All backend servers are so busy that the deadline would pass before an answer begins.';
			return {name: 'unreachable', refusal: {kind: 'deadline_unreachable', detail, retryAfterS: result.retryAfterS}};
		}
	}
};
