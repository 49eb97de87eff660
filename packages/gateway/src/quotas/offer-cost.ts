/** Offers the cost of a run to the keepers of its account's limit: first to this daemon's own part, then to others that have room. */
import {type GossipMember} from '@shallotpass/core/gossip/pick-relays.js';
import {listKeepersToAsk} from '@shallotpass/core/quotas/pick-keepers.js';
import {splitCost} from '@shallotpass/core/quotas/split-cost.js';
import {hashText} from '@shallotpass/core/routing/rank-by-rendezvous.js';
import {type GatewayState} from '../gateway-state.js';
import {
	grantCost, type QuotaAnswer, quotaAnswerSchema, type QuotaAsk,
} from './grant-cost.js';

/** Keepers that one call is offered to. */
const maxOffers = 4;

/** A keeper that does not answer is not asked for this time, doubled with each further question up to the longest. */
const avoidSilentMs = 1500;
const maxAvoidSilentMs = 12_000;

/** A keeper that does not grant at the moment is not asked for this time. */
const avoidUnfitMs = 150;

/** A refusal also holds for larger calls within this time, so that an account far over its limit costs few messages. */
const keepRefusalMs = 100;

export type Refused = QuotaAnswer & {readonly kind: 'refused'};

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

export type Offer =
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
export const offerCost = async (gateway: GatewayState, ask: QuotaAsk, cost: number): Promise<Offer | undefined> => {
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
