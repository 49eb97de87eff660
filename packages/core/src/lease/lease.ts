/**
 * The lease that makes one daemon at a time the caller of the cloud API. It is a record in the platform's
 * store that the holder renews by conditional appends, so two daemons can't extend the same record.
 *
 * Clocks of different machines are never compared. The holder counts the lease from the time it sent the
 * renewal. Other daemons count from the time they saw the record, which is later, and add a margin.
 */
import {
	amountListSchema, amountsSchema, maxAmount, trueTimeSchema,
} from '@shallotpass/common/value-bounds.js';
import * as z from 'zod';
import {reportedEvidenceSchema} from '../crashes/reported-evidence.js';
import {recordedSpendingSchema} from '../quotas/recorded-spending.js';
import {rolloutSchema} from '../rollouts/types.js';
import {type ReportedWindows} from '../usage/reported-windows.js';

const windowReport = z.object({
	window: z.int().nonnegative(),
	counts: z.record(z.string(), z.int().nonnegative()),
	isDelivered: z.boolean(),
});

const backendOrder = z.object({
	service: z.string(),
	availabilityZone: z.string(),
	isReclaimable: z.boolean(),
	count: z.int().nonnegative().max(maxAmount),
});

/** The lease record: the holder, and everything it sends to the cloud API, written before it is sent. */
export const leaseSchema = z.object({
	holder: z.string(),
	/** Address of the holder's instance. Only one process at a time can listen on it. */
	holderAddress: z.string().default(''),
	/** Identifies one run of the holder's process. */
	incarnation: z.string(),
	/** Fencing token: the offset of the record with which the holder took the lease, or -1 in that record itself. */
	fence: z.int().min(-1),
	reports: z.array(windowReport),
	orders: z.array(backendOrder),
	/** Usage counts by window, daemon incarnation and client account, for windows that are not reported yet. */
	counted: z.record(z.string(), z.record(z.string(), amountsSchema)),
	/** Cost units spent by each client account on all daemons, per slot of the rate limit window, as of the true time `at`. */
	spent: z.object({
		at: trueTimeSchema,
		accounts: z.record(z.string(), amountListSchema),
		/** The same without what is expected until the next record. Daemons of earlier versions don't write it. */
		recorded: recordedSpendingSchema.optional(),
		/** Whether more may have been spent that the holder doesn't know. Daemons of earlier versions don't read it. */
		isIncomplete: z.boolean().optional(),
	}),
	/** Evidence of what crashes backend servers. Without it, daemons that all restart at once would let each crash some again. */
	convicted: z.array(reportedEvidenceSchema).default([]),
	/** Roll-outs, by service. Absent where there are none. */
	rollouts: z.record(z.string(), rolloutSchema).optional(),
	/** The last window in the record of reported windows of the same append, in case that is not found. Daemons of earlier versions don't write it. */
	lastReported: z.int().nonnegative().optional(),
});

export type Lease = z.infer<typeof leaseSchema>;
export type WindowReport = z.infer<typeof windowReport>;
export type BackendOrder = z.infer<typeof backendOrder>;

/** A lease as it stands in the store. */
export type StoredLease = {
	readonly lease: Lease;
	/** Offset of the lease record. */
	readonly offset: number;
	/** Windows that no holder may report any more, as they stand beside the lease record. */
	readonly reported: ReportedWindows;
	/** The record that tells of these windows: that of the same append, an earlier one, as daemons of earlier versions write none, or none. */
	readonly reportedFrom: 'same_append' | 'earlier_append' | 'no_record';
	/** End of the topic behind these records, the condition of the record that follows. */
	readonly end: number;
};

/** Returns the fencing token that is sent with each call. It increases whenever the holder changes. */
export const getFencingToken = (stored: StoredLease): number => stored.lease.fence === -1 ? stored.offset : stored.lease.fence;

/** The holder stops acting this long before the lease ends, so that its last call has finished or failed by then. */
export const holderSafetyMarginMs = 700;

/** Other daemons wait this much longer than the lease before they take it over. */
export const takeoverMarginMs = 500;

/** Reports kept in the record. Older windows are past their reporting deadline. */
const maxKeptReports = 5;

/** Leaves out what needs not be sent again. The last report stays, as daemons of earlier versions go on behind it. */
const trimReports = (reports: readonly WindowReport[]): WindowReport[] => reports.filter((report, index) => !report.isDelivered || index === reports.length - 1).slice(-maxKeptReports);

/** Adds a usage report to the lease. */
export const addReport = (lease: Lease, report: WindowReport): Lease => ({...lease, reports: trimReports([...lease.reports, report])});

/** Marks the report of the window as delivered. */
export const markDelivered = (lease: Lease, window: number): Lease => ({...lease, reports: trimReports(lease.reports.map(report => report.window === window ? {...report, isDelivered: true} : report))});

/** The lease record that a daemon observed last, and the time of its first observation. */
export type LeaseObservation = {
	readonly offset: number;
	/** When that record was first read or reported by gossip, on the steady clock. */
	readonly seenAt: number;
	/** Number of disagreements between the steady clock and the time of day by then. An increase means that the instance was suspended or its time of day jumped. */
	readonly clockDisagreements: number;
};

/** Keeps the earlier observation while the record and the clocks are unchanged, otherwise starts a new one at `now`. */
export const observeLease = (previous: LeaseObservation | undefined, record: Omit<LeaseObservation, 'seenAt'>, now: number): LeaseObservation =>
	previous?.offset === record.offset && previous.clockDisagreements === record.clockDisagreements ? previous : {...record, seenAt: now};

/** A daemon that wants the lease. */
export type LeaseCandidate = Pick<Lease, 'holder' | 'holderAddress' | 'incarnation'>;

/** Value of the holder's incarnation after the holder released the lease. */
export const releasedIncarnation = '';

/**
 * Whether the candidate can take the lease without waiting: the lease was released, is the candidate's own,
 * or belongs to an earlier process on the same instance.
 */
export const isLeaseFree = (lease: Lease, candidate: LeaseCandidate): boolean => {
	const isOnSameInstance = lease.holder === candidate.holder && lease.holderAddress === candidate.holderAddress;
	return lease.incarnation === releasedIncarnation || lease.incarnation === candidate.incarnation || isOnSameInstance;
};

/** Whether the lease has expired for a daemon that observes another holder. */
export const canTakeLease = (observation: LeaseObservation, leaseMs: number, now: number): boolean => now >= observation.seenAt + leaseMs + takeoverMarginMs;

/** Whether the holder may still call the cloud API after its last renewal. */
export const canActOnLease = (renewedAt: number, leaseMs: number, now: number): boolean => now >= renewedAt && now < renewedAt + leaseMs - holderSafetyMarginMs;
