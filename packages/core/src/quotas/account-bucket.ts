/** Token bucket for one client account on one daemon. It refills with the daemon's share of the account's remaining budget. */
import {type BucketRefill} from './account-budget.js';

export type AccountBucket = {
	/** Cost units that may be spent. */
	readonly level: number;
	/** Time of the level, on the steady clock in milliseconds. */
	readonly at: number;
	/** Requested cost units per second, smoothed. */
	readonly demand: number;
};

/** Time constant of the exponential decay of the demand. */
const demandDecayMs = 1000;

export const makeBucket = (now: number): AccountBucket => ({level: 0, at: now, demand: 0});

/** Returns the demand decayed to the given time, for reports to the other daemons. */
export const computeDemand = (bucket: AccountBucket, now: number): number => bucket.demand * Math.exp(-Math.max(0, now - bucket.at) / demandDecayMs);

/** Adds a requested cost to the demand, whether or not the call is admitted. */
export const recordDemand = (bucket: AccountBucket, cost: number, now: number): AccountBucket => ({
	...bucket, demand: computeDemand(bucket, now) + (cost * 1000 / demandDecayMs),
});

export type BucketRequest = {
	readonly cost: number;
	/** On the steady clock, in milliseconds. */
	readonly now: number;
	/** Whether the account is far below its limit, so that the call is admitted regardless of the level. */
	readonly isUnrestricted: boolean;
	readonly refill: BucketRefill;
	readonly random: () => number;
};

export type BucketDecision = {
	readonly bucket: AccountBucket;
	readonly isAdmitted: boolean;
};

/**
 * Deducts the cost of a call. A call that costs more than the level is admitted with the
 * probability `level / cost`, and the bucket is emptied either way, so the mean admitted cost
 * equals the level. If each daemon could overdraw its bucket by one call instead, 90 daemons with
 * long prompts would exceed the limit of an account by a million tokens.
 */
export const takeFromBucket = (bucket: AccountBucket, {cost, now, isUnrestricted, refill, random}: BucketRequest): BucketDecision => {
	const refilledLevel = bucket.level + (refill.perMs * Math.max(0, now - bucket.at));
	const level = Math.min(refill.most, refilledLevel);
	const isAdmitted = isUnrestricted || level >= cost || (level > 0 && random() < level / cost);
	return {bucket: {level: Math.max(0, level - cost), at: now, demand: computeDemand(bucket, now)}, isAdmitted};
};
