/** Admission of incoming requests: resolves the route and client account, reads the body and enforces limits. */
import type http from 'node:http';
import {setTimeout as sleep} from 'node:timers/promises';
import {readRequestBody} from '@shallotpass/common/client-limits/read-request-body.js';
import {type ErrorKind} from '@shallotpass/common/error-kinds.js';
import {type Deadline} from '@shallotpass/common/types.js';
import {type InputError} from '@shallotpass/common/unreadable-request.js';
import {computePatience} from '@shallotpass/core/calls/compute-patience.js';
import {findRoute, type IndexedConfiguration, pickService} from '@shallotpass/core/calls/index-configuration.js';
import {type Account, type Route} from '@shallotpass/core/calls/serving-configuration.js';
import {type Call, isStream} from '@shallotpass/core/calls/types.js';
import {hashText, hashText64} from '@shallotpass/core/routing/rank-by-rendezvous.js';
import {determineContinuity} from '../origins/continuity.js';
import {checkVerdict} from '../crashes/check-verdict.js';
import {acceptDuringDrainMs} from '../drain-times.js';
import {type GatewayState} from '../gateway-state.js';
import {waitForPoll} from '../loop-monitor.js';
import {takeQuota} from '../quotas/take-quota.js';
import {type AdmittedCall, type CallContext} from './call-context.js';
import {confirmCallerWaits, readCloses} from './caller-presence.js';
import {hasDescriptorForCall, noDescriptorsRefusal} from './check-descriptors.js';
import {waitForEarlierStreams} from './earlier-streams.js';
import {type Arrival} from './request-queue.js';
import {type Refusal} from './refusal.js';

/** Milliseconds subtracted from the caller's timeout, so that the response arrives before the caller stops waiting. */
const deadlineMarginMs = 20;

/** A configuration that was not confirmed as the newest for this long may lack routes or keys that were added since. */
const configurationUnconfirmedAfterMs = 1500;

/** Resolution of the traffic split between the services of a route. */
const trafficSplitSteps = 10_000;

export class RefusedCall {
	constructor(readonly refusal: Refusal) {}
}

const refuse = (kind: ErrorKind, detail: string, retryAfterS?: number): RefusedCall => new RefusedCall({kind, detail, ...(retryAfterS !== undefined && {retryAfterS})});

/** Time in which calls end that hold bodies. */
const noRoomRetryAfterS = 0.5;

/** Refusal of a call whose body has no room beside those of the others. */
export const noRoomRefusal: Refusal = {
	kind: 'over_capacity', detail: 'The bodies of the calls under way leave no room for this one.', retryAfterS: noRoomRetryAfterS, isReadInPart: true,
};

/** Refusal of a call whose answer would have to wait in this process behind others, while there is little room. */
const aheadInShortageRefusal: Refusal = {kind: 'over_capacity', detail: 'There is little room for the answers to requests that are sent ahead.', retryAfterS: noRoomRetryAfterS};

const isSentAheadInShortage = ({gateway, request, isFromPeer}: CallContext): boolean =>
	!isFromPeer && gateway.ledger.isTight() && gateway.answers.countOn(request.socket) > 1;

const isConfigurationUnconfirmed = (gateway: GatewayState): boolean => gateway.clocks.steady() > gateway.configurationCheckedAt + configurationUnconfirmedAfterMs;

const findAccount = (gateway: GatewayState, index: IndexedConfiguration, route: Route, key: string | undefined): Account | RefusedCall | undefined => {
	const account = key === undefined ? undefined : index.accountsByKey.get(key);
	if (account !== undefined || route.allowsAnonymous || index.configuration.accounts.length === 0) {
		return account;
	}

	if (isConfigurationUnconfirmed(gateway)) {
		return refuse('no_configuration', 'The key is unknown to a configuration that may be out of date.', 0.5);
	}

	return refuse('unauthenticated', 'The key is missing or unknown.');
};

type RequestTarget = {
	readonly route: Route;
	readonly account: Account | undefined;
	readonly service: string;
};

