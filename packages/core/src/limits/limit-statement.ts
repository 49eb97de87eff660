/** What backend servers state about their limits, and which of two statements is the newer one. */

export type LimitStatement = {
	/** Calls per second that the backend server takes from all daemons together. Undefined if it states no limit any more. */
	readonly perSecond: number | undefined;
	/** When the call was sent whose answer contained the statement, in true time in milliseconds. */
	readonly statedAt: number;
};

/**
 * Whether the statement replaces the known one. Answers overtake each other, so the order of the calls decides.
 * `toleranceMs` is how much the clocks of two daemons may differ: a peer must be newer by more than that to raise or end a limit.
 */
export const isNewerStatement = (statement: LimitStatement, known: LimitStatement | undefined, toleranceMs = 0): boolean => {
	if (known === undefined) {
		return statement.perSecond !== undefined;
	}

	const isStricter = (statement.perSecond ?? Infinity) < (known.perSecond ?? Infinity);
	return statement.statedAt >= known.statedAt + (isStricter ? 0 : toleranceMs);
};
