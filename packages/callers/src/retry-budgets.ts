import {
	canRetry, earnRetry, fullRetryBudget, spendRetry, type RetryBudget,
} from '@shallotpass/core/retries/retry-budget.js';

/** Retry budgets by service and account, so that one account's trouble does not use up another's retries. */
export type RetryBudgets = {
	readonly earn: (name: string) => void;
	/** Spends a retry; false when there is none left. */
	readonly trySpend: (name: string) => boolean;
};

export const makeRetryBudgets = (): RetryBudgets => {
	const budgets = new Map<string, RetryBudget>();
	const get = (name: string): RetryBudget => budgets.get(name) ?? fullRetryBudget;
	return {
		earn(name) {
			budgets.set(name, earnRetry(get(name)));
		},
		trySpend(name) {
			const budget = get(name);
			if (!canRetry(budget)) {
				return false;
			}

			budgets.set(name, spendRetry(budget));
			return true;
		},
	};
};