/** Resolves the route, client account and service of a request from the active configuration. */
const resolveTarget = ({gateway, request, head}: CallContext, index: IndexedConfiguration, path: string): RequestTarget | RefusedCall => {
	const route = findRoute(index, request.headers.host ?? '', path);
	if (route === undefined) {
		return isConfigurationUnconfirmed(gateway)
			? refuse('no_configuration', 'No route is known in a configuration that may be out of date.', 0.5)
			: refuse('not_found', 'No route serves this host and path.');
	}

	const account = findAccount(gateway, index, route, head.key);
	if (account instanceof RefusedCall) {
		return account;
	}

	const service = pickService(route, (hashText(head.id ?? path) % trafficSplitSteps) / trafficSplitSteps);
	return service === undefined ? refuse('no_backend', 'The route names no service.', 1) : {route, account, service};
};

/** Maximum time after startup that requests wait for the initial state, in milliseconds. Most of it is loaded after a tenth of this time. */
const maxWarmUpWaitMs = 400;
const warmUpPollMs = 20;

const isWarmingUp = (gateway: GatewayState): boolean => gateway.configuration === undefined || gateway.directoryReadAt === undefined || !gateway.isSpendingLoaded;

/** Waits for the initial state to load. A rejected caller retries only once, and would be served later than by waiting here. */
const waitForWarmUp = async (gateway: GatewayState): Promise<void> => {
	const waitUntil = gateway.startedAt + maxWarmUpWaitMs;
	while (isWarmingUp(gateway) && gateway.clocks.steady() < waitUntil) {
		await sleep(warmUpPollMs); // eslint-disable-line no-await-in-loop -- a poll
	}
};

const refuseDraining = (): RefusedCall => refuse('draining', 'This daemon is leaving.', 0);

/** Whether the daemon is draining and takes no further calls. */
const hasStoppedTaking = ({drainingSince, clocks}: GatewayState): boolean => drainingSince !== undefined && clocks.steady() > drainingSince + acceptDuringDrainMs;

/** Returns the active configuration, or a refusal while this daemon does not accept calls. */
const checkAcceptsCalls = (gateway: GatewayState): IndexedConfiguration | RefusedCall => {
	const index = gateway.configuration;
	if (index === undefined || isWarmingUp(gateway)) {
		return refuse('no_configuration', 'This daemon has not read the configuration and the backend servers yet.', 0.3);
	}

	return hasStoppedTaking(gateway) ? refuseDraining() : index;
};

const observeArrival = ({clocks, loop, acceptBacklog}: GatewayState, {socket}: http.IncomingMessage): Arrival => {
	const readAt = clocks.steady();
	return {readAt, arrivedAt: readAt - Math.max(loop.getStandingMs(), acceptBacklog.takeWaitMs(socket))};
};

/** Part of its time that a request keeps in any case. One that was read after a stall may have come at its end. */
const minRemainingPart = 0.25;

const computeDeadline = ({readAt, arrivedAt}: Arrival, timeoutMs: number): Deadline =>
	(Math.max(arrivedAt + timeoutMs, readAt + (timeoutMs * minRemainingPart)) - deadlineMarginMs) as Deadline;

const getTimeoutMs = ({head}: CallContext, {route}: RequestTarget): number => Math.min(head.callerTimeoutMs ?? route.limitMs, route.limitMs);

const makeCall = (context: CallContext, target: RequestTarget, arrival: Arrival): Call => {
	const {gateway, head} = context;
	const {route, account, service} = target;
	const {arrivedAt} = arrival;
	return {
		id: head.id ?? '',
		account: account?.name,
		routeName: route.name,
		service,
		repeatability: route.repeatability,
		arrivedAt,
		targetAt: (arrivedAt + route.targetMs) as Deadline,
		deadline: computeDeadline(arrival, getTimeoutMs(context, target)),
		patienceMs: computePatience(route),
		rank: Math.max(0, route.rank),
		maxAttempts: Math.max(1, route.attempts),
		promptTokens: head.promptTokens ?? 0,
		outputTokens: head.outputTokens ?? 0,
		promptParts: head.promptParts,
	};
};

const refuseBroken = (inputError: InputError | undefined): RefusedCall => inputError === undefined
	? refuse('caller_cancelled', 'The request broke off.')
	: refuse(inputError.kind, `The body cannot be read: ${inputError.reason}.`);

