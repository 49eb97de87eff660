/** Retry budget: limits retries to a small fraction of the requests, so that an outage does not multiply the load. */

export type RetryBudget = {
	readonly tokens: number;
};

/** Retry tokens added per request. A retry costs one token. */
const tokensPerRequest = 0.1;

/** Maximum number of retries that can be accumulated for a burst. */
const maxTokens = 20;

export const fullRetryBudget: RetryBudget = {tokens: maxTokens};

export const earnRetry = (budget: RetryBudget): RetryBudget => ({tokens: Math.min(maxTokens, budget.tokens + tokensPerRequest)});

export const canRetry = (budget: RetryBudget): boolean => budget.tokens >= 1;

export const spendRetry = (budget: RetryBudget): RetryBudget => ({tokens: Math.max(0, budget.tokens - 1)});

const initialBackoffMs = 20;
const maxBackoffMs = 2000;

/** Computes when the next attempt may start: exponential backoff with full jitter; `retry` is 0 for the first retry. */
export const computeBackoff = (now: number, retry: number, random: () => number): number =>
	now + (random() * Math.min(maxBackoffMs, initialBackoffMs * (2 ** retry)));
