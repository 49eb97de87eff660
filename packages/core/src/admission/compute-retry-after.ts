/** Early rejection under overload: detects calls that even the best backend server cannot answer by their deadline. */

/** A deadline counts as unreachable if the prediction exceeds this multiple of the remaining time. The margin allows for prediction errors. */
const unreachableFactor = 1.5;

/** Share of the remaining time after which the caller may retry. It leaves enough time for another attempt. */
const retryAfterShare = 0.25;

export type DeadlinePrediction = {
	/** Predicted time to first byte on the best backend server, in milliseconds. */
	readonly predictedMs: number;
	/** `deadline` and `now` are times on the steady clock, in milliseconds. */
	readonly deadline: number;
	readonly now: number;
	readonly random: () => number;
	/** Whether callers are spread over the time in which the queued work is done. */
	readonly isSpread?: boolean;
};

/** Share of the remaining time over which callers are spread at most. A later attempt would have no time left. */
const maxSpreadShare = 0.5;

/** Returns the retry delay in seconds for a call that cannot be answered by its deadline, or undefined if it may be. */
export const computeRetryAfter = ({predictedMs, deadline, now, random, isSpread = false}: DeadlinePrediction): number | undefined => {
	const remainingMs = deadline - now;
	if (predictedMs <= remainingMs * unreachableFactor) {
		return undefined;
	}

	// Jitter keeps rejected callers from all retrying at the same time and waiting in the same queue.
	const position = random();
	const usefulMs = Math.max(0, remainingMs);
	const spreadMs = isSpread ? Math.min(predictedMs - (remainingMs * unreachableFactor), usefulMs * maxSpreadShare) : 0;
	return ((usefulMs * retryAfterShare * (0.75 + (position / 2))) + (spreadMs * position)) / 1000;
};
