/** Serves streams: forwards their events and, where possible, continues them on another backend server. */
import {headerTextSchema} from '@shallotpass/common/value-bounds.js';
import {isRepeatable} from '@shallotpass/core/calls/types.js';
import {computeEventTimeout, streamStallTimeoutMs} from '@shallotpass/core/retries/silence-timeout.js';
import {trackSurvival} from '../crashes/record-evidence.js';
import {pauseFor} from '../pause.js';
import {type ReadExcess} from '../read-bounds.js';
import {type Continuity} from '../origins/continuity.js';
import {trackPendingOrigin} from '../origins/origin-state.js';
import {recordStream} from '../origins/record-stream.js';
import {recordAwaited, recordSendEnd} from '../telemetry/call-trace.js';
import {describeDirectory} from '../telemetry/describe-directory.js';
import {type AdmittedCall, type CallContext} from './admit-call.js';
import {
	discardResponse, findSuspension, recordBrokenAttempt, recordEvents, recordFirstByte, sendToPlacement,
} from './call-attempts.js';
import {isServerError} from './is-server-error.js';
import {
	type CallOutcome, isUnsent, makeFailureOutcome, makeUnsentOutcome, type SendResult,
} from './call-outcome.js';
import {recordSoundAnswer} from './backend-soundness.js';
import {type CallProgress} from './call-progress.js';
import {type EventSplitter, makeEventSplitter} from './event-splitter.js';
import {isLastOnConnection} from './last-on-connection.js';
import {inactiveWatch, type MovedRun, watchDeparture} from './move-run.js';
import {setVersion} from './peer-call.js';
import {type Attempt} from './run-at-backend.js';
import {forwardPlainResponse} from './forward-plain-response.js';
import {type BrokenStream, forwardEvents, writeStreamHead} from './forward-stream.js';
import {type Placement} from './place-call.js';
import {prepareRepeat} from './prepare-repeat.js';
import {sendUntilAccepted} from './send-until-accepted.js';
import {takeRetry} from './take-retry.js';
import {watchStreamWaits} from './watch-stream-waits.js';

type StreamState = {
	readonly context: CallContext;
	readonly call: AdmittedCall['call'];
	/** The request to send with the next attempt. */
	outgoing: AdmittedCall['outgoing'];
	readonly continuity: Continuity | undefined;
	/** Whether events were sent on, so that the stream goes on only at the version that sent the first one. */
	hasEvents: boolean;
	/** Resolves when it is known whether the version that sent the first event is known. Undefined if nothing is waited for. */
	pendingVersion: Promise<void> | undefined;
	readonly progress: CallProgress;
	readonly splitter: EventSplitter;
	/** Placements where a moved run can continue, best first. */
	placements: readonly Placement[];
	/** Incarnations of the backend servers on which the run was stopped to be moved. It is stopped once on each. */
	readonly stoppedOn: Set<string>;
	/** Until when a stream that has begun waits for room at backend servers that can continue it, on the steady clock. */
	roomWaitUntil: number;
	readonly signal: AbortSignal;
};

/** Time for which a stream that has begun waits for room, and how often it looks. Callers give up after a gap of 2 s. */
const roomWaitMs = 1500;
const roomRetryMs = 100;

/** Time for which a stream that broke off waits for the version of its events. */
const versionWaitMs = 600;

/** What follows an attempt: the end of the call, or another attempt if it is allowed. */
type NextStep =
	| {readonly kind: 'end'; readonly outcome: CallOutcome}
	/** `isExempt`: it was already decided that the call is sent again. */
	| {readonly kind: 'try_again'; readonly isExempt: boolean};

const endWith = (outcome: CallOutcome): NextStep => ({kind: 'end', outcome});

const retryStep: NextStep = {kind: 'try_again', isExempt: false};

const makeStreamFailureOutcome = ({progress}: StreamState): CallOutcome => progress.hasStarted
	? {name: 'broken_midway', detail: progress.lastFailure}
	: makeFailureOutcome(progress);

type AnsweredAttempt = SendResult & {readonly kind: 'answered'};

