/**
 * Who may run a suspected request again. A request that was in flight at a death
 * may be run once more, by one daemon in all; the log decides which, as it does
 * for calls that must not repeat. So at most two backend servers die of it,
 * however often and wherever the caller sends it.
 */
import {randomUUID} from 'node:crypto';
import {keyMemoryMs} from '@shallotpass/common/constants.js';
import {type Claim} from '@shallotpass/common/log-records.js';
import {ServingError} from '@shallotpass/common/serving-error.js';
import {addMilliseconds, type Deadline} from '@shallotpass/common/types.js';
import {waitQuietly} from '@shallotpass/common/clock.js';
import {makeKeyName} from '@shallotpass/core/claims/fold-claims.js';
import {type ClaimAnswer} from '@shallotpass/peers/peer-methods.js';
import {type CallerServices} from './services.js';

export type SecondRun = {
	/** The request came through without a death. */
	readonly clear: () => Promise<void>;
	/** The backend server died again, or nobody knows. */
	readonly convict: () => Promise<void>;
	/** Nothing was sent; another try may take the place. */
	readonly giveBack: () => Promise<void>;
};

const askAgainMs = 200;

/** An answer in the middle is held for so long for the log to come back; after that the caller had better know. */
const outagePatienceMs = 15_000;

const longestRunMs = 60_000;
const retryMs = 5000;

const quarantined = (): ServingError =>
	new ServingError('backend servers died while they ran this request', {kind: 'request_quarantined'});

/** A claim of no client account: the log decides for daemons what it decides for calls that must not repeat. */
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
		dispatchBy: now + longestRunMs,
		answerBy: now + longestRunMs,
	};
};

/**
 * Claims, and asks again while the log is away: the answer was accepted, and an engine that
 * dies during an outage of the log would else break off every answer that ran there. The
 * same claim may be asked again, for one that took hold unseen is still its own.
 */
export const claimPatiently = async (services: CallerServices, claim: Claim, deadline: Deadline, signal: AbortSignal): Promise<ClaimAnswer> => {
	const {claims, environment: {clock}} = services;
	const giveUpAt = Math.min(deadline, addMilliseconds(clock.now(), outagePatienceMs));
	for (;;) {
		const answer = await claims.claim(claim, deadline); // eslint-disable-line no-await-in-loop -- asked again until the log is back
		if (answer.kind !== 'unavailable' || clock.now() >= giveUpAt || signal.aborted) {
			return answer;
		}

		await waitQuietly(clock, addMilliseconds(clock.now(), askAgainMs), signal); // eslint-disable-line no-await-in-loop
	}
};

/** Waits for the right to run the suspect; undefined when it has been cleared meanwhile. */
export const acquireSecondRun = async (services: CallerServices, fingerprint: string, deadline: Deadline, signal: AbortSignal): Promise<SecondRun | undefined> => {
	const {claims, environment, suspects} = services;
	const {clock} = environment;
	const claim = makeRunClaim(services, 'second-run', fingerprint);
	const key = makeKeyName(claim);
	const end = async (kind: 'answered_not_kept' | 'unknown' | 'not_sent'): Promise<void> => {
		await claims.recordOutcome(claim, {kind, claimId: claim.id, key});
	};

	while (clock.now() < deadline && !signal.aborted) {
		const answer = await claimPatiently(services, claim, deadline, signal); // eslint-disable-line no-await-in-loop -- asked again until the one before has ended
		switch (answer.kind) {
			case 'won': {
				return {
					async clear() {
						suspects.lift(fingerprint);
						await end('answered_not_kept');
					},
					convict: async () => end('unknown'),
					giveBack: async () => end('not_sent'),
				};
			}

			case 'answered':
			case 'answered_not_kept': {
				suspects.lift(fingerprint);
				return undefined;
			}

			case 'running': {
				await waitQuietly(clock, addMilliseconds(clock.now(), askAgainMs), signal); // eslint-disable-line no-await-in-loop
				break;
			}

			case 'unknown':
			case 'reused': {
				suspects.merge([{
					fingerprint, deaths: ['first', 'second'], isConvicted: true, tokens: 0, forgetAt: clock.now() + keyMemoryMs,
				}], []);
				throw quarantined();
			}

			case 'unsafe':
			case 'unavailable': {
				void end('not_sent');
				// Without the log nobody can tell whether it runs elsewhere; it is not risked.
				throw new ServingError('a request that may end backend servers waits until the log answers', {kind: 'claims_unavailable', retryAt: addMilliseconds(clock.now(), retryMs)});
			}
		}
	}

	throw new ServingError('the request was not cleared before its deadline', {kind: 'deadline_unreachable', retryAt: addMilliseconds(clock.now(), retryMs)});
};

/** Refuses a request that is convicted. */
export const checkQuarantine = (services: CallerServices, fingerprint: string): void => {
	if (services.suspects.get(fingerprint)?.isConvicted) {
		throw quarantined();
	}
};
