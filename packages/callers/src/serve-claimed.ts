/**
 * Serves calls that must not run twice. A call is first claimed in the log by its idempotency key. Only the winner
 * of the claim sends the call, once, to one backend server and before the dispatch deadline.
 */
import {Buffer} from 'node:buffer';
import {createHash, randomUUID} from 'node:crypto';
import {
	defaultCallTimeoutMs, dispatchMarginMs, dispatchWindowMs, maxRecordedResponseBytes,
} from '@shallotpass/common/constants.js';
import {type Claim, type Outcome, type RecordedResponse} from '@shallotpass/common/log-records.js';
import {ServingError} from '@shallotpass/common/serving-error.js';
import {addMilliseconds, type Deadline} from '@shallotpass/common/types.js';
import {BackendCallError, callPlain} from '@shallotpass/backends/call-plain.js';
import {type BackendView} from '@shallotpass/core/routing/types.js';
import {makeKeyName} from '@shallotpass/core/claims/claim-state.js';
import {makeAttemptSignal} from './attempt-signal.js';
import {getHeader} from './caller-call.js';
import {claimKey, type SettledClaim} from './claim-key.js';
import {
	choosePlainBackend, admitCall, makeResponseHeaders, makeNoBackendError, runAtBackend, type PlainCallContext,
} from './plain-call.js';
import {readCallerBody} from './read-body.js';

const maxKeyCharacters = 255;
const retryAfterMs = 1000;

/** Maximum size of a response. Responses are buffered completely before they are relayed. */
const maxResponseBytes = 16 * 1024 * 1024;

const readKey = (context: PlainCallContext): string => {
	const key = getHeader(context.call.request, 'idempotency-key');
	if (key === undefined || key === '') {
		throw new ServingError(`${context.method} on ${context.service.name} must not repeat and needs an Idempotency-Key`, {kind: 'idempotency_key_required'});
	}

	if (key.length > maxKeyCharacters) {
		throw new ServingError(`Idempotency-Key is longer than ${maxKeyCharacters} characters`, {kind: 'invalid_request'});
	}

	return key;
};

const makeClaim = (context: PlainCallContext, key: string, body: Uint8Array): Claim => {
	const {environment, epoch} = context.services;
	const now = environment.clock.now();
	const digest = createHash('sha256')
		.update(JSON.stringify([context.method, context.path]))
		.update(body)
		.digest('hex');
	return {
		id: randomUUID(),
		account: `${context.account.team}/${context.account.account.name}`,
		service: context.serviceId,
		key,
		digest,
		owner: environment.settings.instance.id,
		ownerEpoch: String(epoch),
		dispatchBy: now + dispatchWindowMs,
		answerBy: Math.max(context.deadline, now + defaultCallTimeoutMs),
	};
};

type ResponseKind = 'first' | 'replayed';

const sendResponse = (context: PlainCallContext, answer: RecordedResponse, kind: ResponseKind): void => {
	const {response, requestId} = context.call;
	if (response.destroyed || response.headersSent) {
		return;
	}

	const headers = makeResponseHeaders(answer.headers, requestId);
	if (kind === 'replayed') {
		headers.push('Idempotent-Replayed', 'true');
	}

	response.writeHead(answer.status, headers);
	response.end(Buffer.from(answer.bodyBase64, 'base64'));
};

const makeUnavailableError = (context: PlainCallContext, detail: string): ServingError => new ServingError(
	`the call was not run, because it could not be recorded: ${detail}`,
	{kind: 'claims_unavailable', retryAt: addMilliseconds(context.services.environment.clock.now(), retryAfterMs)},
);

/** Records that the claim's call was never sent, so that the key can be used again. */
const recordNotSent = (context: PlainCallContext, claim: Claim): void => {
	void context.services.claims.recordOutcome(claim, {kind: 'not_sent', claimId: claim.id, key: makeKeyName(claim)});
};

const makeOutcome = (claim: Claim, answer: RecordedResponse): Outcome => {
	const base = {claimId: claim.id, key: makeKeyName(claim)};
	return answer.bodyBase64.length > maxRecordedResponseBytes * 4 / 3
		? {kind: 'answered_not_kept', ...base}
		: {kind: 'answered', answer, ...base};
};

const readResponseBody = async (body: AsyncIterable<Uint8Array>) => {
	const chunks: Uint8Array[] = [];
	let length = 0;
	for await (const chunk of body) {
		length += chunk.length;
		if (length > maxResponseBytes) {
			throw new ServingError('the answer is too large to pass on', {kind: 'invalid_backend_answer', executed: 'yes'});
		}

		chunks.push(chunk);
	}

	return Buffer.concat(chunks);
};

type SendOptions = {
	readonly context: PlainCallContext;
	readonly claim: Claim;
	readonly fencing: number;
	readonly body: Uint8Array;
	readonly backend: BackendView;
};

/**
 * Sends the call once. A disconnect of the caller does not abort it, because it runs on the backend server in any case
 * and its outcome is needed for the next call with the same key.
 */
