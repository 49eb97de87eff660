/** Plans which usage windows the holder of the lease reports, and which counts its record keeps for them. */
import {type WindowClock} from '@shallotpass/core/lease/lease-base.js';
import {addReport, type Lease, type StoredLease} from '@shallotpass/core/lease/lease.js';
import {
	filterWindows, getWindowIndex, mergeUsage, retainedWindows, sumWindow,
} from '@shallotpass/core/usage/count-starts.js';
import {
	addReportedWindows, isReportedWindow, listDueWindows, type ReportedWindows,
} from '@shallotpass/core/usage/reported-windows.js';
import {type GatewayState} from '../gateway-state.js';
import {collectUsage} from './collect-usage.js';

/** Delay between the end of a usage window and its report, so that the reports of all daemons arrive, including those that pass two relays. */
const reportDelayMs = 2600;

export const readWindowClock = ({clocks, settings}: GatewayState): WindowClock => {
	const {usageWindowMs: windowMs, usageLateMs} = settings.bounds;
	const trueTime = clocks.trueTime();
	return {
		trueTime,
		windowMs,
		current: getWindowIndex(trueTime - reportDelayMs, windowMs),
		oldest: getWindowIndex(trueTime - usageLateMs - windowMs, windowMs),
	};
};

/** Adds the reports that are due to the lease. Returns the same lease if there are none. */
export const planReports = (gateway: GatewayState, lease: Lease, reported: ReportedWindows): Pick<StoredLease, 'lease' | 'reported'> => {
	const due = listDueWindows(reported, readWindowClock(gateway));
	if (due.length === 0) {
		return {lease, reported};
	}

	const counted = mergeUsage(lease.counted, collectUsage(gateway));
	let next = lease;
	for (const window of due) {
		next = addReport(next, {window, counts: sumWindow(counted[String(window)] ?? {}), isDelivered: false});
	}

	return {lease: next, reported: addReportedWindows(reported, due)};
};

/** Merges the counts of all daemons into those in the record, without windows that are reported or that no report can be due for. */
export const mergeCounts = (gateway: GatewayState, counted: Lease['counted'], reported: ReportedWindows): Lease['counted'] => {
	const {oldest, current} = readWindowClock(gateway);
	const isKept = (window: number): boolean => oldest <= window && window <= current + retainedWindows && !isReportedWindow(reported, window);
	return filterWindows(mergeUsage(counted, collectUsage(gateway)), isKept);
};
