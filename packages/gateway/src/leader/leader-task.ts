/**
 * Acquires and renews the leader lease. While this daemon holds it, sends the leader's requests to the
 * cloud API: usage reports and backend server orders. Each report and order is stored in the lease record before it
 * is sent to the cloud API, so that a successor sends the same values.
 */
import {recordVerdicts} from '@shallotpass/core/crashes/reported-evidence.js';
import {
	type BackendOrder, getFencingToken, isLeaseFree, type Lease, type LeaseCandidate, type LeaseObservation, canTakeLease, releasedIncarnation, observeLease, type StoredLease,
} from '@shallotpass/core/lease/lease.js';
import {getLeaseLookupDelayMs, type StoreRole} from '@shallotpass/core/gossip/store-role.js';
import {resolveReportedWindows} from '@shallotpass/core/lease/lease-base.js';
import {mergeUsage} from '@shallotpass/core/usage/count-starts.js';
import {type ReportedWindows} from '@shallotpass/core/usage/reported-windows.js';
import {pauseFor} from '../pause.js';
import {adoptRollouts} from '../rollouts/adopt-rollouts.js';
import {hasSameRollouts} from '../rollouts/plan-rollouts.js';
import {makeStatusWriter, type StatusWriter} from '../rollouts/write-status.js';
import {
	type CloudSender, type CloudSenderOptions, makeCloudSender, toOrderKey,
} from './cloud-sender.js';
import {collectUsage, isToldByKeepers, projectSpending} from './collect-usage.js';
import {getRecordOffset, type ReadableLease} from './decode-lease-listing.js';
import {describeTrueTime} from './describe-true-time.js';
import {
	type HeldLease, type LeaseRecord, makeLeaseRecord,
} from './lease-record.js';
import {mergeCounts, planReports, readWindowClock} from './plan-reports.js';

const tickMs = 250;

/** Interval between renewals. Three of them fit into the lease. */
const renewIntervalMs = 900;

/** Longest time that callers wait until the spending of accounts is loaded, and the delay between attempts to read it. */
const spendingTimeoutMs = 1500;
const spendingPollMs = 100;

/** The same after the timeout. Up to twice as long passes between two reads, so that a store that is back is noticed within a second. */
const lateSpendingPollMs = 300;

/** When all daemons start for the first time, a peer reports the lease within this time. Callers arrive later. */
const firstHolderTimeoutMs = 4000;

/** After this time without a report from a lease holder, the lease is read from the store. Reports arrive three times a second. */
const holderTimeoutMs = 1200;

/** A record that cannot be read is read again after this time before the lease is taken without it. */
const secondReadAfterMs = 500;

const emptyLeaseData: Pick<Lease, 'reports' | 'orders' | 'counted' | 'spent' | 'convicted'> = {
	reports: [], orders: [], counted: {}, spent: {at: 0, accounts: {}}, convicted: [],
};

const hasSameOrders = (left: readonly BackendOrder[], right: readonly BackendOrder[]): boolean => {
	const counts = new Map(left.map(order => [toOrderKey(order), order.count]));
	return left.length === right.length && right.every(order => counts.get(toOrderKey(order)) === order.count);
};

export type LeaderTaskOptions = Omit<CloudSenderOptions, 'record'> & {
	/** Determines which daemon first attempts to acquire the lease when no peer reports holding it. */
	readonly getStoreRole: () => StoreRole;
	/** Returns the orders that should be in effect now. */
	readonly planOrders: () => readonly BackendOrder[];
	/** Returns the next states of the rollouts, undefined if there are none. */
	readonly planRollouts: () => Lease['rollouts'];
};

export type LeaderTask = {
	/** Offset of the lease record if this daemon holds the lease, otherwise -1. */
	readonly getLeaseOffset: () => number;
};

