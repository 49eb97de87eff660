/**
 * Watches what this daemon knows of the spending of client accounts. The known sum of a window may fall only because spending grows older
 * than the window. If it falls otherwise, spending is forgotten and accounts get more than their limit.
 */
import {computeMaxUsable} from '@shallotpass/core/quotas/compute-ceiling.js';
import {ageSlots, sumSlots} from '@shallotpass/core/quotas/spending.js';
import {sumKnownSpending} from '../calls/take-quota.js';
import {type GatewayState} from '../gateway-state.js';

/** Part of the usable amount by which the known sum may fall unreported: slots are aged by interpolation. */
const toleratedPart = 0.02;

/** Part of the usable amount from which the account is reported as near its limit. */
const nearLimitPart = 0.8;

/** Interval between two reports on the same account. */
const reportIntervalMs = 1000;

type KnownSpending = {
	readonly slots: readonly number[];
	/** On the steady clock, in milliseconds. */
	readonly at: number;
	/** Earliest time of the next report that the account is near its limit. */
	readonly reportAt: number;
};

export type SpendingWatch = {
	/** Compares what is known now with what was known at the last check. */
	readonly check: () => void;
};

export const makeSpendingWatch = (gateway: GatewayState): SpendingWatch => {
	const known = new Map<string, KnownSpending>();
	return {
		check() {
			const {bounds} = gateway.settings;
			const now = gateway.clocks.steady();
			for (const {name, limit} of gateway.configuration?.configuration.accounts ?? []) {
				if (limit === undefined || limit.perSecond <= 0) {
					continue;
				}

				const usable = computeMaxUsable(limit, bounds);
				const {slots, own, inherited, origins, oldestMs} = sumKnownSpending(gateway, name);
				const spent = sumSlots(slots);
				const previous = known.get(name);
				const expected = previous === undefined ? 0 : sumSlots(ageSlots(previous.slots, now - previous.at, bounds.quotaWindowMs));
				const figures = {
					account: name, spent: Math.round(spent), usable: Math.round(usable), own: Math.round(own), inherited: Math.round(inherited), origins, oldestMs: Math.round(oldestMs),
				};
				if (spent < expected - (usable * toleratedPart)) {
					gateway.log.write('state', 'spending_fell', {...figures, expected: Math.round(expected)});
				}

				const isReported = spent >= usable * nearLimitPart && now >= (previous?.reportAt ?? 0);
				if (isReported) {
					gateway.log.write('state', 'account_near_limit', figures);
				}

				known.set(name, {slots, at: now, reportAt: isReported ? now + reportIntervalMs : previous?.reportAt ?? 0});
			}
		},
	};
};
