/**
 * Decides whether a keeper grants the cost of a call. What it grants before the others know of it never exceeds its part of what is left, and the
 * parts sum to 1 at most. So all keepers together grant no more than the limit, however fast the demand grows.
 */
import {sumOthers, sumOwn, sumOwnSince} from './known-spending.js';
import {
	findConfirmedUntil, type KeeperClock, type KeeperState, listHeardPeers,
} from './keeper-state.js';
import {countLosses} from './count-losses.js';
import {type ReserveInput, sumReserves, updateReserves} from './keeper-reserves.js';
import {computeShares, recordAsked} from './keeper-shares.js';
import {makeSpending, recordSpent} from './spending.js';

/** What a keeper may grant of an account's limit. Costs are in cost units. */
export type Standing = {
	/** What it may still grant before it must hear from the others. Negative if it granted more. */
	readonly room: number;
	/** Its part of what is left. */
	readonly share: number;
	/** Spending of all daemons within the window, as far as it is known here. */
	readonly known: number;
	/** What it granted itself and some others may not know. */
	readonly unconfirmed: number;
	/** What is left to keepers that are not heard. */
	readonly reserved: number;
};

export type StandingInput = ReserveInput & {
	/** Maximum that may be granted within the window for calls of any kind. */
	readonly maxUsable: number;
	/** Spending known from daemons that are no keepers, as those of earlier versions. */
	readonly foreign?: number;
};

export const computeStanding = (keeper: KeeperState, input: StandingInput, clock: KeeperClock): Standing => {
	const {account, usable, foreign = 0} = input;
	const heard = listHeardPeers(keeper, clock);
	const {own: share} = computeShares(keeper, account, heard);
	const known = sumOthers(keeper, account, clock) + sumOwn(keeper, account, clock) + foreign;
	const unconfirmed = sumOwnSince(keeper, account, clock, findConfirmedUntil(heard));
	const reserved = sumReserves(keeper, input, clock);
	const left = usable - (known - unconfirmed) - reserved;
	return {
		room: (share * left) - unconfirmed, share, known, unconfirmed, reserved,
	};
};

export type PaymentDecision = Standing & {
	readonly isGranted: boolean;
};

export type PaymentInput = StandingInput & {
	readonly cost: number;
	/** Whether no other keeper has been asked for this call. It is the demand of this one. */
	readonly isFirstAsked: boolean;
};

/** Grants the cost if there is room for it, and records it as spent. */
export const decidePayment = (keeper: KeeperState, {cost, isFirstAsked, ...input}: PaymentInput, clock: KeeperClock): PaymentDecision => {
	const {account} = input;
	if (isFirstAsked) {
		recordAsked(keeper, account, cost, clock);
	}

	updateReserves(keeper, clock);
	countLosses(keeper, account, input.maxUsable, clock);
	const standing = computeStanding(keeper, input, clock);
	const isGranted = cost <= standing.room;
	if (isGranted) {
		const spending = keeper.payments.get(account) ?? makeSpending(keeper.windowMs);
		keeper.payments.set(account, spending);
		recordSpent(spending, cost, clock.steady);
	}

	return {...standing, isGranted};
};