/** Handles a response with a status other than 200: forwards it if nothing was sent on before, else retries a server error if allowed. */
const forwardErrorResponse = async (stream: StreamState, {response, attempt}: AnsweredAttempt): Promise<NextStep> => {
	const {context: {response: target}, call, progress} = stream;
	const status = response.statusCode ?? 0;
	if (progress.hasStarted && isRepeatable(call.repeatability) && isServerError(response) && await takeRetry(stream.context, stream, progress, stream.signal)) {
		progress.lastFailure = `status ${status}`;
		discardResponse(response, attempt);
		return {kind: 'try_again', isExempt: true};
	}

	if (stream.progress.hasStarted) {
		discardResponse(response, attempt);
		return endWith({name: 'broken_midway', detail: `status ${status} when resuming the stream`});
	}

	const forwarded = await forwardPlainResponse({
		response, isComplete: attempt.isComplete, target, method: stream.outgoing.method, isLastOnConnection: () => isLastOnConnection(stream.context),
	});
	attempt.end(true);
	return endWith(forwarded === 'passed' ? {name: 'backend_error'} : makeFailureOutcome(progress));
};

/** Returns the id after which the stream goes on: of the last event that was forwarded here, or before by the daemon that sent the call. */
const getLastEventId = ({splitter, outgoing}: StreamState): string | undefined => splitter.getLastEventId() ?? outgoing.lastEventId;

/** Whether another attempt can name the last event that was forwarded. Without its id in a header field the run would begin anew. */
const canNameLastEvent = (stream: StreamState): boolean => {
	const id = getLastEventId(stream);
	return id !== undefined && id !== '' && headerTextSchema.safeParse(id).success;
};

/** Continues the run with the moved KV cache, at its version. It is the same run, so the next attempt is not a retry. */
const resumeMovedRun = (stream: StreamState, moved: MovedRun, stoppedOn: string): NextStep => {
	stream.progress.softwareVersion = moved.softwareVersion;
	stream.splitter.discardPartialEvent();
	stream.stoppedOn.add(stoppedOn);
	stream.placements = moved.placements;
	stream.outgoing = {...stream.outgoing, lastEventId: getLastEventId(stream), kvCache: moved.kvCache};
	return {kind: 'try_again', isExempt: true};
};

/** Tells a peer at which version the stream goes on here, before the head of the answer is sent. */
const announceVersion = ({context: {isFromPeer, response}, progress}: StreamState, {softwareVersion}: Attempt): void => {
	if (isFromPeer && softwareVersion !== undefined) {
		progress.softwareVersion = softwareVersion;
		setVersion(response, softwareVersion);
	}
};

/** Fixes the version at which the stream goes on, and remembers it for a caller that comes back. */
const recordFirstEvents = (stream: StreamState, attempt: Attempt): void => {
	if (stream.hasEvents) {
		return;
	}

	stream.hasEvents = true;
	if (attempt.softwareVersion === undefined && attempt.laterVersion !== undefined) {
		stream.pendingVersion = recordLaterVersion(stream, attempt, attempt.laterVersion);
		if (stream.continuity !== undefined) {
			void trackPendingOrigin(stream.context.gateway.origins, stream.continuity.originKey, stream.pendingVersion);
		}

		return;
	}

	recordVersion(stream, attempt, attempt.softwareVersion);
};

const recordVersion = ({context, call, continuity, progress}: StreamState, attempt: Attempt, softwareVersion: string | undefined): void => {
	progress.softwareVersion ??= softwareVersion;
	if (continuity !== undefined) {
		recordStream(context.gateway, call, continuity, {attempt, softwareVersion});
	}
};

/** Records the version once it is known, while events are sent on. */
const recordLaterVersion = async (stream: StreamState, attempt: Attempt, laterVersion: Promise<string | undefined>): Promise<void> => {
	recordVersion(stream, attempt, await laterVersion);
};

/** Whether the stream may go on elsewhere: it has no events yet, or the version that sent them is known and the last one can be named. */
const canGoOn = (stream: StreamState): boolean => !stream.hasEvents || (stream.progress.softwareVersion !== undefined && canNameLastEvent(stream));

