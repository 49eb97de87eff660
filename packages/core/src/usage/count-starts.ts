/** Counts, by window of true time, the calls of each client account that backend servers began to run. */

export type UsageCounts = Readonly<Record<string, number>>;

/** Window → counts of this daemon. */
export type UsageBook = Map<number, Record<string, number>>;

/** Windows that are kept: the last whole one, the running one, and some that a late successor may still report. */
const keptWindows = 8;

export const getWindow = (trueTimeMs: number, windowMs: number): number => Math.floor(trueTimeMs / windowMs);

export const noteStart = (book: UsageBook, account: string, window: number): void => {
	const counts = book.get(window) ?? {};
	counts[account] = (counts[account] ?? 0) + 1;
	book.set(window, counts);
	for (const old of book.keys()) {
		if (old <= window - keptWindows) {
			book.delete(old);
		}
	}
};

/** The sum over daemons for one window. */
export const sumCounts = (books: Iterable<UsageCounts | undefined>): UsageCounts => {
	const sum: Record<string, number> = {};
	for (const counts of books) {
		for (const [account, count] of Object.entries(counts ?? {})) {
			sum[account] = (sum[account] ?? 0) + count;
		}
	}

	return sum;
};
