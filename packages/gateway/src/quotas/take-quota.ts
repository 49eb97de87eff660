/** Takes the cost of a run from the limit of its client account: from this daemon's own part, or from that of a keeper that has room. */
import {setTimeout as sleep} from 'node:timers/promises';
import {type Account} from '@shallotpass/core/calls/serving-configuration.js';
import {type GossipMember} from '@shallotpass/core/gossip/pick-relays.js';
import {listKeepersToAsk} from '@shallotpass/core/quotas/pick-keepers.js';
import {splitCost} from '@shallotpass/core/quotas/split-cost.js';
import {hashText} from '@shallotpass/core/routing/rank-by-rendezvous.js';
import {type GatewayState} from '../gateway-state.js';
import {
	computeCost, grantCost, type QuotaAnswer, quotaAnswerSchema, type QuotaAsk,
} from './grant-cost.js';

/** Keepers that one call is offered to. */
const maxOffers = 4;

/** A keeper that does not answer is not asked for this time, doubled with each further question; one that keeps no limits for the last of these times. */
const avoidSilentMs = 1500;
const maxAvoidSilentMs = 12_000;
const avoidUnfitMs = 150;

/** A refusal also holds for larger calls within this time, so that an account far over its limit costs few messages. */
const keepRefusalMs = 100;

/** When no keeper is ready, as after a restart of all, a call waits for one at most this long. */
const maxWaitMs = 800;
const waitPollMs = 25;

/** Lower bound of Retry-After, in seconds. */
const minRetryAfterS = 0.2;

export type QuotaRefusal = {
	readonly retryAfterS: number;
	/** Whether the account is over its limit. Otherwise no keeper could be asked. */
	readonly isOverLimit: boolean;
};

export type QuotaCall = {
	/** Id of the request, for the log. */
	readonly id: string | undefined;
	/** Prompt and output tokens, 0 if the call states none. */
	readonly tokens: number;
	readonly rank: number;
};

type Refused = QuotaAnswer & {readonly kind: 'refused'};

/** Asks another keeper, unless it has just refused a call that costs no more. */
const askKeeper = async (gateway: GatewayState, keeper: GossipMember, ask: QuotaAsk, cost: number): Promise<QuotaAnswer> => {
	const {quota, clocks, metrics} = gateway;
	const key = `${ask.account}\n${keeper.address}`;
	const earlier = quota.refusals.get(key);
	if (earlier !== undefined && earlier.until > clocks.steady() && cost >= earlier.answer.cost) {
		return earlier.answer;
	}

	try {
		const answer = quotaAnswerSchema.parse(await quota.ask!(keeper, ask));
		metrics.quotaAsks.inc({outcome: answer.kind});
		quota.unanswered.delete(keeper.address);
		if (answer.kind === 'refused') {
			quota.refusals.set(key, {answer, until: clocks.steady() + keepRefusalMs});
		}

		if (answer.kind === 'unfit') {
			quota.avoidedUntil.set(keeper.address, clocks.steady() + avoidUnfitMs);
		}

		return answer;
	} catch (error) {
		metrics.quotaAsks.inc({outcome: 'silent'});
		gateway.log.write('failure', 'quota_keeper_silent', {
			keeper: keeper.id, address: keeper.address, account: ask.account, error: String(error),
		});
		const {count, since} = quota.unanswered.get(keeper.address) ?? {count: 0, since: clocks.steady()};
		quota.unanswered.set(keeper.address, {count: count + 1, since});
		quota.avoidedUntil.set(keeper.address, clocks.steady() + Math.min(maxAvoidSilentMs, avoidSilentMs * (2 ** count)));
		return {kind: 'unfit'};
	}
};

const listOthers = (gateway: GatewayState): GossipMember[] => {
	const {quota, clocks, settings, listMembers} = gateway;
	const self = listMembers().find(({address}) => address === settings.listen.peers);
	if (self === undefined || quota.ask === undefined) {
		return [];
	}

	return listKeepersToAsk(quota.keepers, {self, spread: hashText(self.id)})
		.filter(({address}) => (quota.avoidedUntil.get(address) ?? 0) <= clocks.steady());
};

type Offer =
	| {readonly kind: 'granted'; readonly keeper: string}
	| Refused;

/** A keeper that was asked, `undefined` for this daemon itself, and the room that it stated. */
type AskedKeeper = {
	readonly keeper: GossipMember | undefined;
	readonly room: number;
};

