/**
 * Enforces the limits of a client account across all daemons without a central counter. Each
 * daemon reports several times a second what the account spent on it, and may spend its share of
 * the remaining budget. The shares follow the demand on each daemon and sum to 1. Unreported
 * spending is small compared to the remaining budget, so the total stays below the ceiling
 * regardless of demand.
 */

/** Spending of one account as known to a daemon when it decides on a call. Costs are in cost units. */
export type SpendingView = {
	/** Maximum that all daemons together may grant within the window. */
	readonly usable: number;
	/** Length of the window, in milliseconds. */
	readonly windowMs: number;
	/** Spent within the window, as reported by all daemons and including what was spent before the running daemons started. */
	readonly spent: number;
	/** Cost units per second requested from this daemon. */
	readonly ownDemand: number;
	/** Cost units per second requested from each other daemon, according to its last report. */
	readonly otherDemands: readonly number[];
	/** Number of daemons whose reports arrive, including this one. */
	readonly reportingDaemons: number;
	/** Number of daemons that ran recently but whose reports no longer arrive. They may spend without this daemon's knowledge. */
	readonly silentDaemons: number;
	/** Time until all other daemons know what a daemon has spent, in milliseconds. */
	readonly gossipDelayMs: number;
};

/** Minimum share of a daemon as a fraction of an equal share, so that a daemon without demand can serve its first callers. */
const minShareFactor = 0.25;

/**
 * Part of the remaining budget that all daemons together may spend within one gossip delay. With a
 * value of 1 they would exceed the budget by a quarter.
 */
const spendablePartPerGossipDelay = 0.5;

/** Part of the remaining budget up to which calls are admitted without their bucket. */
const unrestrictedPart = 0.6;

/** Weight of the other daemons' unreported spending, because their demand may have grown since their last report. */
const unreportedWeight = 2;

/** Part of the remaining budget that the buckets of all daemons together may hold for bursts. */
const burstPart = 0.25;

const sum = (amounts: readonly number[]): number => amounts.reduce((total, amount) => total + amount, 0);

export type ShareInput = Pick<SpendingView, 'ownDemand' | 'otherDemands'> & {
	/** Number of daemons that are assumed to run, including this one. */
	readonly daemons: number;
};

/** Computes this daemon's share of the remaining budget. */
export const computeShare = (input: ShareInput): number => {
	const minShare = minShareFactor / Math.max(1, input.daemons);
	const total = input.ownDemand + sum(input.otherDemands);
	const measured = total > 0 ? input.ownDemand / total : 1 / Math.max(1, input.daemons);
	// The measured part is reduced by the minimum shares of all daemons, so that the shares sum to 1.
	return minShare + (measured * (1 - minShareFactor));
};

/**
 * Computes the cost units that the reporting daemons may still spend, negative if the budget is
 * exceeded. While other daemons are silent, their part of the budget is left to them.
 */
export const computeRemainingBudget = ({usable, spent, reportingDaemons, silentDaemons}: SpendingView): number => {
	const reportingPart = reportingDaemons / (reportingDaemons + silentDaemons);
	return (usable * reportingPart) - spent;
};

/** Whether the remaining budget covers the call and the spending of other daemons that is not reported yet. */
export const hasBudget = (view: SpendingView, cost: number): boolean => {
	const unreported = sum(view.otherDemands) * view.gossipDelayMs / 1000;
	return cost + (unreported * unreportedWeight) <= computeRemainingBudget(view) * unrestrictedPart;
};

export type BucketRefill = {
	/** Capacity of this daemon's bucket, in cost units. */
	readonly most: number;
	/** Cost units added to the bucket per millisecond. */
	readonly perMs: number;
};

/** Computes the capacity and refill rate of this daemon's bucket from its share of the remaining budget. */
export const computeBucketRefill = (view: SpendingView): BucketRefill => {
	const remaining = Math.max(0, computeRemainingBudget(view));
	const share = computeShare({...view, daemons: view.reportingDaemons});
	return {most: remaining * share * burstPart, perMs: remaining * share * spendablePartPerGossipDelay / view.gossipDelayMs};
};

/**
 * Estimates the time until a call of this cost is likely to be admitted, in milliseconds: until
 * enough spending has left the window for the call and for the other demand.
 */
export const estimateWait = (view: SpendingView, cost: number): number => {
	const share = computeShare({...view, daemons: view.reportingDaemons});
	const shortfall = Math.max(0, -computeRemainingBudget(view)) + (cost / share);
	return Math.min(view.windowMs, shortfall * view.windowMs / Math.max(1, view.spent));
};
