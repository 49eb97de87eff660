/** The one path of all calls: admit, place, send, hand the answer over, account. */
import type http from 'node:http';
import {type Call, isStream, mayRunAgain} from '@shallotpass/core/calls/types.js';
import {stalledStreamMs} from '@shallotpass/core/retries/patience.js';
import {noteCall, takeRepeat} from '@shallotpass/core/retries/repeat-allowance.js';
import {
	admit, type Admitted, type CallContext, RefusedCall,
} from './admit-call.js';
import {makeEventSplitter} from './event-splitter.js';
import {type GatewayState} from './gateway-state.js';
import {passPlain} from './pass-plain.js';
import {beginStream, passEvents} from './pass-stream.js';
import {placeCall} from './place-call.js';
import {answerRefusal, type Refusal} from './refusal.js';
import {getAllowance, getRepeatLimit} from './repeat-limits.js';
import {
	type Attempt, type AttemptResult, noteBreak, runAtBackend,
} from './run-at-backend.js';

/** Backend servers that one call is offered to at most; each offer that is refused costs a way there and back. */
const mostOffers = 6;

const isDraining = (gateway: GatewayState): boolean => gateway.drainingSince !== undefined;

type Progress = {
	readonly tried: Set<string>;
	/** Backend servers that may have run the call. */
	runs: number;
	offers: number;
	/** Whether the call has reached a backend server before. */
	hasArrived: boolean;
	lastReason: string;
};

type Outcome = {
	readonly name: string;
	readonly refusal?: Refusal;
	/** Why an answer that had begun ended early. */
	readonly detail?: string;
};

const describeEnd = (progress: Progress): Outcome => progress.runs > 0
	? {name: 'backend_failed', refusal: {kind: 'backend_failed', detail: `The backend server failed: ${progress.lastReason}.`}}
	: {name: 'no_backend', refusal: {kind: 'no_backend', detail: `No backend server took the call: ${progress.lastReason}.`, retryAfterS: 0.2}};

/** Whether a further try is allowed after one that ended with `result`. */
const mayTryAgain = (gateway: GatewayState, call: Call, progress: Progress): boolean => {
	if (progress.offers >= mostOffers) {
		return false;
	}

	if (progress.runs > 0 && (!mayRunAgain(call.repeatability) || progress.runs >= call.attemptsAllowed)) {
		return false;
	}

	return !progress.hasArrived || takeRepeat(getAllowance(gateway, call.service), getRepeatLimit(gateway), gateway.clocks.steady());
};

type TryResult = AttemptResult | {readonly kind: 'no_backend'};

const tryOnce = async (context: CallContext, admitted: Admitted, progress: Progress, signal: AbortSignal): Promise<TryResult> => {
	const {gateway} = context;
	const {call, sending} = admitted;
	const placement = placeCall(gateway, call, {tried: progress.tried});
	if (placement === undefined) {
		progress.lastReason = 'none is ready';
		return {kind: 'no_backend'};
	}

	const {state, choice, cachedTokens} = placement;
	progress.offers++;
	progress.tried.add(state.incarnation);
	const result = await runAtBackend(gateway, call, placement, sending, signal);
	gateway.log.write(result.kind === 'answered' ? 'routine' : 'failure', 'call_placed', {
		request: call.id, service: call.service, backend: state.entry.id, predictedMs: Math.round(choice.predictedMs), cachedTokens,
		own: state.running, others: state.othersRunning, tokensPerMs: Math.round(state.tokensPerMs), offer: progress.offers,
		result: result.kind, reason: result.kind === 'answered' ? result.response.statusCode : result.reason,
	});
	if (result.kind !== 'answered') {
		progress.lastReason = result.reason;
		progress.hasArrived ||= result.kind === 'may_have_run' || result.hasArrived;
	}

	if (result.kind === 'may_have_run') {
		progress.runs++;
	}

	return result;
};

const isServerFailure = (response: http.IncomingMessage): boolean => (response.statusCode ?? 0) >= 500;

const drainFailure = (response: http.IncomingMessage, attempt: Attempt): void => {
	response.on('error', () => {
		// The answer is not used any more.
	});
	response.resume();
	attempt.end(true);
};

