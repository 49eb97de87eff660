/** Counts the daemons among which the slack of the repeat limit is divided: the most that were known for some time. */

type DaemonCount = {
	/** On the steady clock, in milliseconds. */
	readonly at: number;
	readonly daemons: number;
};

/** Counts that no later one exceeds, oldest first, so that the first is the largest. */
export type DaemonCounts = readonly DaemonCount[];

/** Adds a count. Those older than `memoryMs` are dropped. Returns the same list if nothing changes. */
export const recordDaemonCount = (counts: DaemonCounts, daemons: number, now: number, memoryMs: number): DaemonCounts => {
	const isCurrent = counts.at(-1)?.daemons === daemons && counts[0]!.at >= now - memoryMs;
	if (isCurrent && counts.at(-1)!.at > now - (memoryMs / 10)) {
		return counts;
	}

	return [...counts.filter(count => count.at >= now - memoryMs && count.daemons > daemons), {at: now, daemons}];
};

/** Returns the most daemons. Those that have ended or are cut off count: they have used their parts of the slack, or still do. */
export const getMostDaemons = (counts: DaemonCounts): number => counts[0]?.daemons ?? 1;