/** Lets several keepers pay together for a call that is too large for each of them. */
const offerParts = async (gateway: GatewayState, ask: QuotaAsk, cost: number, asked: readonly AskedKeeper[]): Promise<Offer | undefined> => {
	const amounts = splitCost(cost, asked.map(({room}) => room));
	const payers: string[] = [];
	for (const [index, {keeper}] of amounts === undefined ? [] : asked.entries()) {
		const amount = amounts![index]!;
		if (amount === 0) {
			continue;
		}

		const part = {...ask, isFirstAsked: false, amount};
		const answer = keeper === undefined ? grantCost(gateway, part) : await askKeeper(gateway, keeper, part, amount); // eslint-disable-line no-await-in-loop -- if one refuses, the others need not pay
		if (answer.kind !== 'granted') {
			return undefined;
		}

		payers.push(keeper?.id ?? gateway.settings.instance.id);
	}

	return payers.length > 0 ? {kind: 'granted', keeper: payers.join(' ')} : undefined;
};

/** Offers the call to this daemon's own part, then to other keepers. Returns undefined if no keeper could be asked. */
const offer = async (gateway: GatewayState, ask: QuotaAsk, cost: number): Promise<Offer | undefined> => {
	let best: Refused | undefined;
	const own = grantCost(gateway, ask);
	if (own.kind === 'granted') {
		return {kind: 'granted', keeper: gateway.settings.instance.id};
	}

	let isFirstAsked = own.kind === 'unfit';
	best = own.kind === 'refused' ? own : undefined;
	const asked: AskedKeeper[] = own.kind === 'refused' ? [{keeper: undefined, room: own.room}] : [];
	for (const keeper of listOthers(gateway).slice(0, maxOffers - Number(own.kind === 'refused'))) {
		const answer = await askKeeper(gateway, keeper, {...ask, isFirstAsked}, cost); // eslint-disable-line no-await-in-loop -- one after the other, as the first usually grants
		if (answer.kind === 'granted') {
			return {kind: 'granted', keeper: keeper.id};
		}

		if (answer.kind === 'refused') {
			asked.push({keeper, room: answer.room});
		}

		isFirstAsked &&= answer.kind === 'unfit';
		best = answer.kind === 'refused' && (best === undefined || answer.waitMs < best.waitMs) ? answer : best;
	}

	return await offerParts(gateway, ask, cost, asked) ?? best;
};

const refuseOverLimit = (gateway: GatewayState, account: string, {id}: QuotaCall, refused: Refused): QuotaRefusal => {
	const {cost, room, known, usable, share, waitMs} = refused;
	gateway.log.write('failure', 'limit_reached', {
		request: id, account, cost, room: Math.round(room), known: Math.round(known), usable: Math.round(usable), share: Number(share.toFixed(3)),
	});
	// Callers that retry at the same time would compete for the same remaining quota.
	const jitter = 0.75 + (gateway.random() / 2);
	return {retryAfterS: Math.max(minRetryAfterS, waitMs * jitter / 1000), isOverLimit: true};
};

/** Takes the cost of one run of a call. Returns undefined if it is granted. */
export const takeQuota = async (gateway: GatewayState, {limit, name}: Account, call: QuotaCall): Promise<QuotaRefusal | undefined> => {
	if (limit === undefined || limit.perSecond <= 0) {
		return undefined;
	}

	const {tokens, rank} = call;
	const cost = computeCost(limit, tokens);
	const ask: QuotaAsk = {
		account: name, tokens, rank, isFirstAsked: true,
	};
	const waitUntil = gateway.clocks.steady() + maxWaitMs;
	let answer = await offer(gateway, ask, cost);
	while (answer === undefined && gateway.clocks.steady() < waitUntil) {
		await sleep(waitPollMs); // eslint-disable-line no-await-in-loop -- a poll
		answer = await offer(gateway, ask, cost); // eslint-disable-line no-await-in-loop -- a poll
	}

	if (answer === undefined) {
		gateway.log.write('failure', 'quota_unknown', {
			request: call.id, account: name, cost, isKeeper: gateway.quota.isKeeper, isSettled: gateway.quota.keeper.isSettled,
		});
		return {retryAfterS: minRetryAfterS, isOverLimit: false};
	}

	if (answer.kind === 'refused') {
		return refuseOverLimit(gateway, name, call, answer);
	}

	gateway.log.write('routine', 'quota_granted', {
		request: call.id, account: name, cost, keeper: answer.keeper,
	});
	return undefined;
};
