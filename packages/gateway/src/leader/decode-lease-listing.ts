/** Decodes the newest records of the lease topic, and tells what they prove. */
import {decodeJson} from '@shallotpass/common/decode-json.js';
import {addLeaseReports} from '@shallotpass/core/lease/lease-base.js';
import {leaseSchema, type StoredLease} from '@shallotpass/core/lease/lease.js';
import {type ReportedWindows, reportedWindowsSchema} from '@shallotpass/core/usage/reported-windows.js';
import type * as z from 'zod';
import {type KeyedRecord, type NewestReply} from '../ports.js';
import {type RefusalReporter} from '../store/report-refused.js';

export const leaseKey = 'lease';

/** Whoever reports usage writes this record with the lease record. It stands by itself, so that a lease record that cannot be read leaves it. */
export const reportedWindowsKey = 'reported_windows';

export type LeaseReadResult =
	| {readonly kind: 'stands'; readonly stored: StoredLease}
	/** Nothing was ever written to the topic. */
	| {readonly kind: 'none'; readonly end: 0}
	/** The record cannot be read, or the listing leaves it out. Whoever wrote it may hold the lease. `reported`: as far as that can be read. */
	| {readonly kind: 'unreadable'; readonly offset: number; readonly reported: ReportedWindows | undefined; readonly end: number}
	/** The store does not answer. */
	| {readonly kind: 'unknown'};

/** What the next lease record is written on. */
export type ReadableLease = Exclude<LeaseReadResult, {readonly kind: 'unknown'}>;

/** Returns the offset of the record that was read, if there is one. */
export const getRecordOffset = (read: LeaseReadResult): number | undefined => {
	switch (read.kind) {
		case 'stands': {
			return read.stored.offset;
		}

		case 'unreadable': {
			return read.offset;
		}

		case 'none':
		case 'unknown': {
			return undefined;
		}
	}
};

const decodeRecord = <Schema extends z.ZodType>(record: KeyedRecord | undefined, schema: Schema, reportRefused: RefusalReporter): z.output<Schema> | undefined => {
	if (record?.value === undefined) {
		return undefined;
	}

	const decoded = decodeJson(record.value, schema);
	if (decoded.kind === 'refused') {
		reportRefused(record, decoded.field);
		return undefined;
	}

	return decoded.value;
};

const findReportedFrom = (lease: KeyedRecord, reported: KeyedRecord | undefined): StoredLease['reportedFrom'] => {
	if (reported === undefined) {
		return 'no_record';
	}

	return reported.offset === lease.offset - 1 ? 'same_append' : 'earlier_append';
};

export const decodeLeaseListing = (listing: Extract<NewestReply, {readonly kind: 'listing'}>, reportRefused: RefusalReporter): ReadableLease => {
	const {records} = listing;
	if (listing.end === 0 && records.length === 0) {
		return {kind: 'none', end: 0};
	}

	const end = Math.max(...records.map(({offset}) => offset + 1), 0);
	if (end < listing.end) {
		return {
			kind: 'unreadable', offset: listing.end - 1, reported: undefined, end: listing.end,
		};
	}

	const leaseRecord = records.find(({key}) => key === leaseKey);
	const reportedRecord = records.find(({key}) => key === reportedWindowsKey);
	const lease = decodeRecord(leaseRecord, leaseSchema, reportRefused);
	const reported = decodeRecord(reportedRecord, reportedWindowsSchema, reportRefused);
	const isReportedUnreadable = reportedRecord !== undefined && reported === undefined;
	if (leaseRecord === undefined || lease === undefined || isReportedUnreadable) {
		return {
			kind: 'unreadable', offset: leaseRecord?.offset ?? end - 1, reported, end,
		};
	}

	const {offset} = leaseRecord;
	return {
		kind: 'stands', stored: {
			lease, offset, reported: addLeaseReports(reported ?? [], lease), reportedFrom: findReportedFrom(leaseRecord, reportedRecord), end,
		},
	};
};
