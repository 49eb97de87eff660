/**
 * State of one claim stream. A claim reserves an idempotency key for one call. The first claim for a key in log order
 * wins. A later one wins only after a record has stated that the call of the first was not sent.
 */
import {type Claim, type Outcome} from '@shallotpass/common/log-records.js';
import {type LogRecord} from '@shallotpass/common/log-service.js';
import {type LogOffset} from '@shallotpass/common/types.js';
import {readClaimRecord} from './read-claim-record.js';
import {type ClaimState} from './types.js';

export const makeClaimState = (): ClaimState => ({
	foldedTo: 0 as LogOffset,
	keys: new Map(),
	order: [],
	voided: new Map(),
	unsafeUntil: 0,
});

/** Makes the full name of a key, which is unique across client accounts and services. */
export const makeKeyName = (claim: Pick<Claim, 'account' | 'service' | 'key'>): string =>
	JSON.stringify([claim.account, claim.service, claim.key]);

const applyClaim = (state: ClaimState, claim: Claim, logRecord: LogRecord): void => {
	if (state.voided.has(claim.id)) {
		return;
	}

	const name = makeKeyName(claim);
	const existing = state.keys.get(name);
	if (existing !== undefined && existing.outcome?.kind !== 'not_sent') {
		return;
	}

	if (existing === undefined) {
		state.order.push(name);
	}

	state.keys.set(name, {claim, offset: logRecord.offset, appendedAt: logRecord.appendedAt});
};

const applyOutcome = (state: ClaimState, outcome: Outcome, logRecord: LogRecord): void => {
	const existing = state.keys.get(outcome.key);
	if (outcome.kind === 'not_sent' && existing?.claim.id !== outcome.claimId) {
		state.voided.set(outcome.claimId, logRecord.appendedAt);
		return;
	}

	// Ignores outcomes of claims that did not win, and repeated outcomes.
	if (existing?.claim.id !== outcome.claimId || existing.outcome !== undefined) {
		return;
	}

	state.keys.set(outcome.key, {...existing, outcome: {kind: outcome.kind, offset: logRecord.offset}});
};

/**
 * Applies the next record. The state is mutated: it holds all keys of the retention period, too many to copy for
 * each record. `onUnreadable` is called if the record holds claims whose keys cannot be read.
 */
export const applyClaimRecord = (state: ClaimState, logRecord: LogRecord, onUnreadable?: () => void): ClaimState => {
	if (logRecord.offset < state.foldedTo) {
		return state;
	}

	const {outcomes, claims, hasUnreadableClaims} = readClaimRecord(logRecord.record);
	for (const outcome of outcomes) {
		applyOutcome(state, outcome, logRecord);
	}

	for (const claim of claims) {
		applyClaim(state, claim, logRecord);
	}

	if (hasUnreadableClaims) {
		onUnreadable?.();
	}

	return {...state, foldedTo: (logRecord.offset + 1) as LogOffset};
};

/**
 * Skips records before `earliest`, which were trimmed before they were read. Their age is unknown, except that they
 * are older than the oldest record that is left. Unknown keys are therefore unsafe until that record is older than
 * the retention period of keys.
 */
export const applyClaimTrim = (state: ClaimState, earliest: LogOffset, oldestLeftAt: number, keyRetentionMs: number): ClaimState => {
	if (earliest <= state.foldedTo) {
		return state;
	}

	return {...state, foldedTo: earliest, unsafeUntil: Math.max(state.unsafeUntil, oldestLeftAt + keyRetentionMs)};
};

/** Marks unknown keys as unsafe after a record whose claims cannot be read, until these have passed the retention period of keys. `appendedAt` is the log's time. */
export const markUnreadableClaims = (state: ClaimState, appendedAt: number, keyRetentionMs: number): ClaimState =>
	({...state, unsafeUntil: Math.max(state.unsafeUntil, appendedAt + keyRetentionMs)});

/** Deletes keys and voided claims that are older than the retention period. */
export const deleteExpiredKeys = (state: ClaimState, now: number, keyRetentionMs: number): void => {
	let count = 0;
	for (const name of state.order) {
		const existing = state.keys.get(name);
		if (existing !== undefined && now - existing.appendedAt < keyRetentionMs) {
			break;
		}

		state.keys.delete(name);
		count++;
	}

	state.order.splice(0, count);
	for (const [claimId, voidedAt] of state.voided) {
		if (now - voidedAt < keyRetentionMs) {
			break;
		}

		state.voided.delete(claimId);
	}
};
