import {type Claim, type Outcome} from '@shallotpass/common/log-records.js';
import {type LogOffset} from '@shallotpass/common/types.js';

/** State of one idempotency key. The answer itself stays in the log and is read by its offset. */
export type KeyRecord = {
	readonly claim: Claim;
	/** Offset of the winning claim, which is also its fencing token. */
	readonly offset: LogOffset;
	readonly appendedAt: number;
	readonly outcome?: {readonly kind: Outcome['kind']; readonly offset: LogOffset};
};

export type ClaimState = {
	/** Offset of the next record to read. */
	readonly foldedTo: LogOffset;
	readonly keys: Map<string, KeyRecord>;
	/** Names of keys in the order in which they were first claimed, used to delete the oldest. */
	readonly order: string[];
	/**
	 * Ids of claims that were declared unsent before they appeared in the log, with the time. The append of such a claim
	 * can still take effect after its owner gave up on it, and must not reserve the key then.
	 */
	readonly voided: Map<string, number>;
	/**
	 * Set when records within the retention period were trimmed before they were read, or hold claims that cannot be read. Until this time, an unknown key
	 * may have been used without this daemon knowing.
	 */
	readonly unsafeUntil: number;
};

/** Decision on a caller's claim. */
export type ClaimDecision =
	| {readonly kind: 'won'; readonly fencing: LogOffset}
	| {readonly kind: 'reused'}
	| {readonly kind: 'answered'; readonly outcomeOffset: LogOffset}
	| {readonly kind: 'answered_not_kept'}
	| {readonly kind: 'running'; readonly claim: Claim}
	| {readonly kind: 'unknown'}
	| {readonly kind: 'unsafe'; readonly until: number}
	| {readonly kind: 'absent'};
