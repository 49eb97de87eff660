/** Grants the cost of a call as a keeper of its account's limit, for this daemon's own calls and those of others. */
import {
	amountSchema, boundedSchema, maxAmount, spanSchema,
} from '@shallotpass/common/value-bounds.js';
import {getOwn} from '@shallotpass/common/records.js';
import {type AccountLimit} from '@shallotpass/core/calls/serving-configuration.js';
import {computeMaxUsable, computeUsable} from '@shallotpass/core/quotas/compute-ceiling.js';
import {decidePayment, type Standing} from '@shallotpass/core/quotas/decide-payment.js';
import {estimateWait} from '@shallotpass/core/quotas/estimate-wait.js';
import {sumSlots} from '@shallotpass/core/quotas/spending.js';
import {
	isIntroducing, trySettle, unsettle, wasPaused,
} from '@shallotpass/core/quotas/settle-keeper.js';
import * as z from 'zod';
import {type GatewayState, peerExpiryMs} from '../gateway-state.js';
import {readKeeperClock} from './quota-state.js';

export const quotaAskSchema = z.object({
	account: z.string(),
	/** Prompt and output tokens of the call, 0 if it states none. */
	tokens: amountSchema,
	/** 0 is the most urgent. */
	rank: boundedSchema,
	/** Whether no other keeper was asked before. */
	isFirstAsked: z.boolean(),
	/** Cost units to grant, if several keepers pay for the call together. Otherwise its whole cost. */
	amount: z.number().positive().max(maxAmount).optional(),
});

export type QuotaAsk = z.infer<typeof quotaAskSchema>;

export const quotaAnswerSchema = z.discriminatedUnion('kind', [
	z.object({kind: z.literal('granted')}),
	z.object({
		kind: z.literal('refused'),
		cost: amountSchema,
		/** Time until the call is likely to be granted, in milliseconds. */
		waitMs: spanSchema,
		room: boundedSchema,
		known: boundedSchema,
		usable: boundedSchema,
		share: boundedSchema,
	}),
	/** The daemon keeps no limits, or must hear the other keepers first. */
	z.object({kind: z.literal('unfit')}),
]);

export type QuotaAnswer = z.infer<typeof quotaAnswerSchema>;

/** Returns the cost of a call in the units of the limit. */
export const computeCost = (limit: AccountLimit, tokens: number): number => {
	if (!limit.countsTokens) {
		return 1;
	}

	return tokens > 0 ? tokens : limit.plainCost;
};

/** Sums what daemons of earlier versions spent. They count for themselves, and say so in their gossip reports only. */
const sumForeignSpending = ({peers, clocks}: GatewayState, account: string): number => {
	const since = clocks.steady() - peerExpiryMs;
	let sum = 0;
	for (const peer of peers.values()) {
		sum += peer.keepsQuotas === undefined && peer.daemons === 1 && peer.receivedAt >= since ? sumSlots(getOwn(peer.spent, account)) : 0;
	}

	return sum;
};

/** Settles this daemon as a keeper if it can. Returns whether it may grant. */
export const settle = (gateway: GatewayState): boolean => {
	const {quota, clocks, settings} = gateway;
	const {keeper, hasUnheardKeepers} = quota;
	const clock = readKeeperClock(clocks);
	if (!quota.isKeeper) {
		return false;
	}

	if (wasPaused(keeper, clock)) {
		gateway.log.write('state', 'quotas_unsettled', {pausedMs: Math.round(clock.steady - keeper.reportedAt)});
		unsettle(keeper, clock);
	}

	const wasSettled = keeper.isSettled;
	const isFirstTime = clock.steady < keeper.startedAt + settings.bounds.quotaWindowMs && keeper.payments.size === 0;
	const {inherited} = gateway;
	const isSettled = trySettle(keeper, {
		record: isFirstTime ? inherited : {kind: 'none'},
		hasUnheard: hasUnheardKeepers,
	}, clock);
	if (isSettled && !wasSettled) {
		gateway.log.write('state', 'quotas_settled', {keepers: keeper.peers.size + 1, tookMs: Math.round(clock.trueTime - keeper.unsettledSince), hasRecord: keeper.departed.has('record')});
	}

	return isSettled;
};

const toAnswer = ({room, known, share, reserved}: Standing, {cost, usable, windowMs}: {readonly cost: number; readonly usable: number; readonly windowMs: number}): QuotaAnswer => ({
	kind: 'refused',
	cost,
	waitMs: estimateWait({
		known, reserved, share, usable, windowMs,
	}, cost),
	room,
	known,
	usable,
	share,
});

/** Grants the cost of a call if this daemon's part of the limit has room for it. */
export const grantCost = (gateway: GatewayState, {account, tokens, rank, isFirstAsked, amount}: QuotaAsk): QuotaAnswer => {
	const {quota: {keeper, unheardShare, hasUnheardKeepers}, settings: {bounds}} = gateway;
	const limit = gateway.configuration?.accountsByName.get(account)?.limit;
	if (limit === undefined || !settle(gateway)) {
		return {kind: 'unfit'};
	}

	const cost = computeCost(limit, tokens);
	const usable = computeUsable(limit, bounds, {cost, rank});
	const decision = decidePayment(keeper, {
		account, usable, maxUsable: computeMaxUsable(limit, bounds), cost: amount ?? cost, isFirstAsked, unheardShare, foreign: sumForeignSpending(gateway, account),
	}, readKeeperClock(gateway.clocks));
	if (decision.isGranted) {
		return {kind: 'granted'};
	}

	return isIntroducing(keeper, hasUnheardKeepers, readKeeperClock(gateway.clocks))
		? {kind: 'unfit'}
		: toAnswer(decision, {cost, usable, windowMs: bounds.quotaWindowMs});
};
