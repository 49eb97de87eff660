/** Serves repeatable calls to plain services: bodies are streamed and failed calls are retried on other backend servers. */
import {Readable} from 'node:stream';
import {pipeline} from 'node:stream/promises';
import {ServingError} from '@shallotpass/common/serving-error.js';
import {BackendCallError, callPlain, type PlainResponse} from '@shallotpass/backends/call-plain.js';
import {type BackendView} from '@shallotpass/core/routing/types.js';
import {makeAttemptSignal, type AttemptSignal} from './attempt-signal.js';
import {
	choosePlainBackend, admitCall, makeNoBackendError, runAtBackend, writeResponseHead, type PlainCallContext,
} from './plain-call.js';
import {checkBodyLength, makeBrokenBodyError, readCallerBody} from './read-body.js';
import {type RetryBudgets} from './retry-budgets.js';

/** Bodies up to this size are buffered, so that the call can be retried. Larger bodies are streamed and sent only once. */
const maxBufferedBodyBytes = 65_536;

const maxAttempts = 4;

type Body = {
	readonly content: Uint8Array | Readable | undefined;
	readonly canRepeat: boolean;
};

const readBody = async (context: PlainCallContext): Promise<Body> => {
	const {request} = context.call;
	const {maxBodyBytes} = context.services.environment.settings.limits;
	const hasBody = request.headers['content-length'] !== undefined || request.headers['transfer-encoding'] !== undefined;
	if (!hasBody) {
		return {content: undefined, canRepeat: true};
	}

	checkBodyLength(request, maxBodyBytes);
	const length = Number(request.headers['content-length'] ?? Number.POSITIVE_INFINITY);
	if (length <= maxBufferedBodyBytes) {
		return {content: await readCallerBody(context.call, context.services), canRepeat: true};
	}

	return {content: limitBody(request, maxBodyBytes), canRepeat: false};
};

/** Streams a body with backpressure and fails when it exceeds the maximum size. */
const limitBody = (request: Readable, maxBytes: number): Readable => {
	const readChunks = async function * (): AsyncGenerator<Uint8Array> {
		let length = 0;
		try {
			for await (const chunk of request as AsyncIterable<Uint8Array>) {
				length += chunk.length;
				if (length > maxBytes) {
					throw new ServingError(`the body is larger than ${maxBytes} bytes`, {kind: 'payload_too_large', executed: 'unknown'});
				}

				yield chunk;
			}
		} catch (error) {
			throw error instanceof ServingError ? error : makeBrokenBodyError(error, 'unknown');
		}
	};

	const body = Readable.from(readChunks(), {objectMode: false});
	body.on('error', () => {/* Told to who reads it. While nobody does, it would end the process. */});
	return body;
};

const findFinalError = (error: unknown, attemptSignal: AttemptSignal): ServingError | undefined => {
	const endReason = attemptSignal.getEndReason();
	if (endReason === 'caller_gone') {
		return new ServingError('the caller went away', {kind: 'caller_cancelled'});
	}

	if (endReason === 'deadline') {
		return new ServingError('the deadline passed before the answer came', {kind: 'deadline_exceeded'});
	}

	return error instanceof ServingError && error.kind !== 'mismatched_answer' ? error : undefined;
};

const relayResponse = async (context: PlainCallContext, answer: PlainResponse): Promise<void> => {
	writeResponseHead(context, answer);
	try {
		await pipeline(answer.body, context.call.response);
	} catch (error) {
		throw new ServingError('the answer broke off', {kind: 'backend_failed', cause: error});
	}
};

type AttemptResult = {readonly failure?: unknown};

const runBackendAttempt = async (context: PlainCallContext, backend: BackendView, body: Body): Promise<AttemptResult> => {
	const {services, call} = context;
	const {registry, environment, connections} = services;
	const startedAt = environment.clock.now();
	const attemptSignal = makeAttemptSignal({
		callerGoneSignal: call.callerGoneSignal, leavingSignal: undefined, deadline: context.deadline, now: startedAt,
	});
	const send = async (traceparent: string | undefined): Promise<void> => {
		const answer = await callPlain({
			address: backend.address,
			method: context.method,
			path: context.path,
			fields: context.fields,
			body: body.content,
			requestId: call.requestId,
			traceparent,
			isRepeatable: true,
			signal: attemptSignal.signal,
		}, connections);
		registry.recordSpeedSample(backend.id, {firstTokenMs: environment.clock.now() - startedAt, uncachedTokens: 0}, []);
		await relayResponse(context, answer);
	};

	let failure: unknown;
	try {
		await runAtBackend({
			context, backend, attemptSignal, send,
		});
	} catch (error) {
		failure = error;
	}

	const finalError = failure === undefined ? undefined : findFinalError(failure, attemptSignal);
	if (finalError !== undefined) {
		throw finalError;
	}

	return {failure};
};

const describeLastError = (failure: unknown): ServingError => {
	if (failure instanceof ServingError) {
		return failure;
	}

	const wasSent = !(failure instanceof BackendCallError) || failure.wasSent;
	return new ServingError(failure instanceof Error ? failure.message : 'the call failed', {kind: wasSent ? 'backend_failed' : 'backend_unreachable', cause: failure});
};

const callWithRetries = async (context: PlainCallContext, budgets: RetryBudgets): Promise<void> => {
	const body = await readBody(context);
	const excluded = new Set<string>();
	const budgetName = `${context.serviceId} ${context.account.account.name}`;
	budgets.earn(budgetName);
	for (let attempts = 1; ; attempts++) {
		const backend = choosePlainBackend(context, excluded);
		if (backend === undefined) {
			throw makeNoBackendError(context, excluded.size > 0);
		}

		const {failure} = await runBackendAttempt(context, backend, body); // eslint-disable-line no-await-in-loop -- attempts run one at a time
		if (failure === undefined) {
			return;
		}

		excluded.add(backend.id);
		const mayRetry = body.canRepeat && !context.call.response.headersSent && attempts < maxAttempts;
		if (!mayRetry || !budgets.takeRetry(budgetName)) {
			throw describeLastError(failure);
		}

		context.services.environment.metrics.retries.inc({service: context.serviceId});
	}
};

export const serveRepeatable = async (context: PlainCallContext, budgets: RetryBudgets): Promise<void> => {
	const release = await admitCall(context);
	try {
		await callWithRetries(context, budgets);
	} finally {
		release();
	}
};
