/** Tracks outages of the store as one daemon sees them: an outage of the store itself, or of the way to it. */

/**
 * Time after the store is reachable again within which every running backend server has rewritten its
 * entry, which it does every 1.2 s.
 */
export const entryRewriteMs = 1700;

/**
 * Share of `stableMs` after the end of an outage for which missing entries are kept at most. The bounds hold again when
 * `stableMs` have passed, and peers learn of the end of the grace period by then as well.
 */
const graceShareOfStable = 0.92;

export type OutageTracker = {
	/** Records that a call is sent to the store. */
	readonly recordCall: () => void;
	/** Records that the call failed. Returns whether an outage begins. */
	readonly recordFailure: () => boolean;
	/** Records an answer. Returns whether an outage ends. */
	readonly recordAnswer: () => boolean;
	/** When the latest failed call failed, on the steady clock. */
	readonly getFailedAt: () => number;
	/** Returns until when entries may be missing only because of the outage that has just ended. It did so after the latest failed call was sent. */
	readonly getGraceEnd: () => number;
};

export const makeOutageTracker = ({now, getStableMs}: {readonly now: () => number; readonly getStableMs: () => number}): OutageTracker => {
	let isOutage = false;
	let calledAt = Number.NEGATIVE_INFINITY;
	let failedCallAt = Number.NEGATIVE_INFINITY;
	let failedAt = Number.NEGATIVE_INFINITY;
	return {
		recordCall() {
			calledAt = now();
		},
		recordFailure() {
			const begins = !isOutage;
			failedCallAt = calledAt;
			failedAt = now();
			isOutage = true;
			return begins;
		},
		recordAnswer() {
			const ends = isOutage;
			isOutage = false;
			return ends;
		},
		getFailedAt: () => failedAt,
		getGraceEnd: () => Math.max(now(), Math.min(now() + entryRewriteMs, failedCallAt + (graceShareOfStable * getStableMs()))),
	};
};
