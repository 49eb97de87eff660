/** Keeps retries a small part of the work, so that an outage does not multiply load. */

export type RetryBudget = {
	readonly tokens: number;
};

/** Each request earns a tenth of a retry. */
const earnedPerRequest = 0.1;

/** Retries that may be saved up for a burst. */
const mostSaved = 20;

export const fullRetryBudget: RetryBudget = {tokens: mostSaved};

export const earnRetry = (budget: RetryBudget): RetryBudget => ({tokens: Math.min(mostSaved, budget.tokens + earnedPerRequest)});

export const canRetry = (budget: RetryBudget): boolean => budget.tokens >= 1;

export const spendRetry = (budget: RetryBudget): RetryBudget => ({tokens: Math.max(0, budget.tokens - 1)});

const firstBackoffMs = 20;
const longestBackoffMs = 2000;

/** When the next try may start: exponential with full jitter, from 0 for the first retry. */
export const computeBackoff = (now: number, retry: number, random: () => number): number =>
	now + (random() * Math.min(longestBackoffMs, firstBackoffMs * (2 ** retry)));
