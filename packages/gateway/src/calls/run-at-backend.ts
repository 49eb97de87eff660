/** Runs a call on one backend server and updates the backend server's state from the result. */
import {type Buffer} from 'node:buffer';
import type http from 'node:http';
import {type Call, isStream} from '@shallotpass/core/calls/types.js';
import {recordWork} from '@shallotpass/core/engines/work-rate.js';
import {countTokensAhead} from '@shallotpass/core/placement/choose-backend.js';
import {computeSilenceTimeout} from '@shallotpass/core/retries/silence-timeout.js';
import {getWindowIndex, recordStart} from '@shallotpass/core/usage/count-starts.js';
import {type GatewayState} from '../gateway-state.js';
import {type MovedKvCache} from '../ports.js';
import {recordSentParts} from '../prefix-cache/record-sent-parts.js';
import {type ReadExcess, toReadExcess} from '../read-bounds.js';
import {type ResultTracker, trackResult} from '../rollouts/track-result.js';
import {type BackendState, trackedRankCount} from './backend-registry.js';
import {hasSeveralVersions} from './count-versions.js';
import {watchAnsweringProcess} from './confirm-end.js';
import {type AnsweringVersion, confirmBeforeSend, determineAnsweringVersion} from './confirm-incarnation.js';
import {type Exchange, type IsComplete, sendToBackend} from './backend-exchange.js';
import {confirmCallerWaits} from './caller-presence.js';
import {
	type BreakFinding, recordBrokenConnection, recordConnectFailure, suspendBackend,
} from './connect-failures.js';
import {observeBrittleness} from './backend-brittleness.js';
import {observeLimit} from './backend-limits.js';
import {recordExcess as recordExcessOf} from './backend-soundness.js';
import {discardBody} from './discard-body.js';
import {isServerError} from './is-server-error.js';
import {recordPrompt} from './long-prompts.js';
import {mayStillReceive} from './may-still-receive.js';
import {type Placement} from './place-call.js';
import {judgeAnswer} from './proof-of-answers.js';
import {recordSpeed, recordStreamLatency} from './record-latency.js';
import {type SendPermit} from './send-permit.js';
import {trackRunningCall} from './track-running-call.js';
import {recordWaitEnd} from './compare-waits.js';
import {watchForHead} from './watch-for-head.js';
import {getYieldingRank} from './yielding-rank.js';
import {watchForLateArrival} from './watch-for-late-arrival.js';
import {watchForSilence} from './watch-for-silence.js';

/** Timeout of a new connection: a hundred times the latency between availability zones, but less than the target latency of a plain call. */
export const connectTimeoutMs = 250;

/** Status with which a backend server turns calls away for want of room. */
const fullStatus = 503;

export type OutgoingRequest = {
	readonly method: string;
	readonly path: string;
	readonly callerFields: readonly string[];
	readonly body: Buffer;
	readonly digest: string;
	readonly lastEventId: string | undefined;
	/** Verdict in spite of which the call is let through once, by name. */
	readonly trialOf?: string;
	/** KV cache of the run to continue; undefined if the call starts from the beginning. */
	readonly kvCache?: MovedKvCache;
	/** Version of the software at which a stream goes on that has begun. Undefined for any. */
	readonly softwareVersion?: string | undefined;
	/** Of a call that a peer sends: what decides about its version in a rollout, and whether it was sent elsewhere before. */
	readonly versionFraction?: number | undefined;
	readonly wasSentBefore?: boolean | undefined;
};

export type AttemptResult =
	/** The call has run or is running, and the response belongs to it. */
	| {readonly kind: 'answered'; readonly response: http.IncomingMessage; readonly attempt: Attempt}
	/** The backend server has not run the call and will not run it. `isUnproven`: unless its refusal was a second copy; only of idempotent calls. */
	| {readonly kind: 'not_run'; readonly reason: string; readonly hasArrived: boolean; readonly isUnproven?: boolean}
	/** `hasCrashed`: whether the backend server has ended. Undefined if the call was given up here. */
	| {readonly kind: 'may_have_run'; readonly reason: string; readonly hasCrashed?: Promise<boolean>};

