/**
 * Decides with which rank a stream is sent when several kinds share engines. Engines serve by rank and interrupt less urgent
 * calls, so a call that yields is served whenever none that can be on time waits. It is refused only if it cannot be served by
 * its deadline.
 */

export type RankInput = {
	readonly rank: number;
	/** Rank of calls that yield. Undefined if no rank is free for them. */
	readonly yieldingRank: number | undefined;
	/** Predicted time to the first event with the call's own rank, in milliseconds. */
	readonly predictedMs: number;
	/** `targetAt` and `now` are times on the steady clock, in milliseconds. */
	readonly targetAt: number;
	readonly now: number;
	/** Whether the call is beyond what its client account usually sends. */
	readonly isExcess: boolean;
};

/** Share of the remaining time that calls beyond their account's usual traffic may wait without yielding. With longer queues, other calls may become late. */
const maxExcessWaitShare = 0.5;

export type RankDecision = {
	readonly rank: number;
	/** Why the call yields. Undefined if it does not. */
	readonly reason: 'late' | 'account' | undefined;
};

export const decideRank = ({rank, yieldingRank, predictedMs, targetAt, now, isExcess}: RankInput): RankDecision => {
	const remainingMs = targetAt - now;
	if (yieldingRank === undefined || rank >= yieldingRank || predictedMs <= remainingMs * (isExcess ? maxExcessWaitShare : 1)) {
		return {rank, reason: undefined};
	}

	return {rank: yieldingRank, reason: predictedMs > remainingMs ? 'late' : 'account'};
};
