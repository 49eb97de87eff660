/**
 * Watches what a keeper knows of the spending of client accounts. The known spending of a past moment may fall only because it grows older
 * than the window. If it falls otherwise, spending is forgotten and accounts get more than their limit.
 */
import {computeMaxUsable} from '@shallotpass/core/quotas/compute-ceiling.js';
import {countLosses} from '@shallotpass/core/quotas/count-losses.js';
import {computeStanding} from '@shallotpass/core/quotas/decide-payment.js';
import {isHeard} from '@shallotpass/core/quotas/keeper-state.js';
import {collectKnown, sumOwn} from '@shallotpass/core/quotas/known-spending.js';
import {
	dropExpiredSlots, type SlotAmounts, slotsPerWindow, sumAmounts,
} from '@shallotpass/core/quotas/slot-amounts.js';
import {type GatewayState} from '../gateway-state.js';
import {readKeeperClock} from './quota-state.js';

/** Part of the usable amount from which the account is reported as near its limit. */
const nearLimitPart = 0.8;

/** Interval between two reports on the same account. */
const reportIntervalMs = 1000;

/** Smallest fall of the known spending that is reported, as a part of the usable amount. */
const reportedFallPart = 0.01;

export type SpendingWatch = {
	/** Compares what is known now with what was known at the last check. */
	readonly check: () => void;
};

/** Sums by how much slots of the window are smaller than they were. */
const sumFalls = (before: SlotAmounts, now: SlotAmounts): number => {
	let sum = 0;
	for (const [slot, amount] of before) {
		sum += Math.max(0, amount - (now.get(slot) ?? 0));
	}

	return sum;
};

export const makeSpendingWatch = (gateway: GatewayState): SpendingWatch => {
	const knownBefore = new Map<string, SlotAmounts>();
	const reportAt = new Map<string, number>();

	const check = (account: string, usable: number): void => {
		const {keeper} = gateway.quota;
		const clock = readKeeperClock(gateway.clocks);
		countLosses(keeper, account, usable, clock);
		const amounts = collectKnown(keeper, account, clock);
		const known = sumAmounts(amounts, clock.trueTime, keeper.windowMs);
		const before: SlotAmounts = new Map(knownBefore.get(account));
		// What this keeper granted leaves its slot one by one.
		dropExpiredSlots(before, clock.trueTime + (keeper.windowMs / slotsPerWindow), keeper.windowMs);
		const fell = sumFalls(before, amounts);
		knownBefore.set(account, amounts);
		const peers = [...keeper.peers.values()];
		const isNear = known >= usable * nearLimitPart && clock.steady >= (reportAt.get(account) ?? 0);
		const hasFallen = fell > usable * reportedFallPart;
		if (!isNear && !hasFallen) {
			return;
		}

		const standing = computeStanding(keeper, {
			account, usable, maxUsable: usable, unheardShare: gateway.quota.unheardShare,
		}, clock);
		const figures = {
			account,
			known: Math.round(known),
			usable: Math.round(usable),
			own: Math.round(sumOwn(keeper, account, clock)),
			unconfirmed: Math.round(standing.unconfirmed),
			reserved: Math.round(standing.reserved),
			share: Number(standing.share.toFixed(3)),
			heard: peers.filter(peer => isHeard(peer, clock)).length,
			origins: peers.length + keeper.departed.size,
		};
		if (hasFallen) {
			gateway.log.write('failure', 'spending_fell', {...figures, fell: Math.round(fell)});
		}

		if (isNear) {
			reportAt.set(account, clock.steady + reportIntervalMs);
			gateway.log.write('state', 'account_near_limit', figures);
		}
	};

	return {
		check() {
			for (const {name, limit} of gateway.configuration?.configuration.accounts ?? []) {
				if (limit !== undefined && limit.perSecond > 0) {
					check(name, computeMaxUsable(limit, gateway.settings.bounds));
				}
			}
		},
	};
};
