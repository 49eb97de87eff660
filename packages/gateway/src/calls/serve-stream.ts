/** Serves streams: forwards their events and, where possible, continues them on another backend server. */
import {isRepeatable} from '@shallotpass/core/calls/types.js';
import {computeEventTimeout, streamStallTimeoutMs} from '@shallotpass/core/retries/silence-timeout.js';
import {trackSurvival} from '../crashes/record-evidence.js';
import {computeWaitUntil} from '../drain-times.js';
import {pauseFor} from '../pause.js';
import {recordAwaited} from '../telemetry/call-trace.js';
import {type AdmittedCall, type CallContext} from './call-context.js';
import {
	discardResponse, findSuspension, recordEvents, recordFirstByte, sendToPlacement,
} from './call-attempts.js';
import {isServerError} from './is-server-error.js';
import {
	type CallOutcome, isUnsent, makeFailureOutcome, makeUnsentOutcome, type SendResult,
} from './call-outcome.js';
import {recordSoundAnswer} from './backend-soundness.js';
import {type CallProgress, resetTurnedAway} from './call-progress.js';
import {isLastOnConnection} from './last-on-connection.js';
import {forwardPlainResponse} from './forward-plain-response.js';
import {forwardEvents, type ForwardEventsOptions, writeStreamHead} from './forward-stream.js';
import {prepareRepeat} from './prepare-repeat.js';
import {type GivenUpReason, logNotContinued, recordRunEnd} from './record-run-end.js';
import {
	dropStoppedRun, listPlacements, resumeStoppedRun, settleStoppedRun,
} from './resume-stopped-run.js';
import {announceVersion, recordFirstEvents} from './record-stream-version.js';
import {makeSuccessorSearch, type SuccessorSearch} from './seek-successor.js';
import {
	type AnsweredAttempt, canGoOn, getLastEventId, makeStreamState, roomWaitMs, type StreamState,
} from './stream-state.js';
import {type Attempt} from './run-at-backend.js';
import {type Departure} from './stopped-run.js';
import {sendUntilAccepted} from './send-until-accepted.js';
import {takeRetry} from './take-retry.js';
import {watchStreamEnd} from './watch-stream-end.js';
import {type StreamWaits, watchStreamWaits} from './watch-stream-waits.js';

/** How often a stream that has begun looks for room while it waits. */
const roomRetryMs = 100;

/** Time for which a stream that broke off waits for the version of its events. */
const versionWaitMs = 600;

/** What follows an attempt: the end of the call, or another attempt if it is allowed. */
type NextStep =
	| {readonly kind: 'end'; readonly outcome: CallOutcome}
	/** `isExempt`: it was already decided that the call is sent again. */
	| {readonly kind: 'try_again'; readonly isExempt: boolean}
	/** Another backend server has taken the rest of the stream. */
	| {readonly kind: 'go_on'; readonly successor: AnsweredAttempt};

const endWith = (outcome: CallOutcome): NextStep => ({kind: 'end', outcome});

const retryStep: NextStep = {kind: 'try_again', isExempt: false};

const makeStreamFailureOutcome = ({progress}: StreamState): CallOutcome => progress.hasStarted
	? {name: 'broken_midway', detail: progress.lastFailure}
	: makeFailureOutcome(progress);

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

/** Returns what is done while a run sends nothing, or no event: another one is looked for, or it is given up if there can be no other. */
const judgeWaits = (waits: StreamWaits, {canBegin, begin}: Pick<SuccessorSearch, 'canBegin' | 'begin'>): Pick<ForwardEventsOptions, 'onSilence' | 'onNoEvent'> => ({
	onSilence() {
		if (canBegin() && waits.isStalled()) {
			begin('silent');
		}
	},
	onNoEvent() {
		const reason = canBegin() ? waits.findExcess() : undefined;
		if (reason !== undefined) {
			begin(reason);
		}
	},
});

/** Decides what follows a run that has ended before the stream was whole. */
const followBrokenRun = async (stream: StreamState, attempt: Attempt, search: SuccessorSearch): Promise<NextStep> => {
	const {context: {gateway, trace}, progress, splitter, signal} = stream;
	const {hasCrashed} = progress;
	const successor = await search.finish(false);
	if (successor !== undefined) {
		splitter.discardPartialEvent();
		return {kind: 'go_on', successor};
	}

	progress.hasCrashed ??= hasCrashed;
	stream.roomWaitUntil = computeWaitUntil(gateway, roomWaitMs);
	if (stream.pendingVersion !== undefined) {
		recordAwaited(trace, 'version', gateway.clocks.steady());
		await Promise.race([stream.pendingVersion, pauseFor(versionWaitMs, signal)]);
	}

	if (!canGoOn(stream)) {
		logNotContinued(stream, attempt);
		return endWith(makeStreamFailureOutcome(stream));
	}

	return retryStep;
};

/** Sends the head of the stream to the caller, with its first answer. */
const beginStream = (stream: StreamState, {response, attempt}: AnsweredAttempt): void => {
	const {context, call, progress} = stream;
	if (progress.hasStarted) {
		return;
	}

	progress.hasStarted = true;
	announceVersion(stream, attempt);
	recordFirstByte(context, call, progress);
	writeStreamHead(response, context.response);
};

