import {
	canRetry, earnRetry, fullRetryBudget, spendRetry, type RetryBudget,
} from '@shallotpass/core/retries/retry-budget.js';

/** Retry budgets by service and client account, so that failures of one account do not use up the retries of another. */
export type RetryBudgets = {
	/** Adds to the budget. Call it once for each request. */
	readonly earn: (name: string) => void;
	/** Spends one retry; returns false if none is left. */
	readonly takeRetry: (name: string) => boolean;
};

export const makeRetryBudgets = (): RetryBudgets => {
	const budgets = new Map<string, RetryBudget>();
	const get = (name: string): RetryBudget => budgets.get(name) ?? fullRetryBudget;
	return {
		earn(name) {
			budgets.set(name, earnRetry(get(name)));
		},
		takeRetry(name) {
			const budget = get(name);
			if (!canRetry(budget)) {
				return false;
			}

			budgets.set(name, spendRetry(budget));
			return true;
		},
	};
};
