/**
 * Limits of a client account over all daemons without a central counter: each daemon fills a
 * bucket at its share of the limit, and the shares follow what callers ask of each daemon. They
 * sum to 1 as far as the daemons know of each other, so that the sum of the buckets is the limit
 * also while daemons are cut off from each other.
 */

export type AccountBucket = {
	/** Cost units that may be spent; below 0 after calls that were admitted beyond this daemon's share. */
	readonly level: number;
	/** Moment of the level, on the steady clock in milliseconds. */
	readonly at: number;
	/** Cost units asked a second, smoothed. */
	readonly demand: number;
};

/** Time in which the memory of demand falls to a third, in milliseconds. */
const demandMemoryMs = 3000;

/** A daemon that nobody has asked yet keeps this part of an even share, so that its first callers are served. */
const leastShareOfEven = 0.25;

export type ShareInput = {
	readonly ownDemand: number;
	readonly otherDemands: readonly number[];
	/** Daemons that are believed to run, this one included. */
	readonly daemons: number;
};

export const computeShare = (input: ShareInput): number => {
	const floor = leastShareOfEven / Math.max(1, input.daemons);
	const others = input.otherDemands.reduce((sum, demand) => sum + demand, 0);
	const total = input.ownDemand + others;
	const measured = total > 0 ? input.ownDemand / total : 1 / Math.max(1, input.daemons);
	// The floors of all daemons are taken off the measured part, so that the sum stays 1.
	return floor + (measured * (1 - leastShareOfEven));
};

export type AccountRate = {
	readonly perSecond: number;
	readonly burst: number;
	readonly share: number;
};

export const openBucket = (rate: AccountRate, now: number): AccountBucket => ({level: rate.burst * rate.share, at: now, demand: 0});

const refill = (bucket: AccountBucket, rate: AccountRate, now: number): AccountBucket => {
	const elapsedMs = Math.max(0, now - bucket.at);
	const level = Math.min(rate.burst * rate.share, bucket.level + (rate.perSecond * rate.share * elapsedMs / 1000));
	return {level, at: now, demand: bucket.demand * Math.exp(-elapsedMs / demandMemoryMs)};
};

export type BucketVerdict = {
	readonly bucket: AccountBucket;
	readonly isAdmitted: boolean;
	/** When the bucket has something again, on the steady clock. */
	readonly retryAt: number;
};

/**
 * Bursts that a bucket may owe after calls were admitted beyond its share. With a debt of one an
 * account that asked six times its usual ran 1.14 of what is allowed over 90 daemons: what it got in
 * the first second was not made up for within the window.
 */
const mostDebt = 4;

export type BucketCall = {
	readonly cost: number;
	/** On the steady clock, in milliseconds. */
	readonly now: number;
	/** The account is known to be far below its limit, and the bucket only keeps count. */
	readonly isOpen: boolean;
	readonly random: () => number;
};

/**
 * Whether a call is admitted. One that costs more than the bucket holds is admitted with the
 * chance of their ratio, and the bucket is empty either way: what is admitted is the level in the
 * mean. Were each daemon to overdraw by one call, 90 daemons with long prompts would exceed an
 * account's limit by a million tokens.
 */
const drawCall = (level: number, {cost, isOpen, random}: BucketCall): boolean => isOpen || level >= cost || (level > 0 && random() < level / cost);

/** Takes the cost of a call, and counts it as asked whether it is admitted or not. */
export const takeFromBucket = (bucket: AccountBucket, rate: AccountRate, call: BucketCall): BucketVerdict => {
	const {cost, now, isOpen} = call;
	const filled = refill(bucket, rate, now);
	const asked = {...filled, demand: filled.demand + (cost * 1000 / demandMemoryMs)};
	const isAdmitted = drawCall(filled.level, call);
	const perMs = Math.max(1e-6, rate.perSecond * rate.share / 1000);
	if (!isAdmitted) {
		const level = Math.min(0, filled.level);
		return {bucket: {...asked, level}, isAdmitted, retryAt: now + ((1 - level) / perMs)};
	}

	const least = isOpen ? -rate.burst * rate.share * mostDebt : 0;
	return {bucket: {...asked, level: Math.max(least, filled.level - cost)}, isAdmitted, retryAt: now};
};

/** Demand as of now, for telling the other daemons. */
export const readDemand = (bucket: AccountBucket, now: number): number => bucket.demand * Math.exp(-Math.max(0, now - bucket.at) / demandMemoryMs);