/** Ends the attempt of a run that may have been stopped by this daemon and can't go on. What may be our own doing says nothing of the backend server. */
const endStoppedRun = (stream: StreamState, {source, versionResult}: Attempt, departed: Exclude<Departure, {kind: 'stayed'}>): NextStep => {
	versionResult.onAbandoned();
	stream.progress.lastFailure = departed.kind === 'stopped'
		? `the run was stopped at ${source}, and its last event cannot be named`
		: `the order to stop the run at ${source} was not answered: ${departed.reason}`;
	return endWith(makeStreamFailureOutcome(stream));
};

const forwardStream = async (stream: StreamState, answered: AnsweredAttempt): Promise<NextStep> => {
	const {
		context: {gateway, response: target}, call, progress, splitter, signal,
	} = stream;
	const {response, attempt} = answered;
	const {state} = attempt;
	beginStream(stream, answered);
	const waits = watchStreamWaits(gateway, call, attempt, () => prepareRepeat(gateway, call, progress, progress.possibleRuns));
	const survival = trackSurvival(gateway, state, stream, attempt.answeredAt);
	const end = watchStreamEnd(stream, answered);
	const search = makeSuccessorSearch(stream, attempt, end.giveUp);
	const forwarded = await forwardEvents({
		response, isComplete: end.isComplete, target, splitter, unfinishedEvents: gateway.unfinishedEvents,
		// A peer watches the backend server itself.
		stallTimeoutMs: call.repeatability === 'resumable_stream' && state !== undefined ? streamStallTimeoutMs : undefined,
		eventTimeoutMs: state === undefined ? undefined : computeEventTimeout(call),
		givenUp: end.givenUp,
		...judgeWaits(waits, isRepeatable(call.repeatability) ? search : {canBegin: () => true, begin: end.giveUp}),
		onEvents() {
			search.cancel();
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
	if (forwarded.kind === 'complete') {
		target.end();
	}

	const departed = await end.settle(forwarded.kind === 'complete');
	attempt.end(forwarded.kind === 'broken' && departed.kind === 'stayed' && !signal.aborted);
	if (forwarded.kind === 'complete') {
		recordSoundAnswer(state);
		survival.onWhole();
		await search.finish(true);
		return endWith({name: 'served'});
	}

	attempt.exchange.abort();
	if (forwarded.kind === 'caller_left' || signal.aborted) {
		attempt.versionResult.onAbandoned();
		await search.finish(true);
		return endWith({name: forwarded.kind === 'caller_left' ? 'caller_left' : 'deadline'});
	}

	if (resumeStoppedRun(stream)) {
		return {kind: 'try_again', isExempt: true};
	}

	if (departed.kind !== 'stayed') {
		return endStoppedRun(stream, attempt, departed);
	}

	recordRunEnd(stream, attempt, forwarded.isGivenUp ? end.getGivenUpReason() : forwarded.excess);
	return followBrokenRun(stream, attempt, search);
};

/** Waits until backend servers may have room again, and lets those that turned the stream away be tried once more. */
const waitForRoom = async (stream: StreamState): Promise<NextStep> => {
	const {context, progress, signal} = stream;
	recordAwaited(context.trace, 'room', context.gateway.clocks.steady());
	await pauseFor(roomRetryMs, signal);
	if (signal.aborted) {
		return endWith(makeStreamFailureOutcome(stream));
	}

	resetTurnedAway(progress);
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

	if (result.kind === 'not_run' && stream.placements.length > 0) {
		return {kind: 'try_again', isExempt: true};
	}

	// The backend servers keep the KV cache of a stopped run, which can go on nowhere else.
	if (result.kind === 'not_run' && result.hasArrived && stream.stoppedRun !== undefined && context.gateway.clocks.steady() < stream.roomWaitUntil) {
		stream.placements = listPlacements(stream.stoppedRun.run);
		return waitForRoom(stream);
	}

	if (result.kind !== 'answered') {
		return retryStep;
	}

	if (result.response.statusCode === 200) {
		settleStoppedRun(stream, result.attempt.source);
	}

	progress.possibleRuns++;
	return result.response.statusCode === 200 ? forwardStream(stream, result) : forwardErrorResponse(stream, result);
};

const runAttempts = async (stream: StreamState): Promise<CallOutcome> => {
	const {context, signal} = stream;
	for (;;) {
		let next = await runStreamAttempt(stream); // eslint-disable-line no-await-in-loop -- attempts run one after another
		while (next.kind === 'go_on') {
			next = await forwardStream(stream, next.successor); // eslint-disable-line no-await-in-loop -- runs follow one another
		}

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

export const serveStream = async (context: CallContext, admitted: AdmittedCall, progress: CallProgress, signal: AbortSignal): Promise<CallOutcome> => {
	const stream = makeStreamState(context, admitted, progress, signal);
	if (admitted.continuity?.origin !== undefined) {
		stream.roomWaitUntil = computeWaitUntil(context.gateway, roomWaitMs);
	}

	try {
		return await runAttempts(stream);
	} finally {
		dropStoppedRun(stream);
	}
};