const noteFirstByte = (gateway: GatewayState, call: Call): void => {
	gateway.metrics.firstByteSeconds.observe({service: call.service, kind: call.repeatability}, (gateway.clocks.steady() - call.arrivedAt) / 1000);
};

const passPlainCall = async (context: CallContext, admitted: Admitted, signal: AbortSignal): Promise<Outcome> => {
	const {gateway, response: target} = context;
	const {call, sending} = admitted;
	const progress: Progress = {
		tried: new Set(), runs: 0, offers: 0, hasArrived: false, lastReason: '',
	};
	for (;;) {
		// eslint-disable-next-line no-await-in-loop -- one try after the other
		const result = await tryOnce(context, admitted, progress, signal);
		if (result.kind === 'no_backend') {
			return describeEnd(progress);
		}

		if (result.kind === 'answered') {
			const {response, attempt} = result;
			progress.runs++;
			progress.hasArrived = true;
			if (isServerFailure(response) && mayRunAgain(call.repeatability) && mayTryAgain(gateway, call, progress)) {
				progress.lastReason = `status ${response.statusCode ?? 0}`;
				drainFailure(response, attempt);
				continue;
			}

			noteFirstByte(gateway, call);
			// eslint-disable-next-line no-await-in-loop -- one try after the other
			const passed = await passPlain({
				response, isWhole: attempt.isWhole, target, method: sending.method, isLast: () => isDraining(gateway),
			});
			attempt.end(passed !== 'passed' || isServerFailure(response));
			if (passed === 'passed') {
				return {name: isServerFailure(response) ? 'backend_error' : 'served'};
			}

			attempt.exchange.abort();
			void noteBreak(gateway, attempt.state, sending.digest);
			progress.lastReason = `the answer broke off at ${attempt.state.entry.id}`;
			if (passed === 'broken_midway') {
				return {name: 'broken_midway', detail: progress.lastReason};
			}
		}

		if (signal.aborted || !mayTryAgain(gateway, call, progress)) {
			return describeEnd(progress);
		}
	}
};

const passStreamCall = async (context: CallContext, admitted: Admitted, signal: AbortSignal): Promise<Outcome> => {
	const {gateway, response: target} = context;
	const {call} = admitted;
	let {sending} = admitted;
	const progress: Progress = {
		tried: new Set(), runs: 0, offers: 0, hasArrived: false, lastReason: '',
	};
	const splitter = makeEventSplitter();
	let hasBegun = false;
	for (;;) {
		// eslint-disable-next-line no-await-in-loop -- one try after the other
		const result = await tryOnce(context, {call, sending}, progress, signal);
		if (result.kind === 'no_backend') {
			return hasBegun ? {name: 'broken_midway', detail: progress.lastReason} : describeEnd(progress);
		}

		if (result.kind === 'answered') {
			const {response, attempt} = result;
			progress.runs++;
			progress.hasArrived = true;
			const isFailure = (response.statusCode ?? 0) !== 200;
			if (isFailure && mayRunAgain(call.repeatability) && isServerFailure(response) && mayTryAgain(gateway, call, progress)) {
				progress.lastReason = `status ${response.statusCode ?? 0}`;
				drainFailure(response, attempt);
				continue;
			}

			if (isFailure && !hasBegun) {
				// eslint-disable-next-line no-await-in-loop -- one try after the other
				const passed = await passPlain({
					response, isWhole: attempt.isWhole, target, method: sending.method, isLast: () => isDraining(gateway),
				});
				attempt.end(true);
				return passed === 'passed' ? {name: 'backend_error'} : describeEnd(progress);
			}

			if (isFailure) {
				drainFailure(response, attempt);
				return {name: 'broken_midway', detail: `status ${response.statusCode ?? 0} when it was to go on`};
			}

			if (!hasBegun) {
				hasBegun = true;
				beginStream(response, target, isDraining(gateway));
				noteFirstByte(gateway, call);
			}

			// eslint-disable-next-line no-await-in-loop -- one try after the other
			const passed = await passEvents({
				response, isWhole: attempt.isWhole, target, splitter,
				stallMs: call.repeatability === 'resumable_stream' ? stalledStreamMs : undefined,
				onEvents() {
					attempt.state.heardAt = gateway.clocks.steady();
				},
			});
			attempt.end(passed === 'broken' && !signal.aborted);
			if (passed === 'complete') {
				target.end();
				return {name: 'served'};
			}

			attempt.exchange.abort();
			if (passed === 'broken' && !signal.aborted) {
				void noteBreak(gateway, attempt.state, sending.digest);
			}

			if (passed === 'caller_left' || signal.aborted) {
				return {name: passed === 'caller_left' ? 'caller_left' : 'deadline'};
			}

			progress.lastReason = `the stream broke off at ${attempt.state.entry.id}`;
		}

		if (signal.aborted || !mayTryAgain(gateway, call, progress)) {
			return hasBegun ? {name: 'broken_midway', detail: progress.lastReason} : describeEnd(progress);
		}

		splitter.dropRest();
		sending = {...sending, lastEventId: splitter.getLastId()};
	}
};

