/** Holds client accounts to their limits over all daemons. */
import {type Account, type AccountLimit} from '@shallotpass/core/calls/serving-configuration.js';
import {needsRelays} from '@shallotpass/core/news/pick-relays.js';
import {computeShare, openBucket, takeFromBucket} from '@shallotpass/core/quotas/account-share.js';
import {
	hasHeadroom, noteSpent, openSpending, readSpent, sumLivingSlots, sumSlots,
} from '@shallotpass/core/quotas/spending.js';
import {countDaemons, type GatewayState, peerSilentMs} from './gateway-state.js';
import {type CallerHead} from './ports.js';

/** Part of what a limit may be exceeded by that is used as a larger burst; the rest covers calls that overdraw a daemon's share. */
const usedPartOfSlack = 0.5;

/** Shortest time after which a refused caller is told to come back, in seconds. */
const leastRetryAfterS = 0.2;

const computeCallCost = (limit: AccountLimit, head: CallerHead): number => {
	if (!limit.countsTokens) {
		return 1;
	}

	return head.promptTokens === undefined ? limit.plainCost : head.promptTokens + (head.outputTokens ?? 0);
};

const getSpending = (gateway: GatewayState, account: string) => {
	const spending = gateway.spending.get(account) ?? openSpending(gateway.settings.bounds.quotaWindowMs);
	gateway.spending.set(account, spending);
	return spending;
};

/**
 * What the account spent before the daemons that run now were started. While that still counts,
 * this daemon's own share must not be used beside it.
 */
const getInherited = (gateway: GatewayState, account: string): number => {
	const {inherited, startedAt, settings} = gateway;
	const isNew = gateway.clocks.steady() < startedAt + settings.bounds.quotaWindowMs;
	if (!isNew || inherited === undefined) {
		return 0;
	}

	return sumLivingSlots(inherited.spent[account] ?? [], gateway.clocks.trueTime() - inherited.at, settings.bounds.quotaWindowMs);
};

export type QuotaRefusal = {
	readonly retryAfterS: number;
};

/** Takes the cost of a call; undefined when it is admitted. */
export const takeQuota = (gateway: GatewayState, account: Account, head: CallerHead): QuotaRefusal | undefined => {
	const {limit, name} = account;
	if (limit === undefined || limit.perSecond <= 0) {
		return undefined;
	}

	const now = gateway.clocks.steady();
	const {quotaWindowMs, quotaOvershoot, quotaSlack} = gateway.settings.bounds;
	const cost = computeCallCost(limit, head);
	const peers = [...gateway.peers.values()];
	const heard = peers.filter(peer => peer.heardAt >= now - peerSilentMs);
	const ownDemand = gateway.buckets.get(name)?.demand ?? 0;
	const otherDemands = heard.map(peer => peer.demands[name] ?? 0);
	const share = computeShare({ownDemand, otherDemands, daemons: countDaemons(gateway)});
	const allowance = (limit.perSecond * quotaWindowMs / 1000) + limit.burst;
	const extra = (allowance * quotaOvershoot) + (limit.countsTokens ? quotaSlack : 0);
	const rate = {perSecond: limit.perSecond, burst: limit.burst + (extra * usedPartOfSlack), share};
	const spending = getSpending(gateway, name);
	const inheritedSpent = getInherited(gateway, name);
	const isOpen = hasHeadroom({
		ownSpent: readSpent(spending, now),
		otherSpent: heard.map(peer => sumSlots(peer.spent[name])),
		inheritedSpent,
		heardDaemons: countDaemons(gateway),
		silentDaemons: peers.reduce((sum, peer) => sum + peer.daemons, 1) - countDaemons(gateway),
		cost,
		demand: otherDemands.reduce((sum, demand) => sum + demand, ownDemand),
		isThroughRelays: needsRelays(countDaemons(gateway)),
		ceiling: allowance + extra,
	});
	const verdict = takeFromBucket(gateway.buckets.get(name) ?? openBucket(rate, now), rate, {
		cost, now, isOpen, random: gateway.random,
	});
	gateway.buckets.set(name, verdict.bucket);
	const isAdmitted = inheritedSpent > allowance / 2 ? isOpen : verdict.isAdmitted;
	if (isAdmitted) {
		noteSpent(spending, cost, now);
		return undefined;
	}

	gateway.log.write('failure', 'limit_reached', {
		request: head.id, account: name, cost, share: Number(share.toFixed(3)), level: Math.round(verdict.bucket.level), own: Math.round(readSpent(spending, now)),
		others: heard.reduce((sum, peer) => sum + sumSlots(peer.spent[name]), 0), allowance: Math.round(allowance), daemons: countDaemons(gateway),
	});
	return {retryAfterS: Math.max(leastRetryAfterS, (verdict.retryAt - now) / 1000)};
};
