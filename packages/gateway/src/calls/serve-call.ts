/** Entry point of all calls: admission, serving, and metrics and logs of the result. */
import type http from 'node:http';
import {listenForAbort} from '@shallotpass/common/listen-for-abort.js';
import {limitTimerMs} from '@shallotpass/common/value-bounds.js';
import {isStream} from '@shallotpass/core/calls/types.js';
import {recordCall} from '@shallotpass/core/retries/repeat-account.js';
import {type GatewayState} from '../gateway-state.js';
import {waitForPoll} from '../loop-monitor.js';
import {isCutOff} from '../paths/track-paths.js';
import {recordAwaited, trackCall} from '../telemetry/call-trace.js';
import {admitCall, RefusedCall} from './admit-call.js';
import {type AdmittedCall, type CallContext} from './call-context.js';
import {recordArrival} from './backend-limits.js';
import {breakOffAnswer} from './break-off-answer.js';
import {type CallOutcome, makeDrainOutcome} from './call-outcome.js';
import {makeProgress} from './call-progress.js';
import {watchCaller} from './caller-presence.js';
import {hasDescriptorForCall, noDescriptorsRefusal} from './check-descriptors.js';
import {isLastOnConnection} from './last-on-connection.js';
import {setArrived, setRefusalResult} from './peer-call.js';
import {sendRefusal} from './refusal.js';
import {getRepeatAccount, getRepeatLimit} from './repeat-limit.js';
import {type Arrival} from './request-queue.js';
import {returnLastPermit} from './send-permit.js';
import {servePlain} from './serve-plain.js';
import {serveStream} from './serve-stream.js';

/** Records that the caller left before its answer was complete, and describes it for the log. */
const recordLeave = ({gateway, caller}: CallContext) => {
	const leave = caller.getLeave();
	if (leave === undefined) {
		return {};
	}

	const afterLeaveMs = gateway.clocks.steady() - leave.seenAt;
	gateway.metrics.callersLeft.inc({stage: leave.stage});
	gateway.metrics.afterLeaveSeconds.observe(afterLeaveMs / 1000);
	return {leftIn: leave.stage, afterLeaveMs: Math.round(afterLeaveMs), stoodMs: Math.round(leave.stoodMs)};
};

const finishCall = (context: CallContext, outcome: CallOutcome, admitted: AdmittedCall | undefined): void => {
	const {gateway, response, head, timing, isFromPeer, trace} = context;
	if (outcome.refusal !== undefined || response.writableEnded) {
		recordAwaited(trace, 'delivery', gateway.clocks.steady());
	}

	if (outcome.refusal) {
		if (isFromPeer) {
			setRefusalResult(response, outcome.refusal.kind);
			setArrived(response, outcome.hasArrived ?? true);
		}

		sendRefusal(response, outcome.refusal, head.id, () => isLastOnConnection(context));
	} else if (!response.writableEnded) {
		breakOffAnswer(response);
	}

	// An answer behind others, or one that its caller does not take, stays in this process.
	gateway.ledger.charge(response.writableLength);
	const service = admitted?.call.service ?? '';
	const kind = admitted?.call.repeatability ?? '';
	const tookMs = admitted ? gateway.clocks.steady() - admitted.call.arrivedAt : 0;
	const name = outcome.refusal?.kind ?? outcome.name;
	gateway.metrics.calls.inc({service, kind, outcome: name});
	gateway.metrics.callSeconds.observe({service, kind}, tookMs / 1000);
	gateway.log.write(outcome.name === 'served' ? 'routine' : 'failure', 'call_ended', {
		request: head.id, account: admitted?.call.account, route: admitted?.call.routeName, service, kind, outcome: name,
		detail: outcome.refusal?.detail ?? outcome.detail, status: response.statusCode, tookMs: Math.round(tookMs),
		firstMs: admitted && timing.firstByteAt !== undefined ? Math.round(timing.firstByteAt - admitted.call.arrivedAt) : undefined, longestPauseMs: Math.round(timing.longestPauseMs),
		configuration: gateway.configuration?.configuration.version,
		configurationAgeMs: Math.round(gateway.clocks.steady() - gateway.configurationCheckedAt), isFromPeer: isFromPeer || undefined,
		...recordLeave(context),
	});
};