export type Attempt = {
	/** Undefined if the call was sent through a peer. */
	readonly state: BackendState | undefined;
	/** Version of the software that answers. Undefined if it is not known, as another incarnation may answer than the directory tells. */
	readonly softwareVersion: string | undefined;
	/** Resolves with that version if it becomes known while the answer is under way. */
	readonly laterVersion: Promise<string | undefined> | undefined;
	/** Backend server, or address of the peer. */
	readonly source: string;
	/** Number of the connection to the backend server. */
	readonly connection: number | undefined;
	readonly exchange: Omit<Exchange, 'result'>;
	/** To be called once the first event of a stream has come. */
	readonly endContentWait: () => void;
	/** Records that the answer exceeded a bound. */
	readonly recordExcess: (excess: ReadExcess) => void;
	readonly isComplete: IsComplete;
	readonly sentAt: number;
	/** Predicted time until its head. */
	readonly predictedMs: number;
	/** When the head of the answer was received, on the steady clock. */
	readonly answeredAt: number;
	/** Records what the response shows of its software version. */
	readonly versionResult: ResultTracker;
	/** Stops counting the call as running; called when the response has ended. */
	readonly end: (isFailure: boolean) => void;
};

/**
 * Counts a started call for the usage report. A plain call starts when it arrives, a stream with its
 * first token, so a stream that fails before its first token is not counted.
 */
export const recordUsage = (gateway: GatewayState, call: Call, hasFirstToken: boolean): void => {
	if (call.account !== undefined && (hasFirstToken || !isStream(call.repeatability))) {
		recordStart(gateway.usage, call.account, getWindowIndex(gateway.clocks.trueTime(), gateway.settings.bounds.usageWindowMs));
	}
};

export type SendOptions = {
	readonly permit: SendPermit;
	readonly signal: AbortSignal;
	/** Takes the repeat with which the call is sent elsewhere if it is late. Returns false if there is none. */
	readonly prepareRepeat: () => boolean;
	/** Called once if the call is better sent elsewhere as well. Its run goes on until `signal` is aborted. Undefined if it is given up then. */
	readonly onDoubt?: OnDoubt | undefined;
	/** Whether the call may be sent on a doubtful connection. */
	readonly acceptsDoubt: boolean;
};

/** `hasCrashed`: whether the backend server has ended, if that is being found out. */
export type OnDoubt = (doubt: {readonly reason: string; readonly hasCrashed: Promise<boolean> | undefined}) => void;