/** Reads a request and decides whether to send it to a backend server. A refused request has not been sent to any. */
export const admitCall = async (context: CallContext, arrival = observeArrival(context.gateway, context.request)): Promise<AdmittedCall | RefusedCall> => {
	const {gateway, request, head, caller} = context;
	caller.stage = 'admitting';
	if (gateway.drainingSince !== undefined) {
		// The first refusal would end the connection while requests that came with this one are not read yet.
		await waitForPoll();
		await waitForEarlierStreams(context);
	}

	if (arrival.arrivedAt < arrival.readAt) {
		// The close of a caller that has left stands behind its request.
		await readCloses(gateway, caller.signal);
	}

	await waitForWarmUp(gateway);
	const index = checkAcceptsCalls(gateway);
	if (index instanceof RefusedCall) {
		return index;
	}

	if (isSentAheadInShortage(context)) {
		return new RefusedCall(aheadInShortageRefusal);
	}

	const path = request.url ?? '/';
	const target = resolveTarget(context, index, path.split('?', 1)[0]!);
	if (target instanceof RefusedCall) {
		return target;
	}

	const bodyResult = await readRequestBody(request, index.configuration.limits.bodyBytes, gateway.heldBytes);
	if (bodyResult.kind === 'too_large') {
		return new RefusedCall({kind: 'payload_too_large', detail: `The body has more than ${index.configuration.limits.bodyBytes} bytes.`, isReadInPart: true});
	}

	if (bodyResult.kind === 'no_room') {
		return new RefusedCall(noRoomRefusal);
	}

	if (bodyResult.kind === 'broken') {
		return refuseBroken(bodyResult.inputError);
	}

	context.bodyHold = bodyResult.hold;
	// A stream that has begun when the process ends is cut. Other answers are replaced by an error.
	if (isStream(target.route.repeatability) && hasStoppedTaking(gateway)) {
		return refuseDraining();
	}

	const {account} = target;
	const method = request.method ?? 'GET';
	const digest = hashText64(`${account?.name ?? ''}\n${method}\n${path}\n${bodyResult.body.toString('latin1')}`).toString(16);
	const continuityResult = await determineContinuity(gateway, {
		head, account: account?.name, repeatability: target.route.repeatability, limitMs: target.route.limitMs, services: [target.service, ...target.route.services.map(({service}) => service)],
	});
	if (continuityResult.kind === 'refused') {
		return new RefusedCall(continuityResult.refusal);
	}

	const {continuity} = continuityResult;
	const call = makeCall(context, {...target, service: continuity?.origin?.service ?? target.service}, arrival);
	const {refusal: crashRefusal, trialOf} = checkVerdict(gateway, {call, outgoing: {digest}});
	if (crashRefusal) {
		return new RefusedCall(crashRefusal);
	}

	if (call.deadline <= gateway.clocks.steady()) {
		return refuse('deadline_unreachable', 'The deadline passed before the call was sent.', 0);
	}

	if (!hasDescriptorForCall(gateway)) {
		return new RefusedCall(noDescriptorsRefusal);
	}

	// What is paid is not returned.
	if (!await confirmCallerWaits(gateway, caller.signal)) {
		return refuse('caller_cancelled', 'The caller has left.');
	}

	const quotaRefusal = account && await takeQuota(gateway, account, {
		id: head.id, tokens: (head.promptTokens ?? 0) + (head.outputTokens ?? 0), rank: target.route.rank, signal: caller.signal,
	});
	if (quotaRefusal) {
		return quotaRefusal.isOverLimit
			? refuse('rate_limited', `The client account ${account.name} is over its limit.`, quotaRefusal.retryAfterS)
			: refuse('over_capacity', `No daemon that keeps the limit of the client account ${account.name} answers.`, quotaRefusal.retryAfterS);
	}

	return {
		call,
		continuity,
		answerDeadline: (arrival.readAt + getTimeoutMs(context, target) - deadlineMarginMs) as Deadline,
		outgoing: {
			method, path, callerFields: request.rawHeaders, body: bodyResult.body, digest, lastEventId: undefined, ...(trialOf !== undefined && {trialOf}),
		},
	};
};
