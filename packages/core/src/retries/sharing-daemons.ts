/** Counts the daemons among which the slack of the retry limit is divided: the most that shared it within the window. */

type DaemonCount = {
	/** On the steady clock, in milliseconds. */
	readonly at: number;
	readonly daemons: number;
};

/** Counts of the window that no later one exceeds, oldest first, so that the first is the largest. */
export type DaemonCounts = readonly DaemonCount[];

/** Adds a count. Those that have left the window are dropped. Returns the same list if nothing changes. */
export const recordDaemonCount = (counts: DaemonCounts, daemons: number, now: number, windowMs: number): DaemonCounts => {
	const isCurrent = counts.at(-1)?.daemons === daemons && counts[0]!.at >= now - windowMs;
	if (isCurrent && counts.at(-1)!.at > now - (windowMs / 10)) {
		return counts;
	}

	return [...counts.filter(count => count.at >= now - windowMs && count.daemons > daemons), {at: now, daemons}];
};

/** Returns the most daemons within the window. What ended ones have used of the slack still counts there. */
export const getMostDaemons = (counts: DaemonCounts): number => counts[0]?.daemons ?? 1;
