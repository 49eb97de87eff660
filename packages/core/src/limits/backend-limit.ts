/** The limit of one backend server at one daemon: what was stated, the daemon's bucket of calls, and the slow start after the limit's end. */
import {type LimitStatement} from './limit-statement.js';
import {type Holding, planSharing} from './plan-sharing.js';

export type BackendLimit = {
	readonly statement: LimitStatement;
	/** When the newest statement became known, on the steady clock in milliseconds. */
	readonly confirmedAt: number;
	/** Since when the limit holds, on the steady clock. */
	readonly limitedSince: number;
	/** Calls that this daemon may send as of `at`, negative if it has sent more. */
	readonly level: number;
	readonly at: number;
	/** Whether this daemon has held a share since the limit was stated. */
	readonly hasHeld: boolean;
	/** Undefined while a limit is stated. */
	readonly slowStart: {readonly since: number; readonly fromPerSecond: number} | undefined;
};

/** Calls per second of all daemons with which a slow start begins at least. */
const minSlowStartPerSecond = 2;

/** Time in which the rate of a slow start doubles, and its length. */
const slowStartDoublingMs = 150;
const slowStartMs = 1000;

/** Time whose calls may be sent at once during a slow start. */
const slowStartBurstMs = 200;

/**
 * Returns the limit after a newer statement. A daemon that learns a limit has no calls in its bucket yet. One that learns its end begins with a
 * random part of a call: buckets of hundreds of daemons that began alike would be empty for the whole slow start.
 */
export const applyStatement = (limit: BackendLimit | undefined, statement: LimitStatement, {now, random}: {readonly now: number; readonly random: () => number}): BackendLimit => {
	const confirmed = {statement, confirmedAt: now};
	if (statement.perSecond !== undefined) {
		return limit?.statement.perSecond === undefined
			? {
				...confirmed, limitedSince: now, level: 0, at: now, hasHeld: false, slowStart: undefined,
			}
			: {...limit, ...confirmed};
	}

	if (limit?.statement.perSecond === undefined) {
		return {
			limitedSince: now, level: 0, at: now, hasHeld: false, slowStart: undefined, ...limit, ...confirmed,
		};
	}

	return {
		...limit, ...confirmed, level: Math.min(limit.level, 0) + random(), at: now, slowStart: {since: now, fromPerSecond: Math.max(minSlowStartPerSecond, limit.statement.perSecond)},
	};
};

/** Whether calls are still limited, by the stated limit or by the slow start after it. */
export const isLimited = ({statement, slowStart}: BackendLimit, now: number): boolean =>
	statement.perSecond !== undefined || (slowStart !== undefined && now < slowStart.since + slowStartMs);

export type LimitRefill = {
	readonly perMs: number;
	/** Capacity of the bucket. */
	readonly most: number;
};

export type RefillInput = {
	readonly holding: Holding;
	/** Number of daemons that share a slow start. */
	readonly daemons: number;
	readonly now: number;
};

/** Computes the refill of the daemon's bucket. The capacities of all daemons sum to the burst of the plan. */
export const computeRefill = (limit: BackendLimit, {holding, daemons, now}: RefillInput): LimitRefill => {
	const {perSecond} = limit.statement;
	if (perSecond === undefined) {
		const since = limit.slowStart?.since ?? now;
		const rate = (limit.slowStart?.fromPerSecond ?? minSlowStartPerSecond) * (2 ** ((now - since) / slowStartDoublingMs));
		const perMs = rate / Math.max(1, daemons) / 1000;
		return {perMs, most: Math.max(1, perMs * slowStartBurstMs)};
	}

	if (holding.share === 0) {
		return {perMs: 0, most: 0};
	}

	const {ratePerSecond, burst} = planSharing(perSecond);
	return {perMs: ratePerSecond * holding.share / 1000, most: 1 + (holding.share * (burst - holding.holders))};
};

/** Time after a limit was stated in which its first holders spread their calls. */
const spreadWithinMs = 5000;

/** Returns the part of a call with which a first holder begins. Buckets that began alike would let all holders send at once, and then none for seconds. */
const getFirstLevel = (limit: BackendLimit, {share, holders, position}: Holding, now: number): number => {
	const isFirstHolding = !limit.hasHeld && share > 0 && now < limit.limitedSince + spreadWithinMs;
	return isFirstHolding ? (holders - 1 - position) / holders : 0;
};

/** Fills the bucket up to now. To be called whenever the share changes. */
export const refillLimit = (limit: BackendLimit, refill: LimitRefill, {holding, now}: Pick<RefillInput, 'holding' | 'now'>): BackendLimit => {
	const filled = limit.level + getFirstLevel(limit, holding, now) + (refill.perMs * Math.max(0, now - limit.at));
	return {
		...limit, level: Math.min(refill.most, filled), at: now, hasHeld: limit.hasHeld || holding.share > 0,
	};
};

/** Calls that a daemon can owe at most. Older ones no longer matter to the backend server. */
const maxOwedCalls = 4;

/** Counts a call that is sent. */
export const takeCall = (limit: BackendLimit): BackendLimit => ({...limit, level: Math.max(-maxOwedCalls, limit.level - 1)});

/** Gives back a call that was counted and then certainly not sent. */
export const returnCall = (limit: BackendLimit): BackendLimit => ({...limit, level: limit.level + 1});

/** Level that a call needs. A run that has started may owe a call, as it would be lost otherwise. */
export const computeNeededLevel = ({most}: LimitRefill, {hasStarted, moreUrgentRanks}: {readonly hasStarted: boolean; readonly moreUrgentRanks: number}): number => {
	if (hasStarted) {
		return 0;
	}

	// Calls of less urgent ranks leave what is in the bucket to more urgent ones.
	return 1 + (Math.max(0, most - 1) * Math.min(1, moreUrgentRanks / 2));
};

/** Estimates the time until a call of this need may be sent, in milliseconds. Undefined if the daemon holds no share. */
export const estimateLimitWait = ({level}: BackendLimit, {perMs}: LimitRefill, needed: number): number | undefined =>
	perMs === 0 ? undefined : Math.max(0, needed - level) / perMs;

/** Whether the bucket is so full that a share of the limit is about to be lost. */
export const isAlmostFull = ({statement, level}: BackendLimit, {most}: LimitRefill): boolean =>
	statement.perSecond !== undefined && most > 0 && level >= Math.max(1, most - 0.25);

/** Age of the last statement after which holders prefer the backend server for a call, to learn whether the limit still holds. */
const askAfterMs = 1000;

/** Additional wait that is accepted to learn whether a limit still holds, for each millisecond since the last statement. It grows more slowly than the penalty of silence. */
const preferencePerMs = 1.5;

export const isConfirmationDue = (limit: BackendLimit, now: number): boolean =>
	limit.statement.perSecond !== undefined && now >= limit.confirmedAt + askAfterMs;

/**
 * Computes the additional wait that is accepted to learn whether a limit still holds, in milliseconds. Without a call, what made the
 * backend server seem slow would never be measured again, so in time it outweighs any estimate.
 */
export const computeConfirmationPreference = (limit: BackendLimit, now: number): number =>
	isConfirmationDue(limit, now) ? (now - limit.confirmedAt) * preferencePerMs : 0;
