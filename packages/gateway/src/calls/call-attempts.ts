/** A single attempt of a call, shared by plain calls and streams. */
import type http from 'node:http';
import {computeRetryAfter} from '@shallotpass/core/admission/compute-retry-after.js';
import {type Call, isStream} from '@shallotpass/core/calls/types.js';
import {findCrashRefusal} from '../crashes/check-verdict.js';
import {type GatewayState} from '../gateway-state.js';
import {pauseFor} from '../pause.js';
import {hasContactSince, isCutOff} from '../paths/track-paths.js';
import {isVersionServed} from '../origins/continuity.js';
import {recordAwaited, recordSend} from '../telemetry/call-trace.js';
import {describeDirectory} from '../telemetry/describe-directory.js';
import {type AdmittedCall, type CallContext} from './call-context.js';
import {getLatencyModel} from './backend-view.js';
import {hasUnevenLoad, returnToLimit, takeFromLimit} from './backend-limits.js';
import {type SendResult, type UnsentResult} from './call-outcome.js';
import {type CallProgress, toVersionedCall} from './call-progress.js';
import {recordBrokenConnection} from './connect-failures.js';
import {discardBody} from './discard-body.js';
import {mayStillReceive} from './may-still-receive.js';
import {setRuns} from './peer-call.js';
import {isOfMixedService} from './long-prompts.js';
import {applyRankDecision, withWaitUntilDeadline} from './apply-rank-decision.js';
import {type Placement, placeCall, type PlacementResult} from './place-call.js';
import {prepareRepeat} from './prepare-repeat.js';
import {acceptsDoubt} from './proof-of-answers.js';
import {isPlainEstimateCurrent} from './record-latency.js';
import {
	type Attempt, type AttemptResult, type OnDoubt, runAtBackend,
} from './run-at-backend.js';
import {settlePermit, takeSendPermit} from './send-permit.js';
import {sendToPeer} from './send-to-peer.js';

/** Longest time that a call waits for a place, at most a part of the time to its target, and how often it looks. */
const maxPlaceWaitMs = 250;
const placeWaitPart = 0.5;
const placeRetryMs = 15;

/** Waits for a place at a brittle backend server, which must not queue the call itself. Returns whether to look again. */
const waitForPlace = async ({gateway: {clocks}}: CallContext, call: Call, progress: CallProgress, signal: AbortSignal): Promise<boolean> => {
	const now = clocks.steady();
	progress.placeWaitUntil ??= now + Math.min(maxPlaceWaitMs, (call.targetAt - now) * placeWaitPart);
	if (now >= progress.placeWaitUntil) {
		return false;
	}

	await pauseFor(placeRetryMs, signal);
	return !signal.aborted;
};

/** Sends the call through a peer that reaches backend servers. Returns undefined if there is none. */
// eslint-disable-next-line max-params -- the call, its progress and its abort signal
const sendThroughPeer = async (context: CallContext, admitted: AdmittedCall, progress: CallProgress, signal: AbortSignal, onDoubt: OnDoubt | undefined): Promise<SendResult | undefined> => {
	const result = await sendToPeer(context, admitted, progress, signal, onDoubt && (doubt => {
		progress.hasArrived = true;
		progress.lastFailure = doubt.reason;
		onDoubt(doubt);
	}));
	switch (result?.kind) {
		case undefined: {
			return undefined;
		}

		case 'answered': {
			// The answer itself is counted where it is forwarded.
			progress.possibleRuns += (result.runs ?? Math.max(1, admitted.call.maxAttempts - progress.possibleRuns)) - 1;
			return result;
		}

		case 'refused': {
			progress.lastFailure = result.refusal.detail;
			return {kind: 'refused_by_peer', refusal: result.refusal};
		}

		case 'unsent': {
			progress.lastFailure = result.reason;
			return {kind: 'not_run', reason: result.reason, hasArrived: false};
		}

		case 'may_have_run': {
			progress.lastFailure = result.reason;
			progress.possibleRuns = result.isConfirmed ? Math.max(progress.possibleRuns + 1, admitted.call.maxAttempts) : progress.possibleRuns + 1;
			return result;
		}
	}
};

/** Returns the result of a call that must not reach a backend server any more, as others like it have crashed some since it was admitted. */
export const findSuspension = ({gateway}: CallContext, admitted: AdmittedCall, {attempts}: CallProgress): UnsentResult | undefined => {
	const refusal = findCrashRefusal(gateway, admitted, attempts);
	return refusal && {kind: 'suspended', refusal};
};

// eslint-disable-next-line max-params -- the call, its placement, its progress and its abort signal
export type SendToPlacement = (context: CallContext, admitted: AdmittedCall, placement: Placement, progress: CallProgress, signal: AbortSignal, onDoubt?: OnDoubt) => Promise<AttemptResult>;

