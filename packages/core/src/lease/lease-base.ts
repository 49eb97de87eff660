/**
 * What a daemon that takes the lease knows of earlier holders. Only a record that was read, or the proof that none was ever written,
 * shows which windows have not been reported.
 */
import {addReportedWindows, addWindowRange, type ReportedWindows} from '../usage/reported-windows.js';
import {getWindowIndex} from '../usage/count-starts.js';
import {type Lease, type StoredLease} from './lease.js';

export type LeaseBase =
	| {readonly kind: 'stands'; readonly stored: StoredLease}
	/** No lease record was ever written. */
	| {readonly kind: 'none'}
	/** The record, or the listing of it, cannot be used. `reported` is undefined if the windows cannot be read either. */
	| {readonly kind: 'unreadable'; readonly reported: ReportedWindows | undefined};

/** Largest error of a clock against which windows are guarded. Two clocks may be off, in different directions. */
const maxClockErrorMs = 3_600_000;

/** The first holder reports at most this many windows of the time before it. */
const windowsBeforeFirstHolder = 2;

export type WindowClock = {
	/** Milliseconds since the epoch. */
	readonly trueTime: number;
	readonly windowMs: number;
	/** The window that is reported next, and the oldest one that can still be reported. */
	readonly current: number;
	readonly oldest: number;
};

/** Returns the last window that a holder can have reported by now. */
const findLastWindow = ({trueTime, windowMs}: WindowClock): number => getWindowIndex(trueTime + (2 * maxClockErrorMs), windowMs);

/**
 * Adds the windows of which no record tells. A lease record holds the last reports and the last window only, so all windows before these
 * count as reported.
 * A report of a window that no clock can have reached tells nothing of those before.
 */
const addUntoldWindows = ({lease, reported, reportedFrom}: StoredLease, clock: WindowClock): ReportedWindows => {
	const lastWindow = findLastWindow(clock);
	const told = lease.reports.map(({window}) => window).filter(window => window <= lastWindow);
	if (lease.lastReported !== undefined) {
		told.push(Math.min(lease.lastReported, lastWindow));
	}

	if (told.length === 0) {
		return reportedFrom === 'no_record' ? addWindowRange(reported, {first: 0, last: lastWindow}) : reported;
	}

	return addWindowRange(reported, {first: 0, last: Math.max(...told)});
};

/** Returns the windows that the next holder may not report: those reported, and those of which it is unknown whether they were. */
export const resolveReportedWindows = (base: LeaseBase, clock: WindowClock): ReportedWindows => {
	switch (base.kind) {
		case 'stands': {
			return base.stored.reportedFrom === 'same_append' ? base.stored.reported : addUntoldWindows(base.stored, clock);
		}

		case 'none': {
			return addWindowRange([], {first: Math.max(0, clock.oldest), last: clock.current - windowsBeforeFirstHolder - 1});
		}

		case 'unreadable': {
			return base.reported ?? addWindowRange([], {first: 0, last: findLastWindow(clock)});
		}
	}
};

/** Adds the windows whose reports stand in the lease record. Daemons of earlier versions write no others. */
export const addLeaseReports = (reported: ReportedWindows, {reports}: Lease): ReportedWindows => addReportedWindows(reported, reports.map(({window}) => window));
