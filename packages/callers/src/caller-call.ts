/** Reads a caller's request: authentication, deadline and latency class. */
import {createHash, randomUUID} from 'node:crypto';
import {type IncomingMessage, type ServerResponse} from 'node:http';
import {type Socket} from 'node:net';
import {type LatencyClass, type Service} from '@shallotpass/common/configuration-schema.js';
import {ServingError} from '@shallotpass/common/serving-error.js';
import {type Deadline} from '@shallotpass/common/types.js';
import {type LatencyTarget} from '@shallotpass/core/routing/types.js';
import {findClass, type TeamAccount, type ActiveConfigurations} from '@shallotpass/tasks/active-configurations.js';
import {type TraceSpan} from '@shallotpass/telemetry/tracing.js';

export type CallerCall = {
	readonly request: IncomingMessage;
	readonly response: ServerResponse;
	/** Connection of the caller. A request that is read by iteration loses its own. */
	readonly socket: Socket;
	readonly requestId: string;
	readonly url: URL;
	/** Trace span of the whole call. */
	readonly span: TraceSpan;
	readonly startedAt: number;
	/** Aborted when the caller disconnects before the response is complete. */
	readonly callerGoneSignal: AbortSignal;
	readonly execution: CallExecution;
};

/** Whether the call may have run on a backend server so far. */
export type CallExecution = {
	/** True if the call was sent to a backend server and it is not certain that the call did not start there. */
	mayHaveRun: boolean;
};

/**
 * Changes `executed` from `no` to `unknown` if an earlier attempt may have run. The error describes only the last attempt,
 * and a caller that relies on `no` might run the call twice.
 */
export const markPossiblyExecuted = (error: ServingError, {mayHaveRun}: CallExecution): ServingError => {
	if (!mayHaveRun || error.executed !== 'no') {
		return error;
	}

	return new ServingError(error.message, {
		kind: error.kind, retryAt: error.retryAt, executed: 'unknown', cause: error,
	});
};

export const makeRequestId = (): string => randomUUID();

export const getHeader = (request: IncomingMessage, name: string): string | undefined => {
	const value = request.headers[name];
	return Array.isArray(value) ? value[0] : value;
};

/** Finds the client account of the API key in the Authorization header. Only digests of the keys are stored. */
export const authenticate = (request: IncomingMessage, activeConfigurations: ActiveConfigurations): TeamAccount => {
	const match = /^Bearer +(\S+)$/iv.exec(getHeader(request, 'authorization') ?? '');
	if (match === null) {
		throw new ServingError('the Authorization field must be Bearer and a key', {kind: 'unauthenticated'});
	}

	const digest = createHash('sha256').update(match[1]!).digest('hex');
	const account = activeConfigurations.accountsByDigest.get(digest);
	if (account === undefined) {
		throw new ServingError('the key is not one of any client account', {kind: 'unauthenticated'});
	}

	return account;
};

export const checkServiceAccess = ({account}: TeamAccount, service: Service): void => {
	if (!account.services.includes(service.name)) {
		throw new ServingError(`client account ${account.name} may not call ${service.name}`, {kind: 'forbidden'});
	}
};

/** Deadlines further ahead than this are rejected, because they probably use the wrong unit. */
const maxDeadlineAheadMs = 24 * 60 * 60 * 1000;

/** Reads X-Request-Deadline, in milliseconds since the epoch; undefined if the caller sets no deadline. */
export const readDeadline = (request: IncomingMessage, now: number): Deadline | undefined => {
	const text = getHeader(request, 'x-request-deadline');
	if (text === undefined) {
		return undefined;
	}

	const deadline = Number(text);
	if (!Number.isFinite(deadline) || deadline > now + maxDeadlineAheadMs || deadline <= 0) {
		throw new ServingError(`X-Request-Deadline must be milliseconds since the epoch, within a day from now; found ${text.slice(0, 40)}`, {kind: 'invalid_request'});
	}

	if (deadline <= now) {
		throw new ServingError('the deadline has passed already', {kind: 'deadline_unreachable'});
	}

	return deadline as Deadline;
};

/** Rank of calls without a configured class, which come after all others. */
const defaultRank = 1000;

/** Latency class of a call. `latency` is undefined if the team's configuration has no such class. */
export type CallClass = {
	readonly name: string;
	readonly rank: number;
	readonly latency: LatencyClass | undefined;
};

/** Returns the latency class that the caller requests, or the service's default class. */
export const readClass = (request: IncomingMessage, activeConfigurations: ActiveConfigurations, {team, account}: TeamAccount, service: Service): CallClass => {
	const requestedClass = getHeader(request, 'x-request-class');
	if (requestedClass !== undefined && !account.classes.includes(requestedClass)) {
		throw new ServingError(`client account ${account.name} may not ask for class ${requestedClass.slice(0, 63)}`, {kind: 'forbidden'});
	}

	const name = requestedClass ?? service.defaultClass;
	const latency = findClass(activeConfigurations, team, name);
	return {name: name ?? 'none', rank: latency?.rank ?? defaultRank, latency};
};

/** Returns the class's latency targets for routing; undefined if the class has none. */
export const getLatencyTarget = ({latency}: CallClass): LatencyTarget | undefined => latency?.firstTokenMs === undefined
	? undefined
	: {firstTokenMs: latency.firstTokenMs, betweenTokensMs: latency.betweenTokensMs};

/** Whether calls of the class are background calls: it is configured without a latency target, so they use only spare capacity. */
export const isBackgroundClass = ({latency}: CallClass): boolean => latency !== undefined && latency.firstTokenMs === undefined;