const sendOnce = async ({context, claim, fencing, body, backend}: SendOptions): Promise<RecordedResponse> => {
	const {services, call} = context;
	const {registry, environment, connections} = services;
	const startedAt = environment.clock.now();
	const attemptSignal = makeAttemptSignal({
		callerGoneSignal: undefined, leavingSignal: undefined, deadline: claim.answerBy as Deadline, now: startedAt,
	});
	const send = async (traceparent: string | undefined): Promise<RecordedResponse> => {
		const answer = await callPlain({
			address: backend.address,
			method: context.method,
			path: context.path,
			fields: context.fields,
			body: body.length === 0 ? undefined : body,
			requestId: call.requestId,
			traceparent,
			fencing,
			isRepeatable: false,
			signal: attemptSignal.signal,
		}, connections);
		const content = await readResponseBody(answer.body);
		registry.recordSpeedSample(backend.id, {firstTokenMs: environment.clock.now() - startedAt, uncachedTokens: 0}, []);
		return {status: answer.status, headers: [...answer.fields], bodyBase64: content.toString('base64')};
	};

	return runAtBackend({
		context, backend, attemptSignal, send,
	});
};

/** Whether the call was certainly not sent. After any failure other than a failed connection it may have run. */
const isProvenUnsent = (error: unknown): boolean => error instanceof BackendCallError && !error.wasSent;

/** Attempts the call on backend servers until it has been sent to one, and returns its response. */
const dispatch = async (context: PlainCallContext, claim: Claim, fencing: number, body: Uint8Array): Promise<RecordedResponse> => {
	const {clock} = context.services.environment;
	const excluded = new Set<string>();
	for (;;) {
		// An owner that was paused past its dispatch deadline must not send the call: another daemon may already have reported it as lost.
		if (clock.now() >= claim.dispatchBy - dispatchMarginMs) {
			recordNotSent(context, claim);
			throw makeUnavailableError(context, 'the time to send it has passed');
		}

		const backend = choosePlainBackend(context, excluded);
		if (backend === undefined) {
			recordNotSent(context, claim);
			throw makeNoBackendError(context, excluded.size > 0);
		}

		try {
			// The next backend server is used only if this one was certainly not reached.
			// eslint-disable-next-line no-await-in-loop
			return await sendOnce({
				context, claim, fencing, body, backend,
			});
		} catch (error) {
			if (!isProvenUnsent(error)) {
				void context.services.claims.recordOutcome(claim, {kind: 'unknown', claimId: claim.id, key: makeKeyName(claim)});
				throw error instanceof ServingError ? error : new ServingError('the backend server failed after the call was sent', {kind: 'backend_failed', cause: error});
			}

			excluded.add(backend.id);
		}
	}
};

const runWonClaim = async (context: PlainCallContext, claim: Claim, fencing: number, body: Uint8Array): Promise<void> => {
	const answer = await dispatch(context, claim, fencing, body);
	void context.services.claims.recordOutcome(claim, makeOutcome(claim, answer));
	sendResponse(context, answer, 'first');
};

const respondToSettledClaim = (context: PlainCallContext, claim: Claim, answer: Exclude<SettledClaim['result'], {kind: 'won'}>): void => {
	switch (answer.kind) {
		case 'answered': {
			sendResponse(context, answer.answer, 'replayed');
			return;
		}

		case 'reused': {
			throw new ServingError('the key was used with a different method, path or body', {kind: 'idempotency_key_reused'});
		}

		case 'answered_not_kept': {
			throw new ServingError('the call ran; its answer is not kept', {kind: 'answer_not_kept'});
		}

		case 'unknown': {
			throw new ServingError('the call with this key may have run; who sent it is gone or heard no answer', {kind: 'outcome_unknown'});
		}

		case 'unsafe': {
			throw new ServingError('the log has lost records of keys that may have been used', {kind: 'claims_unavailable', retryAt: answer.until as Deadline});
		}

		case 'unavailable': {
			recordNotSent(context, claim);
			throw makeUnavailableError(context, answer.detail);
		}
	}
};

const claimAndRun = async (context: PlainCallContext, key: string, body: Uint8Array): Promise<void> => {
	const {services, call, deadline} = context;
	const {claim, result} = await claimKey({
		claims: services.claims,
		clock: services.environment.clock,
		makeClaim: () => makeClaim(context, key, body),
		recordNotSent(lost) {
			recordNotSent(context, lost);
		},
		deadline,
		callerGoneSignal: call.callerGoneSignal,
		span: call.span,
	});
	if (result.kind === 'won') {
		await runWonClaim(context, claim, result.fencing, body);
		return;
	}

	respondToSettledClaim(context, claim, result);
};

export const serveClaimed = async (context: PlainCallContext): Promise<void> => {
	const key = readKey(context);
	const body = await readCallerBody(context.call, context.services);
	const release = await admitCall(context);
	try {
		// The claim is made after admission, so that its dispatch window does not include the time in the queue.
		await claimAndRun(context, key, body);
	} finally {
		release();
	}
};
