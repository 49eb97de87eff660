/**
 * The fold of one claim stream. The first claim for a key in log order wins; a
 * later one wins only after the log has said that the first was not sent.
 */
import {claimStreamRecordSchema, type Claim, type Outcome} from '@shallotpass/common/log-records.js';
import {type LogRecord} from '@shallotpass/common/log-service.js';
import {type LogOffset} from '@shallotpass/common/types.js';
import {type ClaimState} from './types.js';

export const makeClaimState = (): ClaimState => ({
	foldedTo: 0 as LogOffset,
	keys: new Map(),
	order: [],
	voided: new Map(),
	unsafeUntil: 0,
});

/** Keys of different accounts and services never meet. */
export const makeKeyName = (claim: Pick<Claim, 'account' | 'service' | 'key'>): string =>
	JSON.stringify([claim.account, claim.service, claim.key]);

const takeClaim = (state: ClaimState, claim: Claim, source: LogRecord): void => {
	if (state.voided.has(claim.id)) {
		return;
	}

	const name = makeKeyName(claim);
	const known = state.keys.get(name);
	if (known !== undefined && known.outcome?.kind !== 'not_sent') {
		return;
	}

	if (known === undefined) {
		state.order.push(name);
	}

	state.keys.set(name, {claim, offset: source.offset, appendedAt: source.appendedAt});
};

const takeOutcome = (state: ClaimState, outcome: Outcome, source: LogRecord): void => {
	const known = state.keys.get(outcome.key);
	if (outcome.kind === 'not_sent' && known?.claim.id !== outcome.claimId) {
		state.voided.set(outcome.claimId, source.appendedAt);
		return;
	}

	// An outcome of a claim that did not win, or a second one, tells nothing.
	if (known?.claim.id !== outcome.claimId || known.outcome !== undefined) {
		return;
	}

	state.keys.set(outcome.key, {...known, outcome: {kind: outcome.kind, offset: source.offset}});
};

/**
 * Takes the next record. The state is changed in place: it holds as many keys as
 * were used during the key memory, too many to copy for each record.
 */
export const foldClaimRecord = (state: ClaimState, source: LogRecord): ClaimState => {
	if (source.offset < state.foldedTo) {
		return state;
	}

	const parsed = claimStreamRecordSchema.safeParse(source.record);
	for (const outcome of parsed.data?.outcomes ?? []) {
		takeOutcome(state, outcome, source);
	}

	for (const claim of parsed.data?.claims ?? []) {
		takeClaim(state, claim, source);
	}

	return {...state, foldedTo: (source.offset + 1) as LogOffset};
};

/**
 * Records before `earliest` were trimmed unread. The age of what is gone is not
 * known, only that it is older than the oldest record that is left; so keys are
 * unsafe until that record itself is older than the key memory.
 */
export const noteClaimTrim = (state: ClaimState, earliest: LogOffset, oldestLeftAt: number, keyMemoryMs: number): ClaimState => {
	if (earliest <= state.foldedTo) {
		return state;
	}

	return {...state, foldedTo: earliest, unsafeUntil: Math.max(state.unsafeUntil, oldestLeftAt + keyMemoryMs)};
};

/** Forgets keys that are older than the key memory. */
export const forgetOldKeys = (state: ClaimState, now: number, keyMemoryMs: number): void => {
	let count = 0;
	for (const name of state.order) {
		const known = state.keys.get(name);
		if (known !== undefined && now - known.appendedAt < keyMemoryMs) {
			break;
		}

		state.keys.delete(name);
		count++;
	}

	state.order.splice(0, count);
	for (const [claimId, voidedAt] of state.voided) {
		if (now - voidedAt < keyMemoryMs) {
			break;
		}

		state.voided.delete(claimId);
	}
};
