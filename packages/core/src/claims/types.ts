import {type Claim, type Outcome} from '@shallotpass/common/log-records.js';
import {type LogOffset} from '@shallotpass/common/types.js';

/** What the log says of one key. The answer itself stays in the log, found by its offset. */
export type KeyRecord = {
	readonly claim: Claim;
	/** Offset of the winning claim; also its fencing number. */
	readonly offset: LogOffset;
	readonly appendedAt: number;
	readonly outcome?: {readonly kind: Outcome['kind']; readonly offset: LogOffset};
};

export type ClaimState = {
	/** Offset of the next record to read. */
	readonly foldedTo: LogOffset;
	readonly keys: Map<string, KeyRecord>;
	/** Keys in the order in which they were claimed, for forgetting. */
	readonly order: string[];
	/**
	 * Claims that were declared unsent before they stood in the log, and when: an append
	 * whose owner gave it up can still take effect, and must not hold the key then.
	 */
	readonly voided: Map<string, number>;
	/**
	 * Records younger than the key memory were trimmed before they were read:
	 * until then a key may have been used without this daemon knowing.
	 */
	readonly unsafeUntil: number;
};

/** What a caller's claim has come to. */
export type ClaimVerdict =
	| {readonly kind: 'won'; readonly fencing: LogOffset}
	| {readonly kind: 'reused'}
	| {readonly kind: 'answered'; readonly outcomeOffset: LogOffset}
	| {readonly kind: 'answered_not_kept'}
	| {readonly kind: 'running'; readonly claim: Claim}
	| {readonly kind: 'unknown'}
	| {readonly kind: 'unsafe'; readonly until: number}
	| {readonly kind: 'absent'};
