/**
 * Holds the lease of the duties, and does them while it holds it: usage reports and orders of
 * backend servers. All that is said to the cloud is written into the lease's record first, so
 * that a successor says the very same.
 */
import {Buffer} from 'node:buffer';
import {
	type BackendOrder, getFence, type Lease, leaseSchema, type LeaseWatch, listDueWindows, mayActOnLease, mayTakeLease, type StoredLease, withReport,
} from '@shallotpass/core/duties/fold-lease.js';
import {
	dropEarlierWindows, getWindow, mergeUsage, sumCounts,
} from '@shallotpass/core/usage/count-starts.js';
import {pauseFor} from './pause.js';
import {listUsage, sumSpent} from './gather-duties.js';
import {type GatewayState, peerSilentMs} from './gateway-state.js';
import {type FieldsOf} from './log-events.js';
import {type CloudReply, type Platform} from './ports.js';

const tickMs = 250;

/** Between two renewals; three of them fit into the lease. */
const renewEveryMs = 900;

/** The store answers an append in 4 ms; a later answer counts as lost and the record is read again. */
const storeTimeoutMs = 500;

const cloudTimeoutMs = 600;

/** Longest time that callers wait for what accounts have spent, and between two readings of it. */
const spendingPatienceMs = 1500;
const spendingPauseMs = 100;

/** A window is reported this long after its end, when the news of all daemons have come: through two relays they take up to 1.8 s, and windows reported after 1.1 s were 9 in 100 short. */
const reportAfterMs = 2600;

/** Orders are said again after this time while the backend servers have not come. */
const repeatOrderMs = 6500;

/** Pause after a call that the cloud did not take. */
const cloudPauseMs = 800;

const leaseKey = 'lease';

/** In place of the holder's incarnation once it gave the lease up. */
const nobody = '';

const emptyDuties: Pick<Lease, 'reports' | 'orders' | 'counted' | 'spent'> = {
	reports: [], orders: [], counted: {}, spent: {at: 0, accounts: {}},
};

type Held = {
	stored: StoredLease;
	/** When the record that stands was sent, on the steady clock. */
	renewedAt: number;
	/** Disagreements of the clocks when it was sent; one more means that the lease may have lapsed unseen. */
	disagreements: number;
};

export type DutyOptions = {
	readonly gateway: GatewayState;
	readonly platform: Platform;
	/** The orders that are wanted now. */
	readonly planOrders: () => readonly BackendOrder[];
	/** Called at each answer of the cloud, also one that says no. */
	readonly onCloudAnswer: () => void;
	readonly onAcceptedOrder: (order: BackendOrder) => void;
	readonly onRefusedOrder: (order: BackendOrder) => void;
	/** Whether what was ordered has come. */
	readonly isFulfilled: (order: BackendOrder) => boolean;
	readonly signal: AbortSignal;
};

export type DutyTask = {
	/** Offset of the lease's record that this daemon holds, or -1. */
	readonly getLeaseOffset: () => number;
};

const toKey = (order: BackendOrder): string => `${order.service}/${order.availabilityZone}/${order.isReclaimable}`;

const hasSameOrders = (left: readonly BackendOrder[], right: readonly BackendOrder[]): boolean => {
	const counts = new Map(left.map(order => [toKey(order), order.count]));
	return left.length === right.length && right.every(order => counts.get(toKey(order)) === order.count);
};