/** Sends the call to the backend server of the placement and waits for the head of the response. */
export const runAtBackend = async (gateway: GatewayState, call: Call, placement: Placement, outgoing: OutgoingRequest, {permit, signal, prepareRepeat, acceptsDoubt, onDoubt}: SendOptions): Promise<AttemptResult> => {
	const {state} = placement;
	const isContinued = outgoing.softwareVersion !== undefined;
	const needsVersion = isContinued || call.repeatability === 'resumable_stream';
	const findingBefore = needsVersion ? await confirmBeforeSend(gateway, state, isContinued) : 'confirmed';
	if (findingBefore === 'other' || findingBefore === 'unreachable' || (isContinued && findingBefore === 'unknown')) {
		return {kind: 'not_run', reason: `incarnation_${findingBefore}`, hasArrived: false};
	}

	const isWaitedFor = await confirmCallerWaits(gateway, signal);
	if (!isWaitedFor || !mayStillReceive(gateway, state)) {
		return {kind: 'not_run', reason: isWaitedFor ? 'backend_left' : 'given_up', hasArrived: false};
	}

	const now = gateway.clocks.steady();
	const sentAt = gateway.clocks.trueTime();
	const uncachedTokens = Math.max(0, call.promptTokens - placement.cachedTokens);
	const rankedCall = {rank: call.rank, yieldingRank: getYieldingRank(gateway, call.service)};
	const workTokens = uncachedTokens + countTokensAhead(state.pendingTokens, rankedCall) + countTokensAhead(state.othersPendingTokens, rankedCall);
	// Cached tokens count as well: the fleet is planned for backend servers that have just started, as after a mass reclaim, and have nothing cached.
	gateway.workRates.set(call.service, recordWork(gateway.workRates.get(call.service), call.promptTokens, now));
	recordPrompt(gateway, call, now);
	const rank = Math.min(trackedRankCount - 1, call.rank);
	const fields = gateway.wire.makeBackendFields(outgoing.callerFields, {
		backendId: state.entry.id,
		account: call.account,
		remainingMs: Math.max(1, Math.floor(call.deadline - now)),
		rank: isStream(call.repeatability) ? rank : undefined,
		lastEventId: outgoing.lastEventId,
		kvCache: outgoing.kvCache,
		isFavored: isContinued && hasSeveralVersions(gateway.registry.versionsByService, call.service),
	});
	const hasBody = outgoing.body.length > 0 || outgoing.method === 'POST' || outgoing.method === 'PUT';
	const versionResult = trackResult(gateway, call, state, {sentAt: now, uncachedTokens});
	const exchange = sendToBackend({
		permit,
		signal,
		acceptsDoubt,
		onInformation() {
			state.lastReadAt = gateway.clocks.steady();
			headWatch.onInformation();
		},
		agent: state.agent,
		address: state.entry.address,
		method: outgoing.method,
		path: outgoing.path,
		fields: hasBody ? [...fields, 'Content-Length', String(outgoing.body.length)] : fields,
		body: hasBody ? outgoing.body : undefined,
		connectTimeoutMs,
		watchEnd: answer => watchAnsweringProcess(gateway, state, answer),
	});
	const trackedCall = trackRunningCall(gateway, {
		state, rank, uncachedTokens, tokens: call.promptTokens + call.outputTokens, sentAt: now,
	});
	recordSentParts(gateway, call, state, now);
	const recordExcess = (excess: ReadExcess): void => {
		recordExcessOf(gateway, state, {requestId: call.id, sentAt: now, excess});
	};

	let isSilent = false;
	let lateHead: ReadExcess | undefined;
	/** What a doubted run tells of its software version if its answer is not used. */
	let recordDoubt: (() => void) | undefined;
	const {predictedMs} = placement.choice;
	const wait = {since: now, predictedMs};
	const stopWatching = watchForSilence({
		gateway, call, state, wait, maxSilenceMs: computeSilenceTimeout(call.repeatability, predictedMs), prepareRepeat,
		onSilent() {
			isSilent = true;
			if (onDoubt === undefined) {
				exchange.abort();
			} else if (recordDoubt === undefined) {
				trackedCall.doubt();
				let hasCrashed: Promise<boolean> | undefined;
				const found = new Promise<BreakFinding>(resolve => {
					hasCrashed = recordBrokenConnection(gateway, state, {sent: {call, outgoing}, answeredAt: undefined, onFinding: resolve});
				});
				recordDoubt = async () => {
					versionResult.onBreak(await found);
				};

				onDoubt({reason: 'silent', hasCrashed});
			}
		},
		onLost() {
			isSilent = true;
			exchange.abort();
		},
	});
	const headWatch = watchForHead({
		gateway, call, state, wait, prepareRepeat,
		onLate(isProven) {
			const excess = isProven ? 'time_without_head' : 'presumed_late';
			if (onDoubt === undefined) {
				lateHead = excess;
				exchange.abort();
			} else if (recordDoubt === undefined) {
				trackedCall.doubt();
				recordExcess(excess);
				recordDoubt = versionResult.onSilence;
				onDoubt({reason: excess, hasCrashed: undefined});
			}
		},
	});
	let isLate = false;
	const stopWatchingArrival = watchForLateArrival(gateway, state, now, () => {
		isLate = true;
		exchange.reset();
	});
	const end = (isFailure: boolean): void => {
		stopWatching();
		headWatch.stop();
		stopWatchingArrival();
		trackedCall.end(isFailure);
	};

	const result = await exchange.result;
	stopWatching();
	headWatch.stop();
	stopWatchingArrival();
	trackedCall.markAnswered();
	if (result.kind === 'failed') {
		const isAborted = signal.aborted;
		end(!isAborted || recordDoubt !== undefined);
		gateway.metrics.attempts.inc({service: call.service, outcome: result.delivery === 'unsent' ? 'unsent' : 'broken'});
		if (result.isConnectFailure && !isAborted) {
			recordConnectFailure(gateway, state, {reason: result.reason, startedAt: now});
		}

		const excess = lateHead ?? toReadExcess(result.reason);
		if (excess !== undefined) {
			recordExcess(excess);
			versionResult.onSilence();
		}

		if (isAborted) {
			(recordDoubt ?? versionResult.onAbandoned)();
		}

		const hasCrashed = result.isConnectFailure || isAborted || isLate || excess !== undefined
			? undefined
			: recordBrokenConnection(gateway, state, {sent: {call, outgoing}, answeredAt: undefined, onFinding: versionResult.onBreak});

		if (result.delivery === 'unsent') {
			return {kind: 'not_run', reason: result.reason, hasArrived: false};
		}

		if (!isAborted || recordDoubt !== undefined) {
			recordUsage(gateway, call, false);
		}

		return {kind: 'may_have_run', reason: isLate ? 'backend_left' : (isSilent ? 'silent' : result.reason), ...(hasCrashed !== undefined && {hasCrashed})};
	}

	const {
		response, isComplete, connection, lastConnectionAtSend, isDoubtful,
	} = result;
	state.failedConnects = 0;
	state.lastReadAt = gateway.clocks.steady();
	const head = gateway.wire.parseBackendHeaders(response.statusCode ?? 0, response.headers);
	const isRefusal = head.isNotExecuted || head.isOtherBackend;
	const proof = judgeAnswer(head, response, call, isDoubtful);
	if (proof === 'other') {
		// This is a late second response to an earlier call. Forwarding it would give the caller another
		// caller's response, and any further data on this connection may be wrong as well.
		exchange.abort();
		end(true);
		versionResult.onError();
		gateway.metrics.attempts.inc({service: call.service, outcome: 'mismatched'});
		recordUsage(gateway, call, false);
		return {kind: 'may_have_run', reason: 'answer_of_another_call'};
	}

	if (head.requestId !== undefined && state.agent.isConfirmed(connection)) {
		// The process lived as the call reached it, so connections that were established before lead to it too.
		state.agent.confirmUpTo(lastConnectionAtSend);
	}

	const isUnproven = proof === 'unproven_refusal';
	if (!head.isOtherBackend && !isUnproven) {
		recordSpeed(gateway, state, head);
		observeLimit(gateway, state, head.limit, {requestId: call.id, sentAt, status: response.statusCode});
		observeBrittleness(gateway, state, head.brittleness, {requestId: call.id, sentAt, isRejection: head.isNotExecuted && response.statusCode === fullStatus});
	}

	if (isRefusal) {
		discardBody(response, state, excess => {
			exchange.abort();
			recordExcess(excess);
		});
		end(false);
		gateway.metrics.attempts.inc({service: call.service, outcome: 'refused'});
		if (head.isOtherBackend && !isUnproven) {
			suspendBackend(gateway, state, 'other_backend_at_address');
		}

		return {
			kind: 'not_run', reason: head.isOtherBackend ? 'other_backend' : `refused_${response.statusCode ?? 0}`, hasArrived: true, isUnproven,
		};
	}

	const version: AnsweringVersion = needsVersion ? await determineAnsweringVersion(gateway, state, connection) : {softwareVersion: undefined, later: undefined};
	if (isContinued && version.softwareVersion === undefined) {
		exchange.abort();
		end(true);
		gateway.metrics.attempts.inc({service: call.service, outcome: 'mismatched'});
		return {kind: 'may_have_run', reason: 'other_incarnation'};
	}

	if (isServerError(response)) {
		versionResult.onError();
	}

	trackedCall.endPending();
	recordWaitEnd(gateway, state, 'head', wait);
	if (isStream(call.repeatability) && placement.isYielding !== true) {
		recordStreamLatency(gateway, state, {sentAt: now, workTokens});
	}

	// A run that was moved here has already been counted where it started.
	recordUsage(gateway, call, response.statusCode === 200 && outgoing.kvCache === undefined);
	gateway.metrics.attempts.inc({service: call.service, outcome: isServerError(response) ? 'failed' : 'answered'});
	return {
		kind: 'answered', response, attempt: {
			state, softwareVersion: version.softwareVersion, laterVersion: version.later, source: state.entry.id, connection, exchange, recordExcess, endContentWait: trackedCall.endContentWait, isComplete, sentAt: now, predictedMs, answeredAt: state.lastReadAt, versionResult, end,
		},
	};
};
