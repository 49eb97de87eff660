/**
 * Limits repeated attempts across all daemons. Within a window, each daemon repeats at most a
 * fraction of the calls that it received, plus its part of a fixed slack. All daemons together
 * thus stay within the limit without exchanging messages.
 */

export type RepeatAllowance = {
	/** Times of the received calls, oldest first, on the steady clock. */
	readonly calls: number[];
	/** Times of the repeated attempts, oldest first, on the steady clock. */
	readonly repeats: number[];
};

export type RepeatLimit = {
	readonly ratio: number;
	readonly slack: number;
	readonly windowMs: number;
	readonly daemons: number;
};

export const makeRepeatAllowance = (): RepeatAllowance => ({calls: [], repeats: []});

/** Share of the ratio and the slack that is used. The rest is for daemons that are not known yet. */
const usedShare = 0.7;

const dropExpired = (timestamps: number[], windowStart: number): void => {
	const firstKept = timestamps.findIndex(timestamp => timestamp >= windowStart);
	timestamps.splice(0, firstKept === -1 ? timestamps.length : firstKept);
};

export const recordCall = (allowance: RepeatAllowance, limit: RepeatLimit, now: number): void => {
	allowance.calls.push(now);
	// Scanning the list on every call would cost as much as the call itself.
	if (allowance.calls.length % 64 === 0) {
		dropExpired(allowance.calls, now - limit.windowMs);
	}
};

/** Takes one repeat from the allowance. Returns false if none is left in the window. */
export const takeRepeat = (allowance: RepeatAllowance, limit: RepeatLimit, now: number): boolean => {
	dropExpired(allowance.calls, now - limit.windowMs);
	dropExpired(allowance.repeats, now - limit.windowMs);
	const maxRepeats = (limit.ratio * allowance.calls.length * usedShare) + (limit.slack * usedShare / Math.max(1, limit.daemons));
	if (allowance.repeats.length + 1 > maxRepeats) {
		return false;
	}

	allowance.repeats.push(now);
	return true;
};
