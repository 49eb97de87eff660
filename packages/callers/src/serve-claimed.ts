/**
 * Calls that must not repeat. The claim in the log comes first; only its winner
 * sends the call, once, before its dispatch deadline, to one backend server.
 */
import {Buffer} from 'node:buffer';
import {createHash, randomUUID} from 'node:crypto';
import {waitQuietly} from '@shallotpass/common/clock.js';
import {
	defaultCallMs, dispatchMarginMs, dispatchWindowMs, recordedAnswerMaxBytes,
} from '@shallotpass/common/constants.js';
import {type Claim, type Outcome, type RecordedAnswer} from '@shallotpass/common/log-records.js';
import {ServingError} from '@shallotpass/common/serving-error.js';
import {addMilliseconds, type Deadline} from '@shallotpass/common/types.js';
import {BackendCallError, callPlain} from '@shallotpass/backends/call-plain.js';
import {type BackendView} from '@shallotpass/core/routing/types.js';
import {makeKeyName} from '@shallotpass/core/claims/fold-claims.js';
import {type ClaimAnswer} from '@shallotpass/peers/peer-methods.js';
import {makeAttemptSignal} from './attempt-signal.js';
import {getField} from './caller-call.js';
import {
	choosePlainBackend, enterGate, makeAnswerHeaders, makeNoBackendError, runAtBackend, type PlainWork,
} from './plain-call.js';
import {readCallerBody} from './read-body.js';

const longestKeyCharacters = 255;
const retryMs = 1000;

/** How often the log is asked about a call that runs elsewhere. */
const firstAskAgainMs = 50;
const longestAskAgainMs = 500;

/** Answers are held whole before they are passed on, up to this. */
const longestAnswerBytes = 16 * 1024 * 1024;

const readKey = (work: PlainWork): string => {
	const key = getField(work.call.request, 'idempotency-key');
	if (key === undefined || key === '') {
		throw new ServingError(`${work.method} on ${work.service.name} must not repeat and needs an Idempotency-Key`, {kind: 'idempotency_key_required'});
	}

	if (key.length > longestKeyCharacters) {
		throw new ServingError(`Idempotency-Key is longer than ${longestKeyCharacters} characters`, {kind: 'invalid_request'});
	}

	return key;
};

const makeClaim = (work: PlainWork, key: string, body: Uint8Array): Claim => {
	const {environment, epoch} = work.services;
	const now = environment.clock.now();
	const digest = createHash('sha256')
		.update(JSON.stringify([work.method, work.path]))
		.update(body)
		.digest('hex');
	return {
		id: randomUUID(),
		account: `${work.account.team}/${work.account.account.name}`,
		service: work.serviceId,
		key,
		digest,
		owner: environment.settings.instance.id,
		ownerEpoch: String(epoch),
		dispatchBy: now + dispatchWindowMs,
		answerBy: Math.max(work.deadline, now + defaultCallMs),
	};
};

type AnswerKind = 'first' | 'replayed';

const sendAnswer = (work: PlainWork, answer: RecordedAnswer, kind: AnswerKind): void => {
	const {response, requestId} = work.call;
	if (response.destroyed || response.headersSent) {
		return;
	}

	const headers = makeAnswerHeaders(answer.headers, requestId);
	if (kind === 'replayed') {
		headers.push('Idempotent-Replayed', 'true');
	}

	response.writeHead(answer.status, headers);
	response.end(Buffer.from(answer.bodyBase64, 'base64'));
};

const unavailable = (work: PlainWork, detail: string): ServingError => new ServingError(
	`the call was not run, because it could not be recorded: ${detail}`,
	{kind: 'claims_unavailable', retryAt: addMilliseconds(work.services.environment.clock.now(), retryMs)},
);

/** Tells the log that the claim's call was never sent, so that the key can be used again. */
const recordNotSent = (work: PlainWork, claim: Claim): void => {
	void work.services.claims.recordOutcome(claim, {kind: 'not_sent', claimId: claim.id, key: makeKeyName(claim)});
};

const makeOutcome = (claim: Claim, answer: RecordedAnswer): Outcome => {
	const base = {claimId: claim.id, key: makeKeyName(claim)};
	return answer.bodyBase64.length > recordedAnswerMaxBytes * 4 / 3
		? {kind: 'answered_not_kept', ...base}
		: {kind: 'answered', answer, ...base};
};

const readWhole = async (body: AsyncIterable<Uint8Array>) => {
	const chunks: Uint8Array[] = [];
	let length = 0;
	for await (const chunk of body) {
		length += chunk.length;
		if (length > longestAnswerBytes) {
			throw new ServingError('the answer is too large to pass on', {kind: 'invalid_backend_answer', executed: 'yes'});
		}

		chunks.push(chunk);
	}

	return Buffer.concat(chunks);
};

type SendOptions = {
	readonly work: PlainWork;
	readonly claim: Claim;
	readonly fencing: number;
	readonly body: Uint8Array;
	readonly backend: BackendView;
};

/**
 * Sends the call once. The caller's going away does not cut it off: it runs at
 * the backend server in any case, and its outcome is wanted for the next call
 * with the key.
 */
