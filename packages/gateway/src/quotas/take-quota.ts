/** Takes the cost of a run from the limit of its client account, or refuses it. */
import {setTimeout as sleep} from 'node:timers/promises';
import {type Account} from '@shallotpass/core/calls/serving-configuration.js';
import {type GatewayState} from '../gateway-state.js';
import {computeCost, type QuotaAsk} from './grant-cost.js';
import {offerCost, type Refused} from './offer-cost.js';

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
	/** Aborted when nobody waits for the answer any more. */
	readonly signal: AbortSignal;
};

const refuseOverLimit = (gateway: GatewayState, account: string, {id}: QuotaCall, refused: Refused): QuotaRefusal => {
	const {cost, room, known, usable, share, waitMs} = refused;
	gateway.log.write('failure', 'limit_reached', {
		request: id, account, cost, room: Math.round(room), known: Math.round(known), share: Number(share.toFixed(3)), usable: Math.round(usable),
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

	const {tokens, rank, signal} = call;
	const cost = computeCost(limit, tokens);
	const ask: QuotaAsk = {
		account: name, tokens, rank, isFirstAsked: true,
	};
	const waitUntil = gateway.clocks.steady() + maxWaitMs;
	let answer = await offerCost(gateway, ask, cost);
	while (answer === undefined && !signal.aborted && gateway.clocks.steady() < waitUntil) {
		await sleep(waitPollMs); // eslint-disable-line no-await-in-loop -- a poll
		answer = await offerCost(gateway, ask, cost); // eslint-disable-line no-await-in-loop -- a poll
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