const logNotContinued = ({context: {gateway}, call, progress}: StreamState, {state, source}: Attempt): void => {
	gateway.log.write('failure', 'stream_not_continued', {
		request: call.id, service: call.service, unknown: progress.softwareVersion === undefined ? 'version' : 'last_event', backend: state?.entry.id, peer: state === undefined ? source : undefined, ...describeDirectory(gateway),
	});
};

/** Records that the stream broke off, or was given up as it exceeded a bound, which says nothing of the connection. */
const recordInterruption = ({context: {gateway}, call, outgoing, progress}: StreamState, attempt: Attempt, excess: ReadExcess | undefined): void => {
	if (excess === undefined) {
		recordBrokenAttempt(gateway, attempt, {call, outgoing}, progress);
		progress.lastFailure = `the stream from ${attempt.source} was interrupted`;
		return;
	}

	attempt.recordExcess(excess);
	attempt.versionResult.onSilence();
	progress.hasCrashed = undefined;
	progress.lastFailure = `the stream from ${attempt.source} was given up for ${excess}`;
};

/** Records why an answer ended early: given up here, or broken off by the other side. */
const recordRunEnd = (stream: StreamState, {source}: Attempt, {excess, isStalled}: BrokenStream): void => {
	const {context: {gateway, trace, timing}, call} = stream;
	const reason = isStalled ? 'silent' : excess;
	recordSendEnd(trace, source, reason === undefined ? 'broke_off' : `given_up_${reason}`);
	if (reason === undefined) {
		return;
	}

	gateway.metrics.runsGivenUp.inc({reason});
	gateway.log.write('failure', 'run_given_up', {
		request: call.id, reason, backend: source, pauseMs: Math.round(gateway.clocks.steady() - timing.lastEventAt), canGoOn: canGoOn(stream), service: call.service,
	});
};

const forwardStream = async (stream: StreamState, {response, attempt}: AnsweredAttempt): Promise<NextStep> => {
	const {
		context: {gateway, response: target}, call, progress, splitter, signal,
	} = stream;
	if (!stream.progress.hasStarted) {
		stream.progress.hasStarted = true;
		announceVersion(stream, attempt);
		recordFirstByte(stream.context, call, progress);
		writeStreamHead(response, target);
	}

	const {state} = attempt;
	const waits = watchStreamWaits(gateway, call, attempt, () => prepareRepeat(gateway, call, progress, progress.possibleRuns));
	const survival = trackSurvival(gateway, state, stream, attempt.answeredAt);
	const departure = state === undefined || stream.stoppedOn.has(state.incarnation)
		? inactiveWatch
		: watchDeparture({
			gateway, call, state, connection: attempt.connection, signal,
		});
	const forwarded = await forwardEvents({
		response, isComplete: attempt.isComplete, target, splitter,
		// A peer watches the backend server itself.
		stallTimeoutMs: call.repeatability === 'resumable_stream' && state !== undefined ? streamStallTimeoutMs : undefined,
		eventTimeoutMs: state === undefined ? undefined : computeEventTimeout(call),
		isStalled: waits.isStalled,
		findExcess: waits.findExcess,
		onEvents() {
			waits.onEvents();
			attempt.versionResult.onEvents();
			recordFirstEvents(stream, attempt);
			if (state !== undefined) {
				state.lastReadAt = gateway.clocks.steady();
			}

			survival.onData();
			recordEvents(stream.context);
		},
	});
	const moved = await departure.finish();
	progress.heldPermit ??= moved?.permit;
	attempt.end(forwarded.kind === 'broken' && moved === undefined && !signal.aborted);
	if (forwarded.kind === 'complete') {
		recordSoundAnswer(state);
		survival.onWhole();
		target.end();
		return endWith({name: 'served'});
	}

	attempt.exchange.abort();
	if (forwarded.kind === 'caller_left' || signal.aborted) {
		attempt.versionResult.onAbandoned();
		return endWith({name: forwarded.kind === 'caller_left' ? 'caller_left' : 'deadline'});
	}

	if (moved !== undefined && state !== undefined) {
		return resumeMovedRun(stream, moved, state.incarnation);
	}

	stream.roomWaitUntil = gateway.clocks.steady() + roomWaitMs;
	recordInterruption(stream, attempt, forwarded.excess);
	recordRunEnd(stream, attempt, forwarded);
	if (stream.pendingVersion !== undefined) {
		recordAwaited(stream.context.trace, 'version', gateway.clocks.steady());
		await Promise.race([stream.pendingVersion, pauseFor(versionWaitMs, signal)]);
	}

	if (!canGoOn(stream)) {
		logNotContinued(stream, attempt);
		return endWith(makeStreamFailureOutcome(stream));
	}

	return retryStep;
};