/** Sends the call to the best backend server that it has not been sent to yet, or through a peer if none is reached from here. */
// eslint-disable-next-line max-params -- the call, its progress, its abort signal and how it is sent
export const sendToBestBackend = async (context: CallContext, admitted: AdmittedCall, progress: CallProgress, signal: AbortSignal, send: SendToPlacement = sendToPlacement, onPeerDoubt?: OnDoubt): Promise<SendResult> => {
	const suspension = findSuspension(context, admitted, progress);
	if (suspension) {
		return suspension;
	}

	if (progress.mayBeCutOff) {
		progress.mayBeCutOff = false;
		const sent = await sendThroughPeer(context, admitted, progress, signal, onPeerDoubt);
		if (sent !== undefined && sent.kind !== 'refused_by_peer') {
			return sent;
		}
	}

	const place = (call: Call): PlacementResult => placeCall(context.gateway, call, {...progress, mayCrash: admitted.outgoing.trialOf !== undefined, versionedCall: toVersionedCall(progress)});
	const result = place(admitted.call);
	if (result.kind === 'limited' && result.isBrief && await waitForPlace(context, admitted.call, progress, signal)) {
		return sendToBestBackend(context, admitted, progress, signal, send, onPeerDoubt);
	}

	if (result.kind === 'limited') {
		// Other daemons hold parts of the limits that their own callers leave unused.
		const sent = hasUnevenLoad(context.gateway, admitted.call.service) ? await sendThroughPeer(context, admitted, progress, signal, onPeerDoubt) : undefined;
		if (sent !== undefined && sent.kind !== 'refused_by_peer') {
			return sent;
		}

		progress.lastFailure = 'the limits of all leave no room';
		return result;
	}

	const {softwareVersion} = progress;
	if (result.kind === 'none' && softwareVersion !== undefined && !isVersionServed(context.gateway, {service: admitted.call.service, softwareVersion})) {
		progress.lastFailure = `no backend server of the version ${softwareVersion} is left`;
		return {kind: 'version_gone', softwareVersion};
	}

	if (result.kind === 'none' && softwareVersion !== undefined && progress.turnedAwayBy.size > 0) {
		progress.lastFailure = `the backend servers of the version ${softwareVersion} have no room`;
		return {kind: 'version_full'};
	}

	if (result.kind === 'none') {
		const sent = await sendThroughPeer(context, admitted, progress, signal, onPeerDoubt);
		if (sent !== undefined) {
			return sent;
		}

		progress.lastFailure = isCutOff(context.gateway) ? 'none is reached from here, and no other daemon took the call' : 'none is ready';
		return {kind: 'no_backend'};
	}

	const {placement, call} = applyRankDecision(context.gateway, {
		call: admitted.call, placement: result.placement, progress, place,
	});
	const {gateway: {clocks, random}} = context;
	const isPredictable = isStream(admitted.call.repeatability) || isPlainEstimateCurrent(placement.state, clocks.steady());
	// A stream that yields is refused by the wait with its own rank: calls that overtake it may end soon.
	const retryAfterS = progress.attempts > 0 || !isPredictable
		? undefined
		: computeRetryAfter({
			predictedMs: result.placement.choice.predictedMs, deadline: call.deadline, now: clocks.steady(), random, isSpread: isOfMixedService(context.gateway, call),
		});
	if (retryAfterS !== undefined) {
		return {kind: 'unreachable', retryAfterS};
	}

	return send(context, {...admitted, call}, withWaitUntilDeadline(placement, call, clocks.steady()), progress, signal);
};

/** Describes what this daemon knows of the backend server at the moment of a send, for the log. */
const describeKnowledge = (gateway: GatewayState, {state, chosenAt}: Placement) => {
	const now = gateway.clocks.steady();
	return {
		chosenMs: Math.round(now - chosenAt),
		directoryOffset: gateway.directoryStatus.offset,
		...describeDirectory(gateway),
		leavingMs: state.leavingSince === undefined ? undefined : Math.round(now - state.leavingSince),
		isMissing: state.isMissing || undefined,
		limit: state.limit?.statement.perSecond,
	};
};