const sendOnce = async ({work, claim, fencing, body, backend}: SendOptions): Promise<RecordedAnswer> => {
	const {services, call} = work;
	const {registry, environment, connections} = services;
	const startedAt = environment.clock.now();
	const guard = makeAttemptSignal({
		goneSignal: undefined, leavingSignal: undefined, deadline: claim.answerBy as Deadline, now: startedAt,
	});
	const act = async (traceparent: string | undefined): Promise<RecordedAnswer> => {
		const answer = await callPlain({
			address: backend.address,
			method: work.method,
			path: work.path,
			fields: work.fields,
			body: body.length === 0 ? undefined : body,
			requestId: call.requestId,
			traceparent,
			fencing,
			isRepeatable: false,
			signal: guard.signal,
		}, connections);
		const content = await readWhole(answer.body);
		registry.learn(backend.id, {firstTokenMs: environment.clock.now() - startedAt, uncachedTokens: 0}, []);
		return {status: answer.status, headers: [...answer.fields], bodyBase64: content.toString('base64')};
	};

	return runAtBackend({
		work, backend, guard, act,
	});
};

/** A failure to connect proves that nothing was sent; anything else may have run. */
const isProvenUnsent = (error: unknown): boolean => error instanceof BackendCallError && !error.wasSent;

/** Tries backend servers until one was sent the call; returns its answer. */
const dispatch = async (work: PlainWork, claim: Claim, fencing: number, body: Uint8Array): Promise<RecordedAnswer> => {
	const {clock} = work.services.environment;
	const excluded = new Set<string>();
	for (;;) {
		// An owner that was paused past its deadline must not send: others may have told the caller that the call is lost.
		if (clock.now() >= claim.dispatchBy - dispatchMarginMs) {
			recordNotSent(work, claim);
			throw unavailable(work, 'the time to send it has passed');
		}

		const backend = choosePlainBackend(work, excluded);
		if (backend === undefined) {
			recordNotSent(work, claim);
			throw makeNoBackendError(work, excluded.size > 0);
		}

		try {
			// The next only when this one provably was not reached.
			// eslint-disable-next-line no-await-in-loop
			return await sendOnce({
				work, claim, fencing, body, backend,
			});
		} catch (error) {
			if (!isProvenUnsent(error)) {
				void work.services.claims.recordOutcome(claim, {kind: 'unknown', claimId: claim.id, key: makeKeyName(claim)});
				throw error instanceof ServingError ? error : new ServingError('the backend server failed after the call was sent', {kind: 'backend_failed', cause: error});
			}

			excluded.add(backend.id);
		}
	}
};

const runWon = async (work: PlainWork, claim: Claim, fencing: number, body: Uint8Array): Promise<void> => {
	const answer = await dispatch(work, claim, fencing, body);
	void work.services.claims.recordOutcome(claim, makeOutcome(claim, answer));
	sendAnswer(work, answer, 'first');
};

/** The call with this key runs elsewhere: the caller gets the same answer when it is there. */
const waitForOutcome = async (work: PlainWork, claim: Claim): Promise<ClaimAnswer> => {
	const {environment, claims} = work.services;
	const {clock} = environment;
	for (let tries = 0; clock.now() < work.deadline && !work.call.goneSignal.aborted; tries++) {
		const delay = Math.min(longestAskAgainMs, firstAskAgainMs * (2 ** tries));
		/* eslint-disable no-await-in-loop -- asked again until the outcome is there */
		await waitQuietly(clock, Math.min(work.deadline, clock.now() + delay) as Deadline, work.call.goneSignal);
		const answer = await claims.lookUp(claim, work.deadline, work.call.hop);
		/* eslint-enable no-await-in-loop */
		if (answer.kind !== 'running' && answer.kind !== 'unavailable') {
			return answer;
		}
	}

	throw new ServingError('the first call with this key has not ended yet', {kind: 'call_in_progress', retryAt: addMilliseconds(clock.now(), retryMs)});
};

const answerSettled = (work: PlainWork, claim: Claim, answer: ClaimAnswer): void => {
	switch (answer.kind) {
		case 'answered': {
			sendAnswer(work, answer.answer, 'replayed');
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
			recordNotSent(work, claim);
			throw unavailable(work, answer.detail);
		}

		case 'won':
		case 'running': {
			throw new ServingError('the call with this key has not ended yet', {kind: 'call_in_progress', retryAt: addMilliseconds(work.services.environment.clock.now(), retryMs)});
		}
	}
};

const runClaimed = async (work: PlainWork, claim: Claim, body: Uint8Array): Promise<void> => {
	const hop = work.call.hop.makeChild('claim');
	const claimBy = Math.min(work.deadline, claim.dispatchBy - dispatchMarginMs) as Deadline;
	const answer = await work.services.claims.claim(claim, claimBy, hop);
	hop.end();
	if (answer.kind === 'won') {
		await runWon(work, claim, answer.fencing, body);
		return;
	}

	if (answer.kind !== 'running') {
		answerSettled(work, claim, answer);
		return;
	}

	answerSettled(work, claim, await waitForOutcome(work, claim));
};

export const serveClaimed = async (work: PlainWork): Promise<void> => {
	const key = readKey(work);
	const body = await readCallerBody(work.call.request, work.services.environment.settings.limits.maxBodyBytes);
	const release = await enterGate(work);
	try {
		// The claim's dispatch window starts when the call is let in, not while it waits.
		await runClaimed(work, makeClaim(work, key, body), body);
	} finally {
		release();
	}
};
