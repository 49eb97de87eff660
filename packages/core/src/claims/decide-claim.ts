/** Decides on a claim from the state of its stream. */
import {type Claim} from '@shallotpass/common/log-records.js';
import {makeKeyName} from './claim-state.js';
import {type ClaimState, type ClaimDecision} from './types.js';

type ClaimOptions = {
	readonly state: ClaimState;
	/** The claim, which may not have been appended yet. */
	readonly claim: Claim;
	readonly now: number;
	/** Current time of the log's clock, on which `unsafeUntil` is based. */
	readonly logTime: number;
	/** Whether the process with this id and epoch is known to have ended. */
	readonly isOwnerGone: (owner: string, ownerEpoch: string) => boolean;
};

/** Time that an owner has after its answer deadline to record the outcome. */
const outcomeGraceMs = 2000;

/**
 * Decides on a claim. Only the winner ever sends the call. If its owner ended without recording an outcome, the result
 * is unknown: the call may have been sent, and sending it again could execute it twice. Fencing tokens don't
 * prevent this, because the first call may have run before the backend server saw the second token.
 */
export const decideClaim = (options: ClaimOptions): ClaimDecision => {
	const {state, claim, now, logTime, isOwnerGone} = options;
	const existing = state.keys.get(makeKeyName(claim));
	if (existing === undefined || (existing.outcome?.kind === 'not_sent' && existing.claim.id !== claim.id)) {
		return logTime < state.unsafeUntil ? {kind: 'unsafe', until: state.unsafeUntil} : {kind: 'absent'};
	}

	if (existing.claim.digest !== claim.digest) {
		return {kind: 'reused'};
	}

	if (existing.claim.id === claim.id && existing.outcome === undefined) {
		return {kind: 'won', fencing: existing.offset};
	}

	switch (existing.outcome?.kind) {
		case 'answered': {
			return {kind: 'answered', outcomeOffset: existing.outcome.offset};
		}

		case 'answered_not_kept': {
			return {kind: 'answered_not_kept'};
		}

		case 'unknown': {
			return {kind: 'unknown'};
		}

		case 'not_sent': {
			return {kind: 'absent'};
		}

		case undefined: {
			const isOverdue = now >= existing.claim.answerBy + outcomeGraceMs;
			const hasOwnerFailed = isOverdue || isOwnerGone(existing.claim.owner, existing.claim.ownerEpoch);
			return hasOwnerFailed ? {kind: 'unknown'} : {kind: 'running', claim: existing.claim};
		}
	}
};