export const startDutyTask = (options: DutyOptions): DutyTask => {
	const {gateway, platform, signal} = options;
	let held: Held | undefined;
	let watch: LeaseWatch | undefined;
	/** Disagreements of the clocks when the watch began. */
	let watchedAt = 0;
	let end = 0;
	let cloudPausedUntil = 0;
	/** Orders that were said under the present lease, and when. */
	const said = new Map<string, {count: number; at: number}>();

	const {steady: elapsed, countDisagreements} = gateway.clocks;

	const lose = (reason: string): void => {
		if (held) {
			gateway.log.write('belief', 'lease_lost', {reason, fence: getFence(held.stored), offset: held.stored.offset});
		}

		held = undefined;
		said.clear();
	};

	/**
	 * After all daemons ended at once nobody remembers what accounts spent, and their limits would
	 * begin anew: a hot account got 1.02 of what is allowed in one window. The record remembers.
	 */
	const inheritSpent = (lease: Lease): void => {
		if (lease.incarnation !== gateway.incarnation) {
			gateway.inherited = {spent: lease.spent.accounts, at: lease.spent.at};
		}
	};

	/** Reads the record that stands; undefined when the store does not answer. */
	const readLease = async (): Promise<StoredLease | 'none' | undefined> => {
		const listing = await platform.store.readNewest('lease', {timeoutMs: storeTimeoutMs, signal});
		if (listing.kind === 'failed') {
			return undefined;
		}

		({end} = listing);
		const record = listing.records.find(known => known.key === leaseKey);
		if (record?.value === undefined) {
			return 'none';
		}

		const lease = leaseSchema.safeParse(JSON.parse(Buffer.from(record.value).toString('utf8')));
		if (!lease.success) {
			return 'none';
		}

		inheritSpent(lease.data);
		return {lease: lease.data, offset: record.offset};
	};

	/** Appends the lease's record if nobody has appended since; true when it stands. */
	const write = async (lease: Lease): Promise<boolean> => {
		const sentAt = elapsed();
		const disagreements = countDisagreements();
		const reply = await platform.store.append('lease', {key: leaseKey, value: Buffer.from(JSON.stringify(lease))}, {expectedEnd: end, timeoutMs: storeTimeoutMs, signal});
		if (reply.kind === 'appended') {
			end = reply.offset + 1;
			held = {stored: {lease, offset: reply.offset}, renewedAt: sentAt, disagreements};
			return true;
		}

		if (reply.kind === 'refused') {
			return false;
		}

		// The reply was lost, or another record came first: only the store knows which record stands.
		const standing = await readLease();
		if (standing === undefined) {
			return false;
		}

		const isOwn = standing !== 'none' && standing.lease.incarnation === gateway.incarnation;
		if (isOwn && JSON.stringify(standing.lease) === JSON.stringify(lease)) {
			held = {stored: standing, renewedAt: sentAt, disagreements};
			return true;
		}

		if (!isOwn) {
			lose('another daemon holds it');
			watch = standing === 'none' ? undefined : {offset: standing.offset, seenAt: elapsed()};
		}

		return false;
	};

	const planLease = (lease: Lease): Lease => {
		const now = gateway.clocks.trueTime();
		const current = getWindow(now - reportAfterMs, gateway.settings.bounds.usageWindowMs);
		const oldest = getWindow(now - gateway.settings.bounds.usageLateMs - gateway.settings.bounds.usageWindowMs, gateway.settings.bounds.usageWindowMs);
		const counted = mergeUsage(lease.counted, listUsage(gateway));
		let next = lease;
		for (const window of listDueWindows(lease, current, oldest)) {
			next = withReport(next, {window, counts: sumCounts(Object.values(counted[String(window)] ?? {})), isDelivered: false});
		}

		const orders = [...options.planOrders()];
		return hasSameOrders(next.orders, orders) ? next : {...next, orders};
	};

	const canAct = (): boolean => {
		if (held === undefined) {
			return false;
		}

		return held.disagreements === countDisagreements() && mayActOnLease(held.renewedAt, gateway.settings.bounds.leaseMs, elapsed());
	};

	const noteCloud = <Duty extends 'usage_report' | 'backend_order'>(duty: Duty, reply: CloudReply, fields: FieldsOf<Duty>): void => {
		const outcome = reply.kind === 'failed' ? reply.reason : reply.kind;
		if (reply.kind !== 'failed') {
			options.onCloudAnswer();
		}

		gateway.metrics.duties.inc({duty, outcome: reply.kind});
		gateway.log.write(reply.kind === 'done' ? 'belief' : 'failure', duty, {...fields, outcome});
	};

	const deliverReports = async (): Promise<void> => {
		for (const report of held?.stored.lease.reports ?? []) {
			if (held === undefined || report.isDelivered || !canAct()) {
				continue;
			}

			const fence = getFence(held.stored);
			// eslint-disable-next-line no-await-in-loop -- one call after the other, each under a lease that still stands
			const reply = await platform.cloud.reportUsage({holder: gateway.settings.instance.id, fence}, report.window, report.counts, {timeoutMs: cloudTimeoutMs, signal});
			noteCloud('usage_report', reply, {window: report.window, counts: report.counts, fence});
			if (reply.kind === 'done' && held) {
				const lease = withReport(held.stored.lease, {...report, isDelivered: true});
				held = {...held, stored: {...held.stored, lease}};
			}
		}
	};

	const deliverOrders = async (): Promise<void> => {
		if (elapsed() < cloudPausedUntil) {
			return;
		}

		for (const order of held?.stored.lease.orders ?? []) {
			const before = said.get(toKey(order));
			const isSaid = before?.count === order.count && (options.isFulfilled(order) || elapsed() < before.at + repeatOrderMs);
			if (isSaid || held === undefined || !canAct()) {
				continue;
			}

			const fence = getFence(held.stored);
			// eslint-disable-next-line no-await-in-loop -- one call after the other, each under a lease that still stands
			const reply = await platform.cloud.orderBackends({holder: gateway.settings.instance.id, fence}, order, {timeoutMs: cloudTimeoutMs, signal});
			noteCloud('backend_order', reply, {...order, fence});
			if (reply.kind === 'failed') {
				// The cloud is away or busy: what follows would fail as well, and each call is paid for.
				cloudPausedUntil = elapsed() + cloudPauseMs;
				return;
			}

			said.set(toKey(order), {count: order.count, at: elapsed()});
			if (reply.kind === 'none_offered') {
				options.onRefusedOrder(order);
			} else {
				options.onAcceptedOrder(order);
			}
		}
	};

	const hold = async (): Promise<void> => {
		if (held === undefined) {
			return;
		}

		if (!canAct()) {
			// The instance may have been suspended, and another daemon may have taken over meanwhile.
			// Only the store knows; a lease that is not provably held is given up.
			lose(held.disagreements === countDisagreements() ? 'not renewed in time' : 'the clocks disagree');
			return;
		}

		if (gateway.drainingSince !== undefined) {
			// A successor need not wait for the lease to lapse.
			await write({
				...held.stored.lease, incarnation: nobody, counted: mergeUsage(held.stored.lease.counted, listUsage(gateway)), spent: sumSpent(gateway),
			});
			lose('the daemon is leaving');
			return;
		}

		const planned = planLease(held.stored.lease);
		const {incarnation} = gateway;
		const isChanged = planned !== held.stored.lease;
		if (isChanged || elapsed() >= held.renewedAt + renewEveryMs) {
			const fence = getFence(held.stored);
			const last = planned.reports.at(-1)?.window ?? -1;
			const isStanding = await write({
				...planned,
				holder: gateway.settings.instance.id,
				incarnation,
				fence,
				counted: dropEarlierWindows(mergeUsage(planned.counted, listUsage(gateway)), last + 1),
				spent: sumSpent(gateway),
			});
			if (!isStanding) {
				return;
			}
		}

		await deliverReports();
		await deliverOrders();
	};

	const isHolderHeard = (): boolean => {
		const now = gateway.clocks.steady();
		return [...gateway.peers.values()].some(peer => peer.leaseOffset >= 0 && peer.heardAt >= now - peerSilentMs);
	};

	const seek = async (): Promise<void> => {
		if (isHolderHeard() || gateway.drainingSince !== undefined || gateway.configuration === undefined) {
			watch = undefined;
			return;
		}

		const standing = await readLease();
		if (standing === undefined) {
			return;
		}

		const disagreements = countDisagreements();
		if (standing !== 'none' && (watch?.offset !== standing.offset || watchedAt !== disagreements)) {
			watch = {offset: standing.offset, seenAt: elapsed()};
			watchedAt = disagreements;
		}

		// A record of this daemon's own, or one that its holder gave up, is nobody else's to act on.
		const isFree = standing === 'none' || standing.lease.incarnation === gateway.incarnation || standing.lease.incarnation === nobody;
		const mayTake = isFree || (watch !== undefined && mayTakeLease(watch, gateway.settings.bounds.leaseMs, elapsed()));
		if (!mayTake) {
			return;
		}

		const before = standing === 'none' ? emptyDuties : standing.lease;
		const isTaken = await write({
			...before, holder: gateway.settings.instance.id, incarnation: gateway.incarnation, fence: -1,
		});
		if (isTaken && held) {
			gateway.log.write('belief', 'lease_taken', {fence: getFence(held.stored), before: standing === 'none' ? undefined : standing.lease.holder});
		}
	};

	const run = async (): Promise<void> => {
		while (!signal.aborted) {
			const nextAt = gateway.clocks.steady() + (tickMs * (1 + (held === undefined ? gateway.random() : 0)));
			try {
				// eslint-disable-next-line no-await-in-loop -- one tick after the other
				await (held ? hold() : seek());
			} catch (error) {
				gateway.log.write('failure', 'duty_failed', {error: error instanceof Error ? error.stack : String(error)});
			}

			// eslint-disable-next-line no-await-in-loop -- one tick after the other
			await pauseFor(Math.max(10, nextAt - gateway.clocks.steady()), signal);
		}
	};

	/**
	 * Callers wait until it is known what accounts have spent: all daemons may have ended a second
	 * ago, and in the first 0.3 s a hot account got 270,000 tokens beyond its limit. A store that
	 * is away does not hold callers up for longer.
	 */
	const readSpending = async (): Promise<void> => {
		const giveUpAt = elapsed() + spendingPatienceMs;
		while (!gateway.hasSpending && !signal.aborted) {
			// eslint-disable-next-line no-await-in-loop -- one reading after the other
			const standing = await readLease();
			const isKnown = standing !== undefined || isHolderHeard();
			gateway.hasSpending = isKnown || elapsed() >= giveUpAt;
			if (gateway.hasSpending) {
				gateway.log.write('belief', 'spending_read', {isKnown, inherited: gateway.inherited});
				return;
			}

			await pauseFor(spendingPauseMs, signal); // eslint-disable-line no-await-in-loop
		}
	};

	void readSpending();
	void run();
	return {getLeaseOffset: () => held?.stored.offset ?? -1};
};