const finish = (context: CallContext, outcome: Outcome, admitted: Admitted | undefined): void => {
	const {gateway, response, head} = context;
	if (outcome.refusal) {
		answerRefusal(response, outcome.refusal, head.id, isDraining(gateway));
	} else if (!response.writableEnded) {
		response.destroy();
	}

	const service = admitted?.call.service ?? '';
	const kind = admitted?.call.repeatability ?? '';
	const tookMs = admitted ? gateway.clocks.steady() - admitted.call.arrivedAt : 0;
	const name = outcome.refusal?.kind ?? outcome.name;
	gateway.metrics.calls.inc({service, kind, outcome: name});
	gateway.metrics.callSeconds.observe({service, kind}, tookMs / 1000);
	gateway.log.write(outcome.name === 'served' ? 'routine' : 'failure', 'call_ended', {
		request: head.id, account: admitted?.call.account, route: admitted?.call.routeName, service, kind, outcome: name,
		detail: outcome.refusal?.detail ?? outcome.detail, status: response.statusCode, tookMs: Math.round(tookMs),
		configuration: gateway.configuration?.configuration.version,
	});
};

const runAdmitted = async (context: CallContext, admitted: Admitted): Promise<Outcome> => {
	const {gateway, response} = context;
	const {call} = admitted;
	const controller = new AbortController();
	let isCallerGone = false;
	const onClose = (): void => {
		if (!response.writableFinished) {
			isCallerGone = true;
			controller.abort();
		}
	};

	response.once('close', onClose);
	const timer = setTimeout(() => {
		controller.abort();
	}, Math.max(0, call.deadline - gateway.clocks.steady()));
	noteCall(getAllowance(gateway, call.service), getRepeatLimit(gateway), gateway.clocks.steady());
	try {
		const outcome = await (isStream(call.repeatability) ? passStreamCall(context, admitted, controller.signal) : passPlainCall(context, admitted, controller.signal));
		if (isCallerGone) {
			return {name: 'caller_left'};
		}

		if (controller.signal.aborted && outcome.refusal) {
			return {name: 'deadline', refusal: {kind: 'deadline_exceeded', detail: 'The call was not answered in time.'}};
		}

		return outcome;
	} finally {
		clearTimeout(timer);
		response.off('close', onClose);
	}
};

/** Serves one request of a caller; never throws. */
export const serveCall = async (gateway: GatewayState, request: http.IncomingMessage, response: http.ServerResponse): Promise<void> => {
	const context: CallContext = {
		gateway, request, response, head: gateway.wire.toCallerHead(request.headers),
	};
	gateway.activeCalls++;
	let admitted: Admitted | undefined;
	try {
		const verdict = await admit(context);
		if (verdict instanceof RefusedCall) {
			finish(context, {name: 'refused', refusal: verdict.refusal}, undefined);
			return;
		}

		admitted = verdict;
		finish(context, await runAdmitted(context, verdict), verdict);
	} catch (error) {
		gateway.log.write('failure', 'call_crashed', {request: context.head.id, error: error instanceof Error ? error.stack : String(error)});
		finish(context, {name: 'internal', refusal: {kind: 'internal', detail: 'The daemon made a mistake.'}}, admitted);
	} finally {
		gateway.activeCalls--;
	}
};
