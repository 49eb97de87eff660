/** What a claim has come to, from the fold of its stream alone. */
import {type Claim} from '@shallotpass/common/log-records.js';
import {makeKeyName} from './fold-claims.js';
import {type ClaimState, type ClaimVerdict} from './types.js';

type JudgeOptions = {
	readonly state: ClaimState;
	/** The claim as it was appended, or as it would be. */
	readonly claim: Claim;
	readonly now: number;
	/** The log's own time, which the end of an unsafe time is told in. */
	readonly logTime: number;
	/** Whether a process with this id and start is known to be gone for good. */
	readonly isOwnerGone: (owner: string, ownerEpoch: string) => boolean;
};

/** After its answer deadline an owner has this long to record the outcome. */
const outcomeGraceMs = 2000;

/**
 * Nobody but the winner ever sends the call. A claim whose owner is gone without
 * an outcome stays unknown: the call may have been sent, and a second sending
 * could run it twice even at a backend server that checks fencing numbers,
 * because the first may have run before the second number was seen.
 */
export const judgeClaim = (options: JudgeOptions): ClaimVerdict => {
	const {state, claim, now, logTime, isOwnerGone} = options;
	const known = state.keys.get(makeKeyName(claim));
	if (known === undefined || (known.outcome?.kind === 'not_sent' && known.claim.id !== claim.id)) {
		return logTime < state.unsafeUntil ? {kind: 'unsafe', until: state.unsafeUntil} : {kind: 'absent'};
	}

	if (known.claim.digest !== claim.digest) {
		return {kind: 'reused'};
	}

	if (known.claim.id === claim.id && known.outcome === undefined) {
		return {kind: 'won', fencing: known.offset};
	}

	switch (known.outcome?.kind) {
		case 'answered': {
			return {kind: 'answered', outcomeOffset: known.outcome.offset};
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
			const isLapsed = now >= known.claim.answerBy + outcomeGraceMs;
			const isGone = isLapsed || isOwnerGone(known.claim.owner, known.claim.ownerEpoch);
			return isGone ? {kind: 'unknown'} : {kind: 'running', claim: known.claim};
		}
	}
};