const runAdmittedCall = async (context: CallContext, admitted: AdmittedCall): Promise<CallOutcome> => {
	const {gateway, caller} = context;
	const {call} = admitted;
	const {signal} = caller;
	// Its connection may have closed while it was admitted.
	if (signal.aborted) {
		return {name: 'caller_left'};
	}

	caller.stage = 'waiting';
	context.trace.isStream = isStream(call.repeatability);
	let isCutShort = false;
	const stopListening = listenForAbort(gateway.lastAnswers.signal, () => {
		isCutShort = !context.response.headersSent;
		if (isCutShort) {
			caller.expire();
		}
	});
	const expire = (): void => {
		// The deadline counts from when the request may have arrived at the earliest.
		const answerDeadline = context.response.headersSent ? admitted.answerDeadline ?? call.deadline : call.deadline;
		if (gateway.clocks.steady() < answerDeadline && answerDeadline > call.deadline) {
			timer = setTimeout(caller.expire, limitTimerMs(answerDeadline - gateway.clocks.steady()));
			return;
		}

		caller.expire();
	};

	let timer = setTimeout(expire, limitTimerMs(call.deadline - gateway.clocks.steady()));
	if (!isCutOff(gateway)) {
		recordArrival(gateway, call.service, call.rank);
	}

	if (!context.isFromPeer) {
		recordCall(getRepeatAccount(gateway, call.service), getRepeatLimit(gateway), gateway.clocks.steady());
	}

	const {softwareVersion = admitted.continuity?.origin?.softwareVersion, versionFraction = gateway.random(), wasSentBefore} = admitted.outgoing;
	const progress = makeProgress({softwareVersion, versionFraction, wasSentBefore});
	try {
		const outcome = await (isStream(call.repeatability) ? serveStream(context, admitted, progress, signal) : servePlain(context, admitted, progress, signal));
		if (caller.getLeave()) {
			return {name: 'caller_left'};
		}

		if (isCutShort && outcome.refusal) {
			return makeDrainOutcome(progress);
		}

		if (signal.aborted && outcome.refusal) {
			return {name: 'deadline', refusal: {kind: 'deadline_exceeded', detail: 'The call was not answered in time.'}};
		}

		return outcome;
	} catch (error) {
		// Sends may be under way that nobody ends any more.
		caller.expire();
		throw error;
	} finally {
		clearTimeout(timer);
		stopListening();
		returnLastPermit(gateway, call, progress);
	}
};

/** Refuses a call that is not admitted when the process of a draining daemon is about to end: its body may still come, or a daemon that keeps its account's limit. */
const admitBeforeEnd = async ({gateway, request}: CallContext, admission: Promise<AdmittedCall | RefusedCall>): Promise<AdmittedCall | RefusedCall> => {
	let stopListening = (): void => {/* Nothing listens yet. */};
	const isEnding = new Promise<void>(resolve => {
		stopListening = listenForAbort(gateway.lastAnswers.signal, resolve);
	});
	const refuseAtEnd = async (): Promise<RefusedCall> => {
		await isEnding;
		// The refusal may end the connection while requests that came with this one are not read yet.
		await waitForPoll();
		return new RefusedCall({
			kind: 'draining', detail: 'This daemon is leaving.', retryAfterS: 0, isReadInPart: !request.complete,
		});
	};

	try {
		return await Promise.race([admission, refuseAtEnd()]);
	} finally {
		stopListening();
	}
};

/** Runs the call, or refuses it, and counts it as active meanwhile; never throws. */
const serveAdmission = async (context: CallContext, admit: () => Promise<AdmittedCall | RefusedCall>): Promise<void> => {
	const {gateway} = context;
	gateway.activeCalls++;
	let admitted: AdmittedCall | undefined;
	try {
		let admission = await admitBeforeEnd(context, admit());
		// Others may have been admitted at the same time.
		if (!hasDescriptorForCall(gateway) && !(admission instanceof RefusedCall)) {
			admission = new RefusedCall(noDescriptorsRefusal);
		}

		if (admission instanceof RefusedCall) {
			finishCall(context, {name: 'refused', refusal: admission.refusal}, undefined);
			return;
		}

		admitted = admission;
		gateway.runningCalls++;
		finishCall(context, await runAdmittedCall(context, admission), admission);
	} catch (error) {
		gateway.log.write('failure', 'call_crashed', {request: context.head.id, error: error instanceof Error ? error.stack : String(error)});
		finishCall(context, {name: 'internal', refusal: {kind: 'internal', detail: 'The daemon made a mistake.'}}, admitted);
	} finally {
		context.bodyHold?.release();
		gateway.activeCalls--;
		if (admitted !== undefined) {
			gateway.runningCalls--;
		}
	}
};

/** Serves a call that was admitted by the daemon that sent it; never throws. */
export const serveAdmittedCall = async (context: CallContext, admitted: AdmittedCall): Promise<void> => serveAdmission(context, async () => admitted);

/** Serves one request of a caller; never throws. `arrival`: when a request that was queued has arrived. */
export const serveCall = async (gateway: GatewayState, request: http.IncomingMessage, response: http.ServerResponse, arrival?: Arrival): Promise<void> => {
	const caller = watchCaller(gateway, request, response);
	const context: CallContext = {
		gateway, request, response, caller, isFromPeer: false, head: gateway.wire.parseCallerHeaders(request.headers), timing: {firstByteAt: undefined, lastEventAt: 0, longestPauseMs: 0}, trace: trackCall(response, gateway.clocks.steady()), bodyHold: undefined,
	};
	try {
		await serveAdmission(context, async () => admitCall(context, arrival));
	} finally {
		caller.end();
	}
};
