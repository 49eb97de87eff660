/**
 * The usage windows that may no longer be reported: those with a report in a lease record, and those left out. The set only grows, and what
 * does not fit is rounded up, so that a window which is not in it has never been reported. No clock decides what it holds.
 */
import * as z from 'zod';

const windowRange = z.object({first: z.int().nonnegative(), last: z.int().nonnegative()}).refine(({first, last}) => first <= last);

/** Ranges in ascending order, between which at least one window is missing. */
export const reportedWindowsSchema = z.array(windowRange);

export type WindowRange = Readonly<z.infer<typeof windowRange>>;
export type ReportedWindows = readonly WindowRange[];

/** More arise only by clocks that are wrong again and again. */
const maxRanges = 32;

export const isReportedWindow = (reported: ReportedWindows, window: number): boolean => reported.some(({first, last}) => first <= window && window <= last);

/** Joins ranges that overlap or meet. */
const joinAdjacent = (ranges: ReportedWindows): ReportedWindows => {
	const joined: WindowRange[] = [];
	for (const range of ranges.toSorted((left, right) => left.first - right.first)) {
		const previous = joined.at(-1);
		if (previous !== undefined && range.first <= previous.last + 1) {
			joined[joined.length - 1] = {first: previous.first, last: Math.max(previous.last, range.last)};
		} else {
			joined.push(range);
		}
	}

	return joined;
};

/** Joins the lowest ranges if there are too many. The windows between these have passed for longest. */
const joinRanges = (ranges: ReportedWindows): ReportedWindows => {
	const joined = joinAdjacent(ranges);
	const excess = joined.length - maxRanges;
	return excess > 0 ? [{first: joined[0]!.first, last: joined[excess]!.last}, ...joined.slice(excess + 1)] : joined;
};

/** Returns the set with the windows from `first` to `last`, none if `last` is before. */
export const addWindowRange = (reported: ReportedWindows, range: WindowRange): ReportedWindows => range.last < range.first ? reported : joinRanges([...reported, range]);

export const addReportedWindows = (reported: ReportedWindows, windows: readonly number[]): ReportedWindows =>
	joinRanges([...reported, ...windows.map(window => ({first: window, last: window}))]);

/** Lists the windows from `oldest` on and before `current` that may be reported. */
export const listDueWindows = (reported: ReportedWindows, {oldest, current}: {readonly oldest: number; readonly current: number}): number[] => {
	const due: number[] = [];
	for (let window = Math.max(0, oldest); window < current; window++) {
		if (!isReportedWindow(reported, window)) {
			due.push(window);
		}
	}

	return due;
};
