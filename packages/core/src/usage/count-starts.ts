/** Counts the calls of each client account that started to run on backend servers, by window of true time. */
import {mergeRecords} from '@shallotpass/common/records.js';

/** Client account → number of started calls. */
export type UsageCounts = Readonly<Record<string, number>>;

/** Window index → account → counts of this daemon. */
export type UsageTally = Map<number, Map<string, number>>;

/** Number of windows that are kept: the current one, the last complete one, and older ones that a new leader may still have to report. */
export const retainedWindows = 8;

/** Returns the index of the window that contains the time. */
export const getWindowIndex = (trueTimeMs: number, windowMs: number): number => Math.floor(trueTimeMs / windowMs);

/** Counts a started call and removes windows that are no longer kept. */
export const recordStart = (tally: UsageTally, account: string, window: number): void => {
	const counts = tally.get(window) ?? new Map<string, number>();
	counts.set(account, (counts.get(account) ?? 0) + 1);
	tally.set(window, counts);
	for (const oldWindow of tally.keys()) {
		if (oldWindow <= window - retainedWindows) {
			tally.delete(oldWindow);
		}
	}
};

/** Sums the counts of all sources for one window. */
export const sumCounts = (sourceCounts: Iterable<UsageCounts | undefined>): UsageCounts => {
	let sum: Record<string, number> = {};
	for (const counts of sourceCounts) {
		sum = mergeRecords(sum, counts ?? {}, (count, known = 0) => known + count);
	}

	return sum;
};

/** Returns the counts of this daemon by window, as it reports them. */
export const listOwnCounts = (tally: UsageTally): Array<readonly [number, UsageCounts]> => [...tally].map(([window, counts]) => [window, Object.fromEntries(counts)]);

/** Window index → source of the counts (the incarnation of a daemon, or a whole zone) → counts. */
export type UsageTable = Readonly<Record<string, Readonly<Record<string, UsageCounts>>>>;

const zonePrefix = 'zone:';

/** Returns the source name for the summed counts of all daemons of a zone. */
export const toZoneSource = (zone: string): string => `${zonePrefix}${zone}`;

const isZoneSource = (source: string): boolean => source.startsWith(zonePrefix);

/** Merges two counts of the same source by taking the larger count of each account. */
const pickLarger = (left: UsageCounts | undefined, right: UsageCounts): UsageCounts =>
	mergeRecords(left ?? {}, right, (count, known = 0) => Math.max(known, count));

/**
 * Merges two tables. Counts of one source only grow, so the larger count is the newer one, and
 * counts that arrive twice are not added twice.
 */
export const mergeUsage = (left: UsageTable, right: UsageTable): UsageTable =>
	mergeRecords(left, right, (countsBySource, known = {}) => mergeRecords(known, countsBySource, (others, counts) => pickLarger(counts, others)));

/** Sums the counts of a window. If there are counts of whole zones, they include those of single daemons, which are then ignored. */
export const sumWindow = (sources: Readonly<Record<string, UsageCounts>>): UsageCounts => {
	const entries = Object.entries(sources);
	const zones = entries.filter(([source]) => isZoneSource(source));
	return sumCounts((zones.length > 0 ? zones : entries).map(([, counts]) => counts));
};

/** Returns the table with the windows for which `isKept` holds. */
export const filterWindows = (table: UsageTable, isKept: (window: number) => boolean): UsageTable => Object.fromEntries(Object.entries(table).filter(([window]) => isKept(Number(window))));
