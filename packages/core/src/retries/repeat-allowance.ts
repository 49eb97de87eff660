/**
 * Limits second tries over all daemons: in any window each daemon repeats at most a share of the
 * calls that it got itself, plus its part of a fixed slack. The sums over all daemons then keep
 * the limit with no message between them.
 */

export type RepeatAllowance = {
	/** Moments of calls and of repeats, the oldest first, on the steady clock. */
	readonly calls: number[];
	readonly repeats: number[];
};

export type RepeatLimit = {
	readonly ratio: number;
	readonly slack: number;
	readonly windowMs: number;
	readonly daemons: number;
};

export const emptyAllowance = (): RepeatAllowance => ({calls: [], repeats: []});

/** Part of the slack that is used; the rest covers daemons that are not known of yet. */
const usedSlack = 0.7;

const dropOlder = (moments: number[], since: number): void => {
	const kept = moments.findIndex(moment => moment >= since);
	moments.splice(0, kept === -1 ? moments.length : kept);
};

export const noteCall = (allowance: RepeatAllowance, limit: RepeatLimit, now: number): void => {
	allowance.calls.push(now);
	// A look through the line at each call would cost as much as the call itself.
	if (allowance.calls.length % 64 === 0) {
		dropOlder(allowance.calls, now - limit.windowMs);
	}
};

/** Takes one repeat; false when the window has none left. */
export const takeRepeat = (allowance: RepeatAllowance, limit: RepeatLimit, now: number): boolean => {
	dropOlder(allowance.calls, now - limit.windowMs);
	dropOlder(allowance.repeats, now - limit.windowMs);
	const most = (limit.ratio * allowance.calls.length * usedSlack) + (limit.slack * usedSlack / Math.max(1, limit.daemons));
	if (allowance.repeats.length + 1 > most) {
		return false;
	}

	allowance.repeats.push(now);
	return true;
};
