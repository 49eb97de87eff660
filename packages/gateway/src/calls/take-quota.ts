/** Enforces the limits of client accounts across all daemons. */
import {type Account, type AccountLimit} from '@shallotpass/core/calls/serving-configuration.js';
import {computeUsable, type LimitedCall} from '@shallotpass/core/quotas/compute-ceiling.js';
import {needsRelays} from '@shallotpass/core/gossip/pick-relays.js';
import {
	recordDemand, makeBucket, computeDemand, takeFromBucket,
} from '@shallotpass/core/quotas/account-bucket.js';
import {
	computeBucketRefill, computeRemainingBudget, estimateWait, hasBudget, type SpendingView,
} from '@shallotpass/core/quotas/account-budget.js';
import {
	addSlots, ageSlots, recordSpent, makeSpending, computeSpentSlots, sumSlots,
} from '@shallotpass/core/quotas/spending.js';
import {countDaemons, type GatewayState, peerExpiryMs} from '../gateway-state.js';
import {type CallerHeaders} from '../ports.js';

/** Milliseconds until the other daemons know what this daemon spends: one and a third gossip rounds, or two to three rounds through relays. */
const gossipDelayMs = 400;
const relayedGossipDelayMs = 1000;

/** Lower bound of Retry-After, in seconds. */
const minRetryAfterS = 0.2;

const computeCallCost = (limit: AccountLimit, head: CallerHeaders): number => {
	if (!limit.countsTokens) {
		return 1;
	}

	return head.promptTokens === undefined ? limit.plainCost : head.promptTokens + (head.outputTokens ?? 0);
};

const getSpending = (gateway: GatewayState, account: string) => {
	const spending = gateway.spending.get(account) ?? makeSpending(gateway.settings.bounds.quotaWindowMs);
	gateway.spending.set(account, spending);
	return spending;
};

/** Returns what the account spent before the running daemons were started, as far as it still counts in the window. */
const getInheritedSpending = (gateway: GatewayState, account: string): readonly number[] => {
	const {inherited, startedAt, settings} = gateway;
	const isRecentlyStarted = gateway.clocks.steady() < startedAt + settings.bounds.quotaWindowMs;
	if (!isRecentlyStarted || inherited === undefined) {
		return [];
	}

	return ageSlots(inherited.spent[account] ?? [], gateway.clocks.trueTime() - inherited.at, settings.bounds.quotaWindowMs);
};

export type KnownSpending = {
	/** Cost units spent in each slot of the window on all daemons, newest first. */
	readonly slots: readonly number[];
	/** Cost units spent on this daemon. */
	readonly own: number;
	/** Cost units spent before the running daemons started. */
	readonly inherited: number;
	/** Number of reports of other daemons, or of sums over several, that are counted. */
	readonly origins: number;
	/** Age of the oldest of these reports, in milliseconds. */
	readonly oldestMs: number;
};

/** Sums what this daemon knows of the account's spending. */
export const sumKnownSpending = (gateway: GatewayState, account: string): KnownSpending => {
	const now = gateway.clocks.steady();
	const own = computeSpentSlots(getSpending(gateway, account), now);
	const inherited = getInheritedSpending(gateway, account);
	const activePeers = [...gateway.peers.values()].filter(peer => peer.receivedAt >= now - peerExpiryMs);
	return {
		slots: addSlots([own, inherited, ...activePeers.map(peer => peer.spent[account])]),
		own: sumSlots(own),
		inherited: sumSlots(inherited),
		origins: activePeers.length,
		oldestMs: Math.max(0, ...activePeers.map(({receivedAt}) => now - receivedAt)),
	};
};

const makeSpendingView = (gateway: GatewayState, {name, limit, call}: {name: string; limit: AccountLimit; call: LimitedCall}): SpendingView => {
	const now = gateway.clocks.steady();
	const {bounds} = gateway.settings;
	const peers = [...gateway.peers.values()];
	const activePeers = peers.filter(peer => peer.receivedAt >= now - peerExpiryMs);
	const daemons = countDaemons(gateway);
	const bucket = gateway.buckets.get(name);
	return {
		usable: computeUsable(limit, bounds, call),
		windowMs: bounds.quotaWindowMs,
		spent: sumSlots(sumKnownSpending(gateway, name).slots),
		ownDemand: bucket === undefined ? 0 : computeDemand(bucket, now),
		otherDemands: activePeers.map(peer => peer.demands[name] ?? 0),
		reportingDaemons: daemons,
		silentDaemons: peers.reduce((sum, peer) => sum + peer.daemons + peer.silentDaemons, 1) - daemons,
		gossipDelayMs: needsRelays(daemons) ? relayedGossipDelayMs : gossipDelayMs,
	};
};

export type QuotaRefusal = {
	readonly retryAfterS: number;
};

export type QuotaCall = {
	readonly head: CallerHeaders;
	readonly rank: number;
};

/** Takes the cost of a call from the account's quota. Returns undefined if the call is admitted. */
export const takeQuota = (gateway: GatewayState, account: Account, {head, rank}: QuotaCall): QuotaRefusal | undefined => {
	const {limit, name} = account;
	if (limit === undefined || limit.perSecond <= 0) {
		return undefined;
	}

	const now = gateway.clocks.steady();
	const cost = computeCallCost(limit, head);
	gateway.buckets.set(name, recordDemand(gateway.buckets.get(name) ?? makeBucket(now), cost, now));
	const view = makeSpendingView(gateway, {name, limit, call: {cost, rank}});
	const refill = computeBucketRefill(view);
	const decision = takeFromBucket(gateway.buckets.get(name)!, {
		cost, now, isUnrestricted: hasBudget(view, cost), refill, random: gateway.random,
	});
	gateway.buckets.set(name, decision.bucket);
	if (decision.isAdmitted) {
		recordSpent(getSpending(gateway, name), cost, now);
		return undefined;
	}

	gateway.log.write('failure', 'limit_reached', {
		request: head.id, account: name, cost, room: Math.round(computeRemainingBudget(view)), level: Math.round(decision.bucket.level),
		asked: Math.round(sumSlots(view.otherDemands)), daemons: view.reportingDaemons,
	});
	// Callers that retry at the same time would compete for the same remaining quota.
	const jitter = 0.75 + (gateway.random() / 2);
	return {retryAfterS: Math.max(minRetryAfterS, estimateWait(view, cost) * jitter / 1000)};
};
