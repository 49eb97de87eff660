/** Maximum cost that a client account may spend within the quota window, across all daemons. */
import {type AccountLimit} from '../calls/serving-configuration.js';

export type LimitBounds = {
	readonly quotaWindowMs: number;
	/** Fraction by which a limit may be exceeded. */
	readonly quotaOvershoot: number;
	/** Cost units by which a token limit may be exceeded in addition. */
	readonly quotaSlack: number;
};

/** Part of the ceiling that daemons grant. The rest covers clocks that differ, by which grants leave the window early. */
const usablePart = 0.95;

/** The same for small calls, so that the long prompts of an account do not block its cheap calls. */
const usablePartForSmallCalls = 0.98;

/** Calls that cost at most this part of the ceiling count as small. */
const smallCallPart = 1 / 2000;

/** Part of the ceiling that each rank below the most urgent one reserves for more urgent calls. */
const reservedPartPerRank = 0.05;

/** Number of ranks up to which the reserve grows. */
const maxReservingRanks = 3;

/** Computes the cost that the account must not exceed within the window. */
export const computeCeiling = (limit: AccountLimit, bounds: LimitBounds): number => {
	const allowance = (limit.perSecond * bounds.quotaWindowMs / 1000) + limit.burst;
	return (allowance * (1 + bounds.quotaOvershoot)) + (limit.countsTokens ? bounds.quotaSlack : 0);
};

export type LimitedCall = {
	readonly cost: number;
	/** 0 is the most urgent. */
	readonly rank: number;
};

/**
 * Computes the maximum that daemons grant for a call of this cost and rank. When an account
 * exceeds its limit, its least urgent calls are rejected first.
 */
export const computeUsable = (limit: AccountLimit, bounds: LimitBounds, {cost, rank}: LimitedCall): number => {
	const ceiling = computeCeiling(limit, bounds);
	if (cost <= ceiling * smallCallPart) {
		return ceiling * usablePartForSmallCalls;
	}

	return ceiling * (usablePart - (Math.min(rank, maxReservingRanks) * reservedPartPerRank));
};

/** Computes the maximum that daemons grant for any call. */
export const computeMaxUsable = (limit: AccountLimit, bounds: LimitBounds): number => computeUsable(limit, bounds, {cost: Infinity, rank: 0});