/** Waits until backend servers may have room again, and lets those that turned the stream away be tried once more. */
const waitForRoom = async (stream: StreamState): Promise<NextStep> => {
	const {context, progress, signal} = stream;
	recordAwaited(context.trace, 'room', context.gateway.clocks.steady());
	await pauseFor(roomRetryMs, signal);
	if (signal.aborted) {
		return endWith(makeStreamFailureOutcome(stream));
	}

	for (const incarnation of progress.turnedAwayBy) {
		progress.attemptedIncarnations.delete(incarnation);
		progress.attempts--;
	}

	progress.turnedAwayBy.clear();
	return {kind: 'try_again', isExempt: true};
};

const sendNextAttempt = async (stream: StreamState): Promise<SendResult> => {
	const {context, call, outgoing, progress, signal} = stream;
	const [placement, ...remainingPlacements] = stream.placements;
	if (placement === undefined) {
		return sendUntilAccepted(context, {call, outgoing}, progress, signal);
	}

	const suspension = findSuspension(context, stream, progress);
	if (suspension) {
		return suspension;
	}

	stream.placements = remainingPlacements;
	return sendToPlacement(context, {call, outgoing}, placement, progress, signal);
};

const runStreamAttempt = async (stream: StreamState): Promise<NextStep> => {
	const {context, call, progress, signal} = stream;
	const result = await sendNextAttempt(stream);
	if ((result.kind === 'limited' || result.kind === 'version_full') && context.gateway.clocks.steady() < stream.roomWaitUntil) {
		return waitForRoom(stream);
	}

	if (isUnsent(result)) {
		return endWith(progress.hasStarted ? makeStreamFailureOutcome(stream) : makeUnsentOutcome(context, call, progress, result));
	}

	if (result.kind !== 'answered') {
		const hasOtherPlacement = result.kind === 'not_run' && stream.placements.length > 0;
		return hasOtherPlacement ? {kind: 'try_again', isExempt: true} : retryStep;
	}

	progress.possibleRuns++;
	return result.response.statusCode === 200 ? forwardStream(stream, result) : forwardErrorResponse(stream, result);
};

export const serveStream = async (context: CallContext, admitted: AdmittedCall, progress: CallProgress, signal: AbortSignal): Promise<CallOutcome> => {
	const stream: StreamState = {
		context,
		call: admitted.call,
		outgoing: admitted.outgoing,
		continuity: admitted.continuity,
		hasEvents: false,
		pendingVersion: undefined,
		progress,
		splitter: makeEventSplitter(),
		placements: [],
		stoppedOn: new Set(),
		roomWaitUntil: admitted.continuity?.origin === undefined ? Number.NEGATIVE_INFINITY : context.gateway.clocks.steady() + roomWaitMs,
		signal,
	};
	for (;;) {
		const next = await runStreamAttempt(stream); // eslint-disable-line no-await-in-loop -- attempts run one after another
		if (next.kind === 'end') {
			return next.outcome;
		}

		if (next.isExempt) {
			continue;
		}

		// eslint-disable-next-line no-await-in-loop -- attempts run one after another
		if (signal.aborted || !await takeRetry(context, stream, stream.progress, signal)) {
			return makeStreamFailureOutcome(stream);
		}

		stream.splitter.discardPartialEvent();
		stream.outgoing = {...stream.outgoing, lastEventId: getLastEventId(stream)};
	}
};
