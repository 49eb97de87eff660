/** Collects the usage and spending of all daemons for the lease record, from this daemon's own counts and the reports of its peers. */
import {type Lease} from '@shallotpass/core/lease/lease.js';
import {listHeardPeers} from '@shallotpass/core/quotas/keeper-state.js';
import {collectKnown} from '@shallotpass/core/quotas/known-spending.js';
import {
	type AccountFigures, convertEvenSlots, makeRecordedSpending, readRecordedSlots,
} from '@shallotpass/core/quotas/recorded-spending.js';
import {isOlderThanWindow} from '@shallotpass/core/quotas/settle-keeper.js';
import {type SlotAmounts, sumAmounts} from '@shallotpass/core/quotas/slot-amounts.js';
import {computeMaxUsable} from '@shallotpass/core/quotas/compute-ceiling.js';
import {predictSlots, computeSpentSlots} from '@shallotpass/core/quotas/spending.js';
import {listOwnCounts, mergeUsage, type UsageTable} from '@shallotpass/core/usage/count-starts.js';
import {type GatewayState} from '../gateway-state.js';
import {readKeeperClock} from '../quotas/quota-state.js';
import {sumDemands} from '../quotas/sum-demands.js';

/**
 * Longest delay between a call and the record that includes it: 0.3 s for the peer reports and 0.9 s for the renewal of the lease.
 * The record includes in advance what accounts may spend during this time.
 */
const recordDelayMs = 1200;

/** Counts the calls that each account started in each usage window, as seen by this daemon and its known peers. The lease record holds the counts of daemons that have stopped. */
export const collectUsage = (gateway: GatewayState): UsageTable => {
	let table: UsageTable = Object.fromEntries(listOwnCounts(gateway.usage).map(([window, counts]) => [window, {[gateway.incarnation]: counts}]));
	for (const {usage} of gateway.peers.values()) {
		table = mergeUsage(table, usage);
	}

	return table;
};

type AccountSlots = Map<string, number[]>;

/** Sums what each account has spent on all daemons in each slot of the quota window, by the reports of gossip. */
const sumReportedSlots = (gateway: GatewayState): AccountSlots => {
	const now = gateway.clocks.steady();
	const ownSlots = Object.fromEntries([...gateway.quota.keeper.payments].map(([account, spending]) => [account, computeSpentSlots(spending, now).map(cost => Math.round(cost))]));
	const sums: AccountSlots = new Map();
	for (const spent of [ownSlots, ...[...gateway.peers.values()].map(peer => peer.spent)]) {
		for (const [account, slots] of Object.entries(spent)) {
			const known = sums.get(account);
			sums.set(account, slots.map((cost, index) => cost + (known?.[index] ?? 0)));
		}
	}

	return sums;
};

/**
 * Replaces the slots up to those that the record held at the start by the record's, if it tells of more. Until a keeper has settled nobody else
 * knows them, and a record without them would tell the next daemons that nothing was spent. They are not added up, as peers that have
 * not ended report the same spending.
 */
const withInherited = (gateway: GatewayState, account: string, known: SlotAmounts): SlotAmounts => {
	const {inherited, clocks, quota: {keeper: {startedAt, windowMs}}} = gateway;
	if (inherited.kind !== 'read') {
		return known;
	}

	const {steady, trueTime} = readKeeperClock(clocks);
	const told = readRecordedSlots(inherited.spending, account, {windowMs, endedBy: trueTime - (steady - startedAt)});
	const lastSlot = Math.max(...told.keys());
	const earlier = new Map([...known].filter(([slot]) => slot <= lastSlot));
	const sum = (amounts: SlotAmounts): number => sumAmounts(amounts, trueTime, windowMs);
	return sum(told) > sum(earlier) ? new Map([...told, ...[...known].filter(([slot]) => slot > lastSlot)]) : known;
};

/** Returns what is known of the account: by a keeper from reports of keepers, by other daemons from those of gossip, whichever knows more. */
const collectAccount = (gateway: GatewayState, account: string, slots: readonly number[]): SlotAmounts => {
	const {quota: {keeper}, clocks} = gateway;
	const clock = readKeeperClock(clocks);
	const kept = collectKnown(keeper, account, clock);
	const converted = convertEvenSlots({at: clock.trueTime, accounts: {[account]: slots}}, keeper.windowMs);
	const reported = readRecordedSlots(converted, account, {windowMs: keeper.windowMs, endedBy: clock.trueTime});
	const sum = (amounts: SlotAmounts): number => sumAmounts(amounts, clock.trueTime, keeper.windowMs);
	return withInherited(gateway, account, sum(kept) >= sum(reported) ? kept : reported);
};

/** Whether a keeper has told what was spent, so that the record is not needed. */
export const isToldByKeepers = ({quota, clocks}: GatewayState): boolean => listHeardPeers(quota.keeper, readKeeperClock(clocks)).some(({isSettled}) => isSettled);

/** Whether earlier processes may have spent what this daemon doesn't know: its record could not be read, and no keeper has told it. */
const isSpendingIncomplete = (gateway: GatewayState): boolean => {
	const {inherited, quota: {keeper}, clocks} = gateway;
	return inherited.kind === 'unknown' && !keeper.isSettled && !isToldByKeepers(gateway) && !isOlderThanWindow(keeper, readKeeperClock(clocks));
};

/**
 * Computes what each account has spent on all daemons, for the record that they read after an end of all. It is projected `recordDelayMs`
 * ahead, because a record written now may remain the newest one until then.
 */
export const projectSpending = (gateway: GatewayState): Lease['spent'] => {
	const {bounds} = gateway.settings;
	const {trueTime} = readKeeperClock(gateway.clocks);
	const slotsByAccount = sumReportedSlots(gateway);
	const demands = sumDemands(gateway);
	const figures = new Map<string, AccountFigures>();
	for (const {name, limit} of gateway.configuration?.configuration.accounts ?? []) {
		const slots = slotsByAccount.get(name) ?? [];
		if (limit === undefined || limit.perSecond <= 0) {
			continue;
		}

		const usable = computeMaxUsable(limit, bounds);
		const demand = demands.get(name) ?? 0;
		const known = collectAccount(gateway, name, slots);
		figures.set(name, {known, demand, left: usable - sumAmounts(known, trueTime, bounds.quotaWindowMs)});
		slotsByAccount.set(name, predictSlots({
			slots, demand, usable, aheadMs: recordDelayMs, windowMs: bounds.quotaWindowMs,
		}).map(cost => Math.round(cost)));
	}

	const recorded = makeRecordedSpending(figures, {at: Math.round(trueTime), windowMs: bounds.quotaWindowMs, expectedMs: recordDelayMs});
	return {
		at: Math.round(trueTime + recordDelayMs), accounts: Object.fromEntries(slotsByAccount), recorded, ...(isSpendingIncomplete(gateway) && {isIncomplete: true}),
	};
};
