/** Request and token limits of client accounts, as one stored moment each. */

export type RateLimit = {
	readonly perSecond: number;
	/** How much may be used at once. */
	readonly burst: number;
};

export type RateDecision = {
	/** State to keep: the moment at which the account's past use is paid off. */
	readonly paidAt: number;
	readonly isAllowed: boolean;
	/** When the same amount would be allowed, if it is not now. */
	readonly retryAt: number;
};

/** Virtual scheduling (GCRA): exact, and one number of state for each account. */
export const limitRate = (paidAt: number, amount: number, now: number, limit: RateLimit): RateDecision => {
	const cost = (amount / limit.perSecond) * 1000;
	const tolerance = (limit.burst / limit.perSecond) * 1000;
	const start = Math.max(paidAt, now);
	const isAllowed = start + cost - now <= Math.max(tolerance, cost);
	return {
		paidAt: isAllowed ? start + cost : paidAt,
		isAllowed,
		retryAt: isAllowed ? now : start + cost - Math.max(tolerance, cost),
	};
};

/**
 * The share of a limit that one daemon may give out. Callers reach daemons
 * through the platform's balancer, so use spreads evenly enough; a daemon cut
 * off from the others keeps to the share of the last members it saw.
 */
export const shareLimit = (limit: number, members: number): number => limit / Math.max(1, members);
