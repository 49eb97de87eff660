/**
 * Decides who may run a suspected request again. A request that was in flight when a backend server crashed may be
 * run once more, by only one daemon. The log decides which one, as it does for non-repeatable calls. At most two backend
 * servers therefore crash because of the request, no matter how often and where the caller sends it.
 */
import {randomUUID} from 'node:crypto';
import {idempotencyKeyRetentionMs} from '@shallotpass/common/constants.js';
import {type Claim} from '@shallotpass/common/log-records.js';
import {ServingError} from '@shallotpass/common/serving-error.js';
import {addMilliseconds, type Deadline} from '@shallotpass/common/types.js';
import {waitUntilOrAborted} from '@shallotpass/common/clock.js';
import {makeKeyName} from '@shallotpass/core/claims/claim-state.js';
import {type ClaimAttemptResult} from '@shallotpass/peers/peer-methods.js';
import {type CallerServices} from './services.js';

export type SecondRun = {
	/** Records that the request ran without crashing its backend server, and clears the suspicion. */
	readonly clear: () => Promise<void>;
	/** Records that the backend server crashed again or that the result is unknown, which quarantines the request. */
	readonly convict: () => Promise<void>;
	/** Records that nothing was sent, so that another attempt may acquire the run. */
	readonly release: () => Promise<void>;
};

const pollIntervalMs = 200;

/** How long a partial response is paused while the log is unavailable before the request fails. */
const logOutageTimeoutMs = 15_000;

/** Time after which a claim of a run whose owner recorded no outcome is considered lost. */
const maxRunMs = 60_000;
const retryAfterMs = 5000;

const makeQuarantineError = (): ServingError =>
	new ServingError('backend servers died while they ran this request', {kind: 'request_quarantined'});

/** Makes a claim without a client account. It lets daemons use the log's claims for mutual exclusion among themselves. */
export const makeRunClaim = (services: CallerServices, service: 'second-run' | 'probation', key: string): Claim => {
	const {environment, epoch} = services;
	const now = environment.clock.now();
	return {
		id: randomUUID(),
		account: '',
		service,
		key,
		digest: key,
		owner: environment.settings.instance.id,
		ownerEpoch: String(epoch),
		dispatchBy: now + maxRunMs,
		answerBy: now + maxRunMs,
	};
};

/**
 * Claims with retries while the log is unavailable. Without them, an engine that crashes during a log outage would
 * end every response that it was generating. Repeating the same claim is safe: if an earlier attempt was stored
 * unnoticed, the claim still wins.
 */
export const claimWithRetries = async (services: CallerServices, claim: Claim, deadline: Deadline, signal: AbortSignal): Promise<ClaimAttemptResult> => {
	const {claims, environment: {clock}} = services;
	const giveUpAt = Math.min(deadline, addMilliseconds(clock.now(), logOutageTimeoutMs));
	for (;;) {
		const answer = await claims.claim(claim, deadline); // eslint-disable-line no-await-in-loop -- retries until the log is available
		if (answer.kind !== 'unavailable' || clock.now() >= giveUpAt || signal.aborted) {
			return answer;
		}

		await waitUntilOrAborted(clock, addMilliseconds(clock.now(), pollIntervalMs), signal); // eslint-disable-line no-await-in-loop
	}
};

/** Waits for the right to run the suspect; undefined if it was cleared in the meantime. */
export const acquireSecondRun = async (services: CallerServices, fingerprint: string, deadline: Deadline, signal: AbortSignal): Promise<SecondRun | undefined> => {
	const {claims, environment, suspects} = services;
	const {clock} = environment;
	const claim = makeRunClaim(services, 'second-run', fingerprint);
	const key = makeKeyName(claim);
	const recordRunOutcome = async (kind: 'answered_not_kept' | 'unknown' | 'not_sent'): Promise<void> => {
		await claims.recordOutcome(claim, {kind, claimId: claim.id, key});
	};

	while (clock.now() < deadline && !signal.aborted) {
		const answer = await claimWithRetries(services, claim, deadline, signal); // eslint-disable-line no-await-in-loop -- retries until the previous run has ended
		switch (answer.kind) {
			case 'won': {
				return {
					async clear() {
						suspects.lift(fingerprint);
						await recordRunOutcome('answered_not_kept');
					},
					convict: async () => recordRunOutcome('unknown'),
					release: async () => recordRunOutcome('not_sent'),
				};
			}

			case 'answered':
			case 'answered_not_kept': {
				suspects.lift(fingerprint);
				return undefined;
			}

			case 'running': {
				await waitUntilOrAborted(clock, addMilliseconds(clock.now(), pollIntervalMs), signal); // eslint-disable-line no-await-in-loop
				break;
			}

			case 'unknown':
			case 'reused': {
				// Two placeholder ids, because the merge convicts a request with two crashes.
				suspects.merge([{
					fingerprint, deaths: ['first', 'second'], isConvicted: true, tokens: 0, forgetAt: clock.now() + idempotencyKeyRetentionMs,
				}], []);
				throw makeQuarantineError();
			}

			case 'unsafe':
			case 'unavailable': {
				void recordRunOutcome('not_sent');
				// Without the log it is unknown whether the request runs elsewhere, so it is refused.
				throw new ServingError('a request that may end backend servers waits until the log answers', {
					kind: 'claims_unavailable', retryAt: addMilliseconds(clock.now(), retryAfterMs),
				});
			}
		}
	}

	throw new ServingError('the request was not cleared before its deadline', {
		kind: 'deadline_unreachable', retryAt: addMilliseconds(clock.now(), retryAfterMs),
	});
};

/** Throws if the request is convicted, and therefore quarantined. */
export const checkQuarantine = (services: CallerServices, fingerprint: string): void => {
	if (services.suspects.get(fingerprint)?.isConvicted) {
		throw makeQuarantineError();
	}
};