/** Sends the call to the backend server of the placement. Without `onDoubt`, a run that is late is given up. */
// eslint-disable-next-line max-params -- the call, its placement, its progress and its abort signal
export const sendToPlacement: SendToPlacement = async (context, admitted, placement, progress, signal, onDoubt) => {
	const {gateway} = context;
	const {call, outgoing} = admitted;
	const {state, choice, cachedTokens} = placement;
	const startedAt = gateway.clocks.steady();
	const permit = takeSendPermit(gateway, call, progress);
	if (permit === undefined) {
		progress.lastFailure = 'no repeat is left';
		return {kind: 'not_run', reason: 'repeat_limit', hasArrived: false};
	}

	context.caller.stage = 'sent';
	recordAwaited(context.trace, 'head', startedAt);
	progress.attempts++;
	progress.attemptedIncarnations.add(state.incarnation);
	// It may run the call this time, and must not be sent it once more then.
	progress.turnedAwayBy.delete(state.incarnation);
	const knownAtSend = describeKnowledge(gateway, placement);
	// A moved run waits for its KV cache after its placements were chosen.
	const mayReceive = mayStillReceive(gateway, state);
	if (mayReceive && placement.isCounted !== true) {
		takeFromLimit(gateway, state);
	}

	const result = mayReceive
		? await runAtBackend(gateway, call, placement, {...outgoing, softwareVersion: progress.softwareVersion}, {
			permit, signal, prepareRepeat: () => prepareRepeat(gateway, call, progress, progress.possibleRuns + Math.max(1, progress.runsUnderWay)),
			acceptsDoubt: acceptsDoubt(call, progress.possibleRuns + Math.max(1, progress.runsUnderWay) - 1),
			onDoubt: onDoubt && (doubt => {
				// The call may have arrived, so further sends are repeats.
				progress.hasArrived = true;
				progress.hasCrashed = doubt.hasCrashed;
				progress.lastFailure = doubt.reason;
				onDoubt(doubt);
			}),
		})
		: {kind: 'not_run' as const, reason: 'backend_left', hasArrived: false};
	settlePermit(gateway, call, {permit, progress, mayHaveArrived: result.kind !== 'not_run' || result.hasArrived});
	if (result.kind === 'not_run' && !result.hasArrived && (mayReceive || placement.isCounted === true)) {
		returnToLimit(gateway, state);
	}

	gateway.log.write(result.kind === 'answered' ? 'routine' : 'failure', 'call_placed', {
		request: call.id, service: call.service, backend: state.entry.id, version: state.entry.softwareVersion, predictedMs: Math.round(choice.predictedMs), cachedTokens,
		own: state.running, others: state.othersRunning, tokensPerMs: Math.round(getLatencyModel(gateway.registry, state, gateway.clocks.steady()).tokensPerMs), offer: progress.attempts,
		result: result.kind, reason: result.kind === 'answered' ? result.response.statusCode : result.reason, ...knownAtSend,
	});
	recordSend(context.trace, state.entry.id, result.kind === 'answered' ? result.response.statusCode : result.reason);
	if (result.kind !== 'answered') {
		progress.lastFailure = result.reason;
	}

	if (result.kind === 'may_have_run' || (result.kind === 'not_run' && result.isUnproven === true)) {
		progress.possibleRuns++;
	}

	if (result.kind === 'not_run' && result.hasArrived) {
		progress.turnedAwayBy.add(state.incarnation);
	}

	progress.hasCrashed = result.kind === 'may_have_run' ? result.hasCrashed : undefined;
	if (result.kind !== 'answered') {
		context.caller.stage = progress.runsUnderWay > 1 ? 'sent' : 'waiting';
	}

	progress.mayBeCutOff = result.kind !== 'answered' && (result.kind === 'may_have_run' || !result.hasArrived) && !hasContactSince(gateway, startedAt);

	return result;
};

/** Discards an unused error response, and counts the attempt as failed. */
export const discardResponse = (response: http.IncomingMessage, attempt: Attempt): void => {
	discardBody(response, attempt.state, excess => {
		attempt.exchange.abort();
		attempt.recordExcess(excess);
	});
	attempt.end(true);
};

/** Records that a response broke off. What a peer's connection does says nothing about a backend server. */
export const recordBrokenAttempt = (gateway: GatewayState, {state, answeredAt, versionResult}: Attempt, admitted: AdmittedCall, progress: CallProgress): void => {
	progress.hasCrashed = state && recordBrokenConnection(gateway, state, {sent: admitted, answeredAt, onFinding: versionResult.onBreak});
};

/** Records that an answer begins. To be called before its head is sent. */
export const recordFirstByte = ({gateway, timing, isFromPeer, response, caller, trace}: CallContext, call: Call, progress: CallProgress): void => {
	if (isFromPeer) {
		setRuns(response, progress.possibleRuns);
	}

	const now = gateway.clocks.steady();
	caller.stage = 'answering';
	recordAwaited(trace, 'answer', now);
	timing.firstByteAt = now;
	timing.lastEventAt = now;
	gateway.metrics.firstByteSeconds.observe({service: call.service, kind: call.repeatability}, (now - call.arrivedAt) / 1000);
};

/** Records that events of a stream were sent to the caller. */
export const recordEvents = ({gateway, timing, trace}: CallContext): void => {
	const now = gateway.clocks.steady();
	recordAwaited(trace, 'answer', now);
	timing.longestPauseMs = Math.max(timing.longestPauseMs, now - timing.lastEventAt);
	timing.lastEventAt = now;
};
