/**
 * Limits retries across all daemons. Within a window, each daemon retries at most a
 * fraction of the calls that it received, plus its part of a fixed slack. All daemons together
 * thus stay within the limit without exchanging messages.
 */

export type RetryAllowance = {
	/** Times of the received calls, oldest first, on the steady clock. */
	readonly calls: number[];
	/** Times of the retries, oldest first, on the steady clock. */
	readonly retries: number[];
};

export type RetryLimit = {
	/** Retries as a fraction of the calls within the window. */
	readonly ratio: number;
	/** Additional retries within the window, over all daemons. */
	readonly slack: number;
	readonly windowMs: number;
	/** Number of daemons that share the slack. */
	readonly daemons: number;
};

export const makeRetryAllowance = (): RetryAllowance => ({calls: [], retries: []});

/** Share of the ratio and the slack that is used. The rest is for daemons that are not known yet. */
const usedShare = 0.7;

const dropExpired = (timestamps: number[], windowStart: number): void => {
	const firstKept = timestamps.findIndex(timestamp => timestamp >= windowStart);
	timestamps.splice(0, firstKept === -1 ? timestamps.length : firstKept);
};

export const recordCall = (allowance: RetryAllowance, limit: RetryLimit, now: number): void => {
	allowance.calls.push(now);
	// Scanning the list on every call would cost as much as the call itself.
	if (allowance.calls.length % 64 === 0) {
		dropExpired(allowance.calls, now - limit.windowMs);
	}
};

/** Takes one retry from the allowance. Returns false if none is left in the window. */
export const takeFromRetryAllowance = (allowance: RetryAllowance, limit: RetryLimit, now: number): boolean => {
	dropExpired(allowance.calls, now - limit.windowMs);
	dropExpired(allowance.retries, now - limit.windowMs);
	const maxRetries = (limit.ratio * allowance.calls.length * usedShare) + (limit.slack * usedShare / Math.max(1, limit.daemons));
	if (allowance.retries.length + 1 > maxRetries) {
		return false;
	}

	allowance.retries.push(now);
	return true;
};