export const startLeaderTask = (options: LeaderTaskOptions): LeaderTask => {
	const {gateway, platform, signal} = options;
	const {steady, countDisagreements} = gateway.clocks;
	const {instance, listen} = gateway.settings;
	const candidate: LeaseCandidate = {holder: instance.id, holderAddress: listen.peers, incarnation: gateway.incarnation};
	/** The newest lease record that was read from the store or reported by a peer. */
	let observation: LeaseObservation | undefined;
	/** When a peer last reported holding the lease, and when the lease record was last read because no peer reported holding it. */
	let holderReportedAt = gateway.startedAt;
	let leaseReadAt = Number.NEGATIVE_INFINITY;
	/** When the lease was first found unreadable, since it could be read last. */
	let unreadableSince: number | undefined;
	const record: LeaseRecord = makeLeaseRecord({
		gateway, platform, signal, onLost() {
			cloudSender.reset();
			statusWriter.reset();
		},
	});
	const statusWriter: StatusWriter = makeStatusWriter({
		gateway, platform, canAct: record.canAct, signal,
	});
	const cloudSender: CloudSender = makeCloudSender({...options, record});

	/** Returns whether the record was stored. If another daemon's record was found instead, its expiry is tracked from now on. */
	const writeLease = async (lease: Lease, reported: ReportedWindows, expectedEnd: number): Promise<boolean> => {
		const result = await record.write(lease, reported, expectedEnd);
		if (result.kind === 'taken') {
			observation = result.offset === undefined ? undefined : observeLease(observation, {offset: result.offset, clockDisagreements: countDisagreements()}, steady());
		}

		return result.kind === 'stands';
	};

	const planLease = ({lease, reported}: StoredLease): Pick<StoredLease, 'lease' | 'reported'> => {
		const usage = planReports(gateway, lease, reported);
		let next = usage.lease;
		const orders = [...options.planOrders()];
		next = hasSameOrders(next.orders, orders) ? next : {...next, orders};
		const rollouts = options.planRollouts();
		next = hasSameRollouts(next.rollouts, rollouts) ? next : {...next, rollouts};
		return {lease: next, reported: usage.reported};
	};

	const releaseLease = async ({stored: {lease, reported, end}}: HeldLease): Promise<void> => {
		// A successor can take the lease without waiting for it to expire.
		await writeLease({
			...lease, incarnation: releasedIncarnation, counted: mergeUsage(lease.counted, collectUsage(gateway)), spent: projectSpending(gateway), convicted: recordVerdicts(gateway.crashes),
		}, reported, end);
		record.markLost('the daemon is draining');
	};

	/** Renews the lease if that is due, or if there is something new to send. Returns whether the store has just confirmed it. */
	const renew = async ({stored, renewedAt}: HeldLease): Promise<boolean> => {
		const planned = planLease(stored);
		if (planned.lease === stored.lease && steady() < renewedAt + renewIntervalMs) {
			return false;
		}

		return writeLease({
			...planned.lease,
			...candidate,
			fence: getFencingToken(stored),
			counted: mergeCounts(gateway, planned.lease.counted, planned.reported),
			spent: projectSpending(gateway),
			convicted: recordVerdicts(gateway.crashes),
		}, planned.reported, stored.end);
	};

	const maintainLease = async (held: HeldLease): Promise<void> => {
		if (!record.canAct()) {
			// The instance may have been suspended while another daemon took the lease. Only the store shows this.
			// A lease that cannot be proven valid is treated as lost.
			record.markLost(held.disagreements === countDisagreements() ? 'not renewed in time' : 'steady clock and time of day disagree');
			// The first holder has observed no record whose expiry would make it read the lease again.
			leaseReadAt = Number.NEGATIVE_INFINITY;
			return;
		}

		if (gateway.drainingSince !== undefined) {
			await releaseLease(held);
			return;
		}

		// A link that has failed since the renewal would hold a call up, and deliver it after a successor has acted.
		if (await renew(held)) {
			adoptRollouts(gateway, record.getHeld()?.stored.lease.rollouts, 'plan');
			await cloudSender.sendPending();
		}

		await statusWriter.writePending(record.getHeld()?.stored.lease.rollouts);
	};

	/** Whether a peer recently reported holding the lease. Also tracks the expiry of the reported record from this time on, not only once reports stop. */
	const isHolderReported = (): boolean => {
		const since = steady() - holderTimeoutMs;
		const offsets = [...gateway.peers.values()].filter(peer => peer.receivedAt >= since).map(peer => peer.leaseOffset);
		const offset = Math.max(-1, ...offsets);
		if (offset >= 0) {
			holderReportedAt = steady();
			observation = observeLease(observation, {offset, clockDisagreements: countDisagreements()}, steady());
		}

		return offset >= 0;
	};

	const isLeaseExpired = (): boolean => observation !== undefined && canTakeLease(observation, gateway.settings.bounds.leaseMs, steady());

	/** Whether to read the lease record: no peer reports holding the lease, and the record was not read since the last such report or has expired. */
	const shouldReadLease = (): boolean => {
		if (isHolderReported() || gateway.drainingSince !== undefined || gateway.configuration === undefined) {
			return false;
		}

		const isDue = steady() >= holderReportedAt + getLeaseLookupDelayMs(options.getStoreRole());
		return isDue && (leaseReadAt < holderReportedAt || isLeaseExpired());
	};

	/** Takes the lease, if no other record follows the one that was read. */
	const takeLease = async (base: ReadableLease): Promise<void> => {
		const stored = base.kind === 'stands' ? base.stored : undefined;
		const expectedEnd = base.kind === 'stands' ? base.stored.end : base.end;
		const reported = resolveReportedWindows(base, readWindowClock(gateway));
		// What a record that cannot be read told is not known to be nothing.
		const known = base.kind === 'unreadable' ? {...emptyLeaseData, spent: projectSpending(gateway), convicted: recordVerdicts(gateway.crashes)} : emptyLeaseData;
		const isWritten = await writeLease({...(stored?.lease ?? known), ...candidate, fence: -1}, reported, expectedEnd);
		const held = record.getHeld();
		if (!isWritten || held === undefined) {
			return;
		}

		gateway.log.write('failure', 'lease_taken', {
			fence: getFencingToken(held.stored),
			before: stored?.lease.holder,
			base: base.kind,
			baseOffset: getRecordOffset(base),
			reported: reported.at(-1)?.last,
			...describeTrueTime(gateway),
		});
		if (base.kind === 'unreadable' && base.reported === undefined) {
			gateway.log.write('failure', 'usage_left_out', {last: reported.at(-1)?.last, offset: base.offset});
		}
	};

	const tryAcquireLease = async (): Promise<void> => {
		if (!shouldReadLease()) {
			return;
		}

		const readResult = await record.read();
		if (readResult.kind === 'unknown') {
			return;
		}

		leaseReadAt = steady();
		const stored = readResult.kind === 'stands' ? readResult.stored : undefined;
		const offset = getRecordOffset(readResult);
		if (offset !== undefined) {
			observation = observeLease(observation, {offset, clockDisagreements: countDisagreements()}, steady());
		}

		unreadableSince = readResult.kind === 'unreadable' ? unreadableSince ?? steady() : undefined;
		if (unreadableSince !== undefined && steady() < unreadableSince + secondReadAfterMs) {
			return;
		}

		const isFree = readResult.kind === 'none' || (stored !== undefined && isLeaseFree(stored.lease, candidate));
		if (isFree || isLeaseExpired()) {
			await takeLease(readResult);
		}
	};

	const run = async (): Promise<void> => {
		while (!signal.aborted) {
			const held = record.getHeld();
			const nextAt = steady() + (tickMs * (1 + (held === undefined ? gateway.random() : 0)));
			try {
				// eslint-disable-next-line no-await-in-loop -- ticks are sequential
				await (held ? maintainLease(held) : tryAcquireLease());
			} catch (error) {
				gateway.log.write('failure', 'duty_failed', {error: error instanceof Error ? error.stack : String(error)});
			}

			// eslint-disable-next-line no-await-in-loop -- ticks are sequential
			await pauseFor(Math.max(10, nextAt - steady()), signal);
		}
	};

	/** Whether this daemon or a peer holds the lease. */
	const isHolderKnown = (): boolean => record.getHeld() !== undefined || isHolderReported();

	const waitForFirstHolder = async (): Promise<void> => {
		const giveUpAt = gateway.startedAt + firstHolderTimeoutMs;
		while (!isHolderKnown() && steady() < giveUpAt && !signal.aborted) {
			await pauseFor(spendingPollMs, signal); // eslint-disable-line no-await-in-loop -- a poll
		}
	};

	/** Ends the wait of callers for the earlier spending. */
	const markSpendingLoaded = (): void => {
		if (!gateway.isSpendingLoaded) {
			gateway.isSpendingLoaded = true;
			gateway.log.write('state', 'spending_read', {isKnown: gateway.inherited.kind !== 'unknown' || isToldByKeepers(gateway), inherited: gateway.inherited});
		}
	};

	/**
	 * Loads what accounts have spent. When all daemons start for the first time, nothing has been spent, and it is
	 * enough that a daemon holds the lease. Otherwise all daemons may have restarted at once, and without the stored
	 * spending an account near its limit would get its whole limit again. Callers wait for the result, but no longer
	 * than the timeout if the store is unavailable: calls of accounts without a limit do not need it. A keeper reads the record
	 * until it is settled, as it grants nothing before.
	 */
	const loadSpending = async (): Promise<void> => {
		if (gateway.settings.instance.firstStart) {
			await waitForFirstHolder();
			if (isHolderKnown()) {
				gateway.inherited = {kind: 'none'};
			}
		}

		const waitUntil = steady() + spendingTimeoutMs;
		while (gateway.inherited.kind === 'unknown' && !gateway.quota.keeper.isSettled && !signal.aborted) {
			if (!isToldByKeepers(gateway) && (gateway.quota.isKeeper || !gateway.isSpendingLoaded)) {
				await record.read(); // eslint-disable-line no-await-in-loop -- reads are sequential
			}

			if (isHolderReported() || isToldByKeepers(gateway) || steady() >= waitUntil) {
				markSpendingLoaded();
			}

			if (gateway.inherited.kind === 'unknown') {
				const pollMs = steady() < waitUntil ? spendingPollMs : lateSpendingPollMs * (1 + gateway.random());
				await pauseFor(pollMs, signal); // eslint-disable-line no-await-in-loop -- a poll
			}
		}

		markSpendingLoaded();
	};

	void loadSpending();
	void run();
	return {getLeaseOffset: () => record.getHeld()?.stored.offset ?? -1};
};
