/** Claims the idempotency key of a call. While another call with the key runs, waits for its outcome. */
import {type Clock, waitUntilOrAborted} from '@shallotpass/common/clock.js';
import {dispatchMarginMs} from '@shallotpass/common/constants.js';
import {type Claim} from '@shallotpass/common/log-records.js';
import {ServingError} from '@shallotpass/common/serving-error.js';
import {addMilliseconds, type Deadline} from '@shallotpass/common/types.js';
import {type ClaimAttemptResult, type ClaimResult} from '@shallotpass/peers/peer-methods.js';
import {type ClaimService} from '@shallotpass/tasks/claim-service.js';
import {type TraceSpan} from '@shallotpass/telemetry/tracing.js';

const retryAfterMs = 1000;

/** Interval for polling the log about a call that another request is running; it doubles up to the maximum. */
const initialPollIntervalMs = 50;
const maxPollIntervalMs = 500;

export type ClaimKeyOptions = {
	readonly claims: Pick<ClaimService, 'claim' | 'lookUp'>;
	readonly clock: Clock;
	/** Makes a claim of the key with an id of its own and a dispatch window that begins now. */
	readonly makeClaim: () => Claim;
	/** Records that the claim's call was never sent and will not be. */
	readonly recordNotSent: (claim: Claim) => void;
	readonly deadline: Deadline;
	readonly callerGoneSignal: AbortSignal;
	/** Span of the call. */
	readonly span: TraceSpan | undefined;
};

export type SettledClaim = {
	readonly claim: Claim;
	readonly result: Exclude<ClaimAttemptResult, {kind: 'running'}>;
};

/** Waits until the other call with the key has an outcome, or is known not to have been sent. */
const waitForOutcome = async ({claims, clock, deadline, callerGoneSignal, span}: ClaimKeyOptions, claim: Claim): Promise<Exclude<ClaimResult, {kind: 'running'}>> => {
	for (let polls = 0; clock.now() < deadline && !callerGoneSignal.aborted; polls++) {
		const delayMs = Math.min(maxPollIntervalMs, initialPollIntervalMs * (2 ** polls));
		/* eslint-disable no-await-in-loop -- polls until the outcome is known */
		await waitUntilOrAborted(clock, Math.min(deadline, clock.now() + delayMs) as Deadline, callerGoneSignal);
		const result = await claims.lookUp(claim, deadline, span);
		/* eslint-enable no-await-in-loop */
		if (result.kind !== 'running' && result.kind !== 'unavailable') {
			return result;
		}
	}

	throw new ServingError('the first call with this key has not ended yet', {kind: 'call_in_progress', retryAt: addMilliseconds(clock.now(), retryAfterMs)});
};

/**
 * Returns the claim that settled the key, and how. If the other call turns out not to have been sent, the key is free and is
 * claimed again: its caller was told so, and this one would otherwise wait for an outcome that never comes.
 */
export const claimKey = async (options: ClaimKeyOptions): Promise<SettledClaim> => {
	const {claims, makeClaim, recordNotSent, deadline, span} = options;
	for (;;) {
		/* eslint-disable no-await-in-loop -- a claim is made after the previous one has lost */
		const claim = makeClaim();
		const claimBy = Math.min(deadline, claim.dispatchBy - dispatchMarginMs) as Deadline;
		const claimSpan = span?.startChild('claim');
		const claimed = await claims.claim(claim, claimBy, claimSpan);
		claimSpan?.end();
		const result = claimed.kind === 'running' ? await waitForOutcome(options, claim) : claimed;
		/* eslint-enable no-await-in-loop */
		if (result.kind !== 'absent') {
			return {claim, result};
		}

		// An append of this claim that is still under way must not take the key.
		recordNotSent(claim);
	}
};
