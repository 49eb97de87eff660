/** One request of a caller, from its header fields to its deadline. */
import {createHash, randomUUID} from 'node:crypto';
import {type IncomingMessage, type ServerResponse} from 'node:http';
import {type LatencyClass, type Service} from '@shallotpass/common/configuration-schema.js';
import {ServingError} from '@shallotpass/common/serving-error.js';
import {type Deadline} from '@shallotpass/common/types.js';
import {type LatencyTarget} from '@shallotpass/core/routing/types.js';
import {findClass, type TeamAccount, type InForce} from '@shallotpass/tasks/in-force.js';
import {type Hop} from '@shallotpass/telemetry/tracing.js';

export type CallerCall = {
	readonly request: IncomingMessage;
	readonly response: ServerResponse;
	readonly requestId: string;
	readonly url: URL;
	readonly hop: Hop;
	readonly startedAt: number;
	/** Aborted when the caller goes away before the answer is whole. */
	readonly goneSignal: AbortSignal;
	readonly runs: CallRuns;
};

/** What has become of the call at backend servers so far. */
export type CallRuns = {
	/** A backend server was sent it, and nothing shows that it did not begin. */
	mayHaveRun: boolean;
};

/**
 * The refusal as it may be told. A kind that says `no` is raised where the last try came
 * to nothing; an earlier one may have run, and the caller would trust a `no`.
 */
export const makeTruthful = (error: ServingError, {mayHaveRun}: CallRuns): ServingError => {
	if (!mayHaveRun || error.executed !== 'no') {
		return error;
	}

	return new ServingError(error.message, {
		kind: error.kind, retryAt: error.retryAt, executed: 'unknown', cause: error,
	});
};

export const makeRequestId = (): string => randomUUID();

export const getField = (request: IncomingMessage, name: string): string | undefined => {
	const value = request.headers[name];
	return Array.isArray(value) ? value[0] : value;
};

/** The account that the key in Authorization belongs to. Keys are known by digest only. */
export const authenticate = (request: IncomingMessage, inForce: InForce): TeamAccount => {
	const match = /^Bearer +(\S+)$/iv.exec(getField(request, 'authorization') ?? '');
	if (match === null) {
		throw new ServingError('the Authorization field must be Bearer and a key', {kind: 'unauthenticated'});
	}

	const digest = createHash('sha256').update(match[1]!).digest('hex');
	const account = inForce.accountsByDigest.get(digest);
	if (account === undefined) {
		throw new ServingError('the key is not one of any client account', {kind: 'unauthenticated'});
	}

	return account;
};

export const checkService = ({account}: TeamAccount, service: Service): void => {
	if (!account.services.includes(service.name)) {
		throw new ServingError(`client account ${account.name} may not call ${service.name}`, {kind: 'forbidden'});
	}
};

/** Deadlines further away than this are taken for a mistake in the unit. */
const furthestDeadlineMs = 24 * 60 * 60 * 1000;

/** X-Request-Deadline in milliseconds since the epoch; undefined when the caller names none. */
export const readDeadline = (request: IncomingMessage, now: number): Deadline | undefined => {
	const text = getField(request, 'x-request-deadline');
	if (text === undefined) {
		return undefined;
	}

	const deadline = Number(text);
	if (!Number.isFinite(deadline) || deadline > now + furthestDeadlineMs || deadline <= 0) {
		throw new ServingError(`X-Request-Deadline must be milliseconds since the epoch, within a day from now; found ${text.slice(0, 40)}`, {kind: 'invalid_request'});
	}

	if (deadline <= now) {
		throw new ServingError('the deadline has passed already', {kind: 'deadline_unreachable'});
	}

	return deadline as Deadline;
};

/** Rank of calls whose class has no entry: after all that have one. */
const lastRank = 1000;

export type CallClass = {
	readonly name: string;
	readonly rank: number;
	readonly latency: LatencyClass | undefined;
};

/** The class the caller asks for, or the service's own. */
export const readClass = (request: IncomingMessage, inForce: InForce, {team, account}: TeamAccount, service: Service): CallClass => {
	const asked = getField(request, 'x-request-class');
	if (asked !== undefined && !account.classes.includes(asked)) {
		throw new ServingError(`client account ${account.name} may not ask for class ${asked.slice(0, 63)}`, {kind: 'forbidden'});
	}

	const name = asked ?? service.defaultClass;
	const latency = findClass(inForce, team, name);
	return {name: name ?? 'none', rank: latency?.rank ?? lastRank, latency};
};

/** The class's targets, as routing takes them; undefined for a class without any. */
export const getTarget = ({latency}: CallClass): LatencyTarget | undefined => latency?.firstTokenMs === undefined
	? undefined
	: {firstTokenMs: latency.firstTokenMs, betweenTokensMs: latency.betweenTokensMs};

/** Whether the class is declared without a latency target, and so fills what others leave. */
export const isPatient = ({latency}: CallClass): boolean => latency !== undefined && latency.firstTokenMs === undefined;
