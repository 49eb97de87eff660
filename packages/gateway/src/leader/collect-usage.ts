/** Collects the usage and spending of all daemons for the lease record, from this daemon's own counts and the reports of its peers. */
import {type Lease} from '@shallotpass/core/lease/lease.js';
import {computeDemand} from '@shallotpass/core/quotas/account-bucket.js';
import {computeMaxUsable} from '@shallotpass/core/quotas/compute-ceiling.js';
import {predictSlots, computeSpentSlots} from '@shallotpass/core/quotas/spending.js';
import {mergeUsage, type UsageTable} from '@shallotpass/core/usage/count-starts.js';
import {type GatewayState} from '../gateway-state.js';

/**
 * Longest delay between a call and the record that includes it: 0.3 s for the peer reports and 0.9 s for the renewal of the lease.
 * The record includes in advance what accounts may spend during this time.
 */
const recordDelayMs = 1200;

/** Counts the calls that each account started in each usage window, as seen by this daemon and its known peers. The lease record holds the counts of daemons that have stopped. */
export const collectUsage = (gateway: GatewayState): UsageTable => {
	let table: UsageTable = Object.fromEntries([...gateway.usage].map(([window, counts]) => [window, {[gateway.incarnation]: counts}]));
	for (const {usage} of gateway.peers.values()) {
		table = mergeUsage(table, usage);
	}

	return table;
};

/**
 * Computes what each account has spent on all daemons, for each slot of the quota window. The result is projected `recordDelayMs`
 * ahead, because a record written now may remain the newest one until then.
 */
export const projectSpending = (gateway: GatewayState): Lease['spent'] => {
	const now = gateway.clocks.steady();
	const slotsByAccount: Record<string, number[]> = {};
	const ownSlots = Object.fromEntries([...gateway.spending].map(([account, spending]) => [account, computeSpentSlots(spending, now).map(cost => Math.round(cost))]));
	for (const spent of [ownSlots, ...[...gateway.peers.values()].map(peer => peer.spent)]) {
		for (const [account, slots] of Object.entries(spent)) {
			slotsByAccount[account] = slots.map((cost, index) => cost + (slotsByAccount[account]?.[index] ?? 0));
		}
	}

	const demandByAccount = new Map<string, number>();
	const reportedDemands = [
		...[...gateway.buckets].map(([account, bucket]) => [account, computeDemand(bucket, now)] as const),
		...[...gateway.peers.values()].flatMap(peer => Object.entries(peer.demands)),
	];
	for (const [account, demand] of reportedDemands) {
		demandByAccount.set(account, (demandByAccount.get(account) ?? 0) + demand);
	}

	const {bounds} = gateway.settings;
	for (const {name, limit} of gateway.configuration?.configuration.accounts ?? []) {
		const slots = slotsByAccount[name];
		if (limit !== undefined && slots !== undefined) {
			slotsByAccount[name] = predictSlots({
				slots, demand: demandByAccount.get(name) ?? 0, usable: computeMaxUsable(limit, bounds), aheadMs: recordDelayMs, windowMs: bounds.quotaWindowMs,
			}).map(cost => Math.round(cost));
		}
	}

	return {at: Math.round(gateway.clocks.trueTime() + recordDelayMs), accounts: slotsByAccount};
};
