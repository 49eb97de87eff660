/** Request and token rate limits of client accounts. Each limit stores a single timestamp. */

export type RateLimit = {
	readonly perSecond: number;
	/** Amount that may be used at once. */
	readonly burst: number;
};

export type RateDecision = {
	/** State to store: the GCRA theoretical arrival time, in milliseconds. */
	readonly theoreticalArrivalAt: number;
	readonly isAllowed: boolean;
	/** Time at which the same amount would be allowed; `now` if it is allowed already. */
	readonly retryAt: number;
};

/** Generic cell rate algorithm (GCRA) in its virtual scheduling form: exact, with one number of state per account. */
export const limitRate = (theoreticalArrivalAt: number, amount: number, now: number, limit: RateLimit): RateDecision => {
	const cost = (amount / limit.perSecond) * 1000;
	const tolerance = (limit.burst / limit.perSecond) * 1000;
	const start = Math.max(theoreticalArrivalAt, now);
	const isAllowed = start + cost - now <= Math.max(tolerance, cost);
	return {
		theoreticalArrivalAt: isAllowed ? start + cost : theoreticalArrivalAt,
		isAllowed,
		retryAt: isAllowed ? now : start + cost - Math.max(tolerance, cost),
	};
};

/**
 * Returns the part of a limit that one daemon may grant. The platform's load balancer spreads
 * callers evenly enough over the daemons. A partitioned daemon keeps using the last member count
 * that it knew.
 */
export const computeLimitShare = (limit: number, memberCount: number): number => limit / Math.max(1, memberCount);
