/** The one path of all calls: find the route, admit, place, send, hand the answer over, account. */
import type http from 'node:http';
import {type ErrorKind} from '@shallotpass/common/error-kinds.js';
import {type Deadline} from '@shallotpass/common/types.js';
import {findRoute, type IndexedConfiguration, pickService} from '@shallotpass/core/calls/index-configuration.js';
import {type Account, type Route} from '@shallotpass/core/calls/serving-configuration.js';
import {type Call, isStream, mayRunAgain} from '@shallotpass/core/calls/types.js';
import {isRefusedForCrashes} from '@shallotpass/core/retries/crash-register.js';
import {stalledStreamMs} from '@shallotpass/core/retries/patience.js';
import {
	emptyAllowance, noteCall, type RepeatLimit, takeRepeat,
} from '@shallotpass/core/retries/repeat-allowance.js';
import {hashText, hashTextWide} from '@shallotpass/core/routing/rank-by-rendezvous.js';
import {readWholeBody} from './body.js';
import {type BackendState} from './backend-book.js';
import {makeEventSplitter} from './event-splitter.js';
import {countDaemons, type GatewayState} from './gateway-state.js';
import {passPlain} from './pass-plain.js';
import {beginStream, passEvents} from './pass-stream.js';
import {placeCall} from './place-call.js';
import {type CallerHead} from './ports.js';
import {answerRefusal, type Refusal} from './refusal.js';
import {
	type Attempt, type AttemptResult, noteBreak, runAtBackend, type Sending,
} from './run-at-backend.js';
import {takeQuota} from './take-quota.js';

/** Milliseconds by which a call ends before its caller stops waiting, so that the answer arrives. */
const answerMarginMs = 20;

/** Backend servers that one call is offered to at most; each offer that is refused costs a way there and back. */
const mostOffers = 6;

/** A configuration that was not confirmed for so long may lack a route or a key that was added since. */
const doubtfulAfterMs = 1500;

/** Time after SIGTERM until which new calls are still taken, in milliseconds: the balancer sends none after two questions a second apart. */
const lateCallsMs = 2600;

type CallContext = {
	readonly gateway: GatewayState;
	readonly request: http.IncomingMessage;
	readonly response: http.ServerResponse;
	readonly head: CallerHead;
};

type Admitted = {
	readonly call: Call;
	readonly sending: Sending;
};

class RefusedCall {
	constructor(readonly refusal: Refusal) {}
}

const refuse = (kind: ErrorKind, detail: string, retryAfterS?: number): RefusedCall => new RefusedCall({kind, detail, ...(retryAfterS !== undefined && {retryAfterS})});

const isDraining = (gateway: GatewayState): boolean => gateway.drainingSince !== undefined;

const isDoubtful = (gateway: GatewayState): boolean => gateway.clocks.steady() > gateway.configurationCheckedAt + doubtfulAfterMs;

const findAccount = (gateway: GatewayState, index: IndexedConfiguration, route: Route, key: string | undefined): Account | RefusedCall | undefined => {
	const account = key === undefined ? undefined : index.accountsByKey.get(key);
	if (account !== undefined || route.allowsAnonymous || index.configuration.accounts.length === 0) {
		return account;
	}

	if (isDoubtful(gateway)) {
		return refuse('no_configuration', 'The key is unknown to a configuration that may be out of date.', 0.5);
	}

	return refuse('unauthenticated', 'The key is missing or unknown.');
};

const getRepeatLimit = (gateway: GatewayState): RepeatLimit => {
	const {repeatRatio, repeatSlack, repeatWindowMs} = gateway.settings.bounds;
	return {
		ratio: repeatRatio, slack: repeatSlack, windowMs: repeatWindowMs, daemons: countDaemons(gateway),
	};
};

const getAllowance = (gateway: GatewayState, service: string) => {
	const allowance = gateway.allowances.get(service) ?? emptyAllowance();
	gateway.allowances.set(service, allowance);
	return allowance;
};

const admit = async (context: CallContext): Promise<Admitted | RefusedCall> => {
	const {gateway, request, head} = context;
	const now = gateway.clocks.steady();
	const index = gateway.configuration;
	if (index === undefined || !gateway.hasDirectory || !gateway.hasSpending) {
		return refuse('no_configuration', 'This daemon has not read the configuration and the backend servers yet.', 0.3);
	}

	if (gateway.drainingSince !== undefined && now > gateway.drainingSince + lateCallsMs) {
		return refuse('draining', 'This daemon is leaving.', 0);
	}

	const target = request.url ?? '/';
	const path = target.split('?', 1)[0]!;
	const route = findRoute(index, request.headers.host ?? '', path);
	if (route === undefined) {
		return isDoubtful(gateway)
			? refuse('no_configuration', 'No route is known in a configuration that may be out of date.', 0.5)
			: refuse('not_found', 'No route serves this host and path.');
	}

	const account = findAccount(gateway, index, route, head.key);
	if (account instanceof RefusedCall) {
		return account;
	}

	const service = pickService(route, (hashText(head.id ?? path) % 10_000) / 10_000);
	if (service === undefined) {
		return refuse('no_backend', 'The route names no service.', 1);
	}

	const reading = await readWholeBody(request, index.configuration.limits.bodyBytes);
	if (reading.kind === 'too_large') {
		return refuse('payload_too_large', `The body has more than ${index.configuration.limits.bodyBytes} bytes.`);
	}

	if (reading.kind === 'broken') {
		return refuse('caller_cancelled', 'The request broke off.');
	}

	const method = request.method ?? 'GET';
	const digest = hashTextWide(`${account?.name ?? ''}\n${method}\n${target}\n${reading.body.toString('latin1')}`).toString(16);
	if (isRefusedForCrashes(gateway.crashes, digest)) {
		return refuse('request_suspended', 'This request has ended the backend servers that ran it.', 30);
	}

	const overQuota = account && takeQuota(gateway, account, head);
	if (overQuota) {
		return refuse('rate_limited', `The client account ${account.name} is over its limit.`, overQuota.retryAfterS);
	}

	const waitsMs = Math.min(head.waitsMs ?? route.limitMs, route.limitMs);
	const rank = account?.rank === undefined ? route.rank : Math.max(0, route.rank);
	const call: Call = {
		id: head.id ?? '',
		account: account?.name,
		routeName: route.name,
		service,
		repeatability: route.repeatability,
		arrivedAt: now,
		targetAt: (now + route.targetMs) as Deadline,
		deadline: (now + waitsMs - answerMarginMs) as Deadline,
		rank,
		attemptsAllowed: Math.max(1, route.attempts),
		promptTokens: head.promptTokens ?? 0,
		outputTokens: head.outputTokens ?? 0,
		promptParts: head.promptParts,
	};
	return {
		call,
		sending: {
			method,
			path: target,
			callerFields: request.rawHeaders,
			body: reading.body,
			digest,
			lastEventId: undefined,
		},
	};
};

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
				gateway.metrics.firstByteSeconds.observe({service: call.service, kind: call.repeatability}, (gateway.clocks.steady() - call.arrivedAt) / 1000);
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
