/**
 * The leader lease as a record in the platform's store. Writes are conditional on no other daemon
 * having written since the last read, and the lease counts as held only while it is provably valid.
 */
import {Buffer} from 'node:buffer';
import {
	getFencingToken, type Lease, canActOnLease, leaseSchema, type StoredLease,
} from '@shallotpass/core/lease/lease.js';
import {convertEvenSlots} from '@shallotpass/core/quotas/recorded-spending.js';
import {type ReportedWindows} from '@shallotpass/core/usage/reported-windows.js';
import {adoptCrashes} from '../crashes/share-evidence.js';
import {type GatewayState} from '../gateway-state.js';
import {type Platform} from '../ports.js';
import {adoptRollouts} from '../rollouts/adopt-rollouts.js';
import {makeRefusalReporter} from '../store/report-refused.js';
import {
	decodeLeaseListing, getRecordOffset, leaseKey, type LeaseReadResult, reportedWindowsKey,
} from './decode-lease-listing.js';
import {describeTrueTime} from './describe-true-time.js';

/** The store answers an append in 4 ms. After this timeout the response counts as lost and the record is read again. */
const storeTimeoutMs = 500;

const toRecord = (key: string, value: unknown): {key: string; value: Uint8Array} => ({key, value: Buffer.from(JSON.stringify(value))});

export type HeldLease = {
	stored: StoredLease;
	/** When the current record was sent, on the steady clock. */
	readonly renewedAt: number;
	/** Number of clock disagreements when it was sent. A higher number later means that the lease may have expired unnoticed. */
	readonly disagreements: number;
};

export type LeaseWriteResult =
	| {readonly kind: 'stands'}
	/** It is unknown whether the record was stored. It is read again on the next attempt. */
	| {readonly kind: 'unknown'}
	/** The store holds a record of another daemon at this offset. */
	| {readonly kind: 'taken'; readonly offset: number | undefined};

export type LeaseRecord = {
	readonly getHeld: () => HeldLease | undefined;
	/** Whether this daemon holds a lease that is still valid now. */
	readonly canAct: () => boolean;
	readonly read: () => Promise<LeaseReadResult>;
	/** Appends the record, with the windows that may not be reported any more, if no other record was appended since the one that it is based on. */
	readonly write: (lease: Lease, reported: ReportedWindows, expectedEnd: number) => Promise<LeaseWriteResult>;
	/** Updates the held record in memory. The next write stores it. */
	readonly setHeldLease: (lease: Lease) => void;
	readonly markLost: (reason: string) => void;
};

export type LeaseRecordOptions = {
	readonly gateway: GatewayState;
	readonly platform: Platform;
	readonly onLost: () => void;
	readonly signal: AbortSignal;
};

export const makeLeaseRecord = ({gateway, platform, onLost, signal}: LeaseRecordOptions): LeaseRecord => {
	let held: HeldLease | undefined;
	const {steady, countDisagreements} = gateway.clocks;
	const reportRefused = makeRefusalReporter(gateway.log, 'lease');

	/**
	 * Takes over the spending of accounts and what crashes backend servers from the record. After a restart of all daemons at once no
	 * daemon has it in memory: every account would get its whole limit again, and every such request some backend servers.
	 */
	const inheritKnowledge = (lease: Lease): void => {
		if (lease.incarnation !== gateway.incarnation) {
			adoptCrashes(gateway, {entries: lease.convicted, refuted: []});
		}

		if (lease.incarnation !== gateway.incarnation && lease.spent.isIncomplete !== true) {
			gateway.inherited = {kind: 'read', spending: lease.spent.recorded ?? convertEvenSlots(lease.spent, gateway.settings.bounds.quotaWindowMs)};
		}
	};

	const read = async (): Promise<LeaseReadResult> => {
		const listing = await platform.store.readNewest('lease', {timeoutMs: storeTimeoutMs, signal});
		const result = listing.kind === 'failed' ? {kind: 'unknown'} as const : decodeLeaseListing(listing, reportRefused);
		if (result.kind === 'none' && gateway.inherited.kind === 'unknown') {
			gateway.inherited = {kind: 'none'};
		}

		if (result.kind === 'stands') {
			inheritKnowledge(result.stored.lease);
			adoptRollouts(gateway, result.stored.lease.rollouts, 'lease');
		}

		return result;
	};

	const markLost = (reason: string): void => {
		if (held) {
			gateway.log.write('failure', 'lease_lost', {
				reason, fence: getFencingToken(held.stored), offset: held.stored.offset, ...describeTrueTime(gateway),
			});
		}

		held = undefined;
		onLost();
	};

	/** The newest record is an earlier one of this daemon, which was stored without a response. Nothing that only it holds was sent. */
	const setHeldEnd = (end: number): void => {
		if (held) {
			held.stored = {...held.stored, end};
		}
	};

	const write: LeaseRecord['write'] = async (next, reported, expectedEnd) => {
		const lease: Lease = {...next, lastReported: reported.at(-1)?.last};
		const sentAt = steady();
		const disagreements = countDisagreements();
		const records = [toRecord(reportedWindowsKey, reported), toRecord(leaseKey, lease)];
		const reply = await platform.store.append('lease', records, {expectedEnd, timeoutMs: storeTimeoutMs, signal});
		if (reply.kind === 'appended') {
			const end = reply.offset + records.length;
			held = {
				stored: {
					lease, offset: end - 1, reported, reportedFrom: 'same_append', end,
				}, renewedAt: sentAt, disagreements,
			};
			return {kind: 'stands'};
		}

		if (reply.kind === 'refused') {
			return {kind: 'unknown'};
		}

		// The response was lost or another record was appended first. Only the store shows which record is current.
		const current = await read();
		if (current.kind === 'unknown') {
			return current;
		}

		const isOwn = current.kind === 'stands' && current.stored.lease.incarnation === gateway.incarnation;
		if (isOwn && JSON.stringify(current.stored.lease) === JSON.stringify(leaseSchema.safeParse(lease).data)) {
			held = {stored: current.stored, renewedAt: sentAt, disagreements};
			return {kind: 'stands'};
		}

		if (isOwn) {
			setHeldEnd(current.stored.end);
			return {kind: 'unknown'};
		}

		markLost('another daemon holds the lease');
		return {kind: 'taken', offset: getRecordOffset(current)};
	};

	return {
		getHeld: () => held,
		canAct: () => held?.disagreements === countDisagreements() && canActOnLease(held.renewedAt, gateway.settings.bounds.leaseMs, steady()),
		read,
		write,
		setHeldLease(lease) {
			if (held) {
				held.stored = {...held.stored, lease};
			}
		},
		markLost,
	};
};
