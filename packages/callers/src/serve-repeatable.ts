/** Calls to plain services that may run twice: bodies stream through, failures are tried elsewhere. */
import {type Readable} from 'node:stream';
import {pipeline} from 'node:stream/promises';
import {ServingError} from '@shallotpass/common/serving-error.js';
import {BackendCallError, callPlain, type PlainAnswer} from '@shallotpass/backends/call-plain.js';
import {type BackendView} from '@shallotpass/core/routing/types.js';
import {makeAttemptSignal, type AttemptSignal} from './attempt-signal.js';
import {
	choosePlainBackend, enterGate, makeNoBackendError, runAtBackend, writeAnswerHead, type PlainWork,
} from './plain-call.js';
import {checkBodyLength, readCallerBody} from './read-body.js';
import {type RetryBudgets} from './retry-budgets.js';

/** Bodies up to this are held, so that the call can be tried again; larger ones stream through once. */
const heldBodyBytes = 65_536;

const mostTries = 4;

type Body = {
	readonly content: Uint8Array | Readable | undefined;
	readonly canRepeat: boolean;
};

const takeBody = async (work: PlainWork): Promise<Body> => {
	const {request} = work.call;
	const {maxBodyBytes} = work.services.environment.settings.limits;
	const hasBody = request.headers['content-length'] !== undefined || request.headers['transfer-encoding'] !== undefined;
	if (!hasBody) {
		return {content: undefined, canRepeat: true};
	}

	checkBodyLength(request, maxBodyBytes);
	const length = Number(request.headers['content-length'] ?? Number.POSITIVE_INFINITY);
	if (length <= heldBodyBytes) {
		return {content: await readCallerBody(request, maxBodyBytes), canRepeat: true};
	}

	return {content: limitBody(request, maxBodyBytes), canRepeat: false};
};

/** Passes a body on, with backpressure, and breaks it off when it grows past the bound. */
const limitBody = (request: Readable, mostBytes: number): Readable => {
	let length = 0;
	return request.compose(async function * (source: AsyncIterable<Uint8Array>) {
		for await (const chunk of source) {
			length += chunk.length;
			if (length > mostBytes) {
				throw new ServingError(`the body is larger than ${mostBytes} bytes`, {kind: 'payload_too_large', executed: 'unknown'});
			}

			yield chunk;
		}
	}) as unknown as Readable;
};

const describeFailure = (error: unknown, guard: AttemptSignal): ServingError | undefined => {
	const end = guard.getEnd();
	if (end === 'caller_gone') {
		return new ServingError('the caller went away', {kind: 'caller_cancelled'});
	}

	if (end === 'deadline') {
		return new ServingError('the deadline passed before the answer came', {kind: 'deadline_exceeded'});
	}

	return error instanceof ServingError && error.kind !== 'mismatched_answer' ? error : undefined;
};

const passAnswer = async (work: PlainWork, answer: PlainAnswer): Promise<void> => {
	writeAnswerHead(work, answer);
	try {
		await pipeline(answer.body, work.call.response);
	} catch (error) {
		throw new ServingError('the answer broke off', {kind: 'backend_failed', cause: error});
	}
};

type TryResult = {readonly failure?: unknown};

const tryBackend = async (work: PlainWork, backend: BackendView, body: Body): Promise<TryResult> => {
	const {services, call} = work;
	const {registry, environment, connections} = services;
	const startedAt = environment.clock.now();
	const guard = makeAttemptSignal({
		goneSignal: call.goneSignal, leavingSignal: undefined, deadline: work.deadline, now: startedAt,
	});
	const act = async (traceparent: string | undefined): Promise<void> => {
		const answer = await callPlain({
			address: backend.address,
			method: work.method,
			path: work.path,
			fields: work.fields,
			body: body.content,
			requestId: call.requestId,
			traceparent,
			isRepeatable: true,
			signal: guard.signal,
		}, connections);
		registry.learn(backend.id, {firstTokenMs: environment.clock.now() - startedAt, uncachedTokens: 0}, []);
		await passAnswer(work, answer);
	};

	let failure: unknown;
	try {
		await runAtBackend({
			work, backend, guard, act,
		});
	} catch (error) {
		failure = error;
	}

	const final = failure === undefined ? undefined : describeFailure(failure, guard);
	if (final !== undefined) {
		throw final;
	}

	return {failure};
};

const toFinalError = (failure: unknown): ServingError => {
	if (failure instanceof ServingError) {
		return failure;
	}

	const wasSent = !(failure instanceof BackendCallError) || failure.wasSent;
	return new ServingError(failure instanceof Error ? failure.message : 'the call failed', {kind: wasSent ? 'backend_failed' : 'backend_unreachable', cause: failure});
};

const callWithRetries = async (work: PlainWork, budgets: RetryBudgets): Promise<void> => {
	const body = await takeBody(work);
	const excluded = new Set<string>();
	const budgetName = `${work.serviceId} ${work.account.account.name}`;
	budgets.earn(budgetName);
	for (let tries = 1; ; tries++) {
		const backend = choosePlainBackend(work, excluded);
		if (backend === undefined) {
			throw makeNoBackendError(work, excluded.size > 0);
		}

		const {failure} = await tryBackend(work, backend, body); // eslint-disable-line no-await-in-loop -- one try after the other
		if (failure === undefined) {
			return;
		}

		excluded.add(backend.id);
		const mayRepeat = body.canRepeat && !work.call.response.headersSent && tries < mostTries;
		if (!mayRepeat || !budgets.trySpend(budgetName)) {
			throw toFinalError(failure);
		}

		work.services.environment.metrics.retries.inc({service: work.serviceId});
	}
};

export const serveRepeatable = async (work: PlainWork, budgets: RetryBudgets): Promise<void> => {
	const release = await enterGate(work);
	try {
		await callWithRetries(work, budgets);
	} finally {
		release();
	}
};
