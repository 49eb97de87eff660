/**
 * Permits to send a call to a backend server, directly or through a peer. A call that may have arrived at one before needs
 * a repeat of the limit for each further send. Requests can't be opened without a permit, and only this module makes them.
 */
import {type Call} from '@shallotpass/core/calls/types.js';
import {
	computeMaxRepeats, countRepeats, returnRepeat, settleRepeat, takeRepeat,
} from '@shallotpass/core/retries/repeat-account.js';
import {type GatewayState} from '../gateway-state.js';
import {type CallProgress} from './call-progress.js';
import {getRepeatAccount, getRepeatLimit} from './repeat-limit.js';

const permitBrand = Symbol('permit to send');

export type SendPermit = {
	readonly [permitBrand]: 'first_send' | 'repeat';
};

const firstSend: SendPermit = {[permitBrand]: 'first_send'};

const recordDenial = (gateway: GatewayState, {id, service}: Call): void => {
	const now = gateway.clocks.steady();
	const account = getRepeatAccount(gateway, service);
	const limit = getRepeatLimit(gateway);
	gateway.metrics.repeats.inc({service, outcome: 'denied'});
	gateway.log.write('failure', 'repeat_denied', {
		request: id, service, repeats: countRepeats(account, limit, now), underWay: account.underWay, allowed: Math.round(computeMaxRepeats(account, limit, now) * 10) / 10,
		calls: account.calls.length, daemons: limit.daemons, inheritsMs: Math.max(0, Math.round(limit.inheritsUntil - now)),
	});
};

/** Whether the limit, or a share of it, leaves a repeat. */
export const hasRepeatLeft = (gateway: GatewayState, {service}: Call, share = 1): boolean => {
	const now = gateway.clocks.steady();
	const account = getRepeatAccount(gateway, service);
	const limit = getRepeatLimit(gateway);
	return countRepeats(account, limit, now) + 1 <= share * computeMaxRepeats(account, limit, now);
};

/** Share of the limit of repeats up to which those that turned a call away are asked again. The rest is for calls whose runs have ended. */
const askAgainShare = 0.5;

/** Whether the limit leaves a repeat for asking those again that turned the call away, while a run of it is kept. */
export const mayAskAgain = (gateway: GatewayState, call: Call): boolean => hasRepeatLeft(gateway, call, askAgainShare);

/** Takes a repeat from the limit, whether or not the call has arrived before. Returns undefined if none is left. */
export const takeRepeatPermit = (gateway: GatewayState, call: Call): SendPermit | undefined => {
	if (!takeRepeat(getRepeatAccount(gateway, call.service), getRepeatLimit(gateway), gateway.clocks.steady())) {
		recordDenial(gateway, call);
		return undefined;
	}

	gateway.metrics.repeats.inc({service: call.service, outcome: 'taken'});
	return {[permitBrand]: 'repeat'};
};

/** Takes the permit that the call needs for its next send, or the one that it holds. Returns undefined if the limit leaves no repeat. */
export const takeSendPermit = (gateway: GatewayState, call: Call, progress: CallProgress): SendPermit | undefined => {
	const {heldPermit} = progress;
	progress.heldPermit = undefined;
	return heldPermit ?? (progress.hasArrived ? takeRepeatPermit(gateway, call) : firstSend);
};

/** Returns a repeat that was not used for a send. */
export const returnPermit = (gateway: GatewayState, {service}: Call, permit: SendPermit): void => {
	if (permit[permitBrand] === 'repeat') {
		returnRepeat(getRepeatAccount(gateway, service));
		gateway.metrics.repeats.inc({service, outcome: 'returned'});
	}
};

/** Keeps the permit for the next send of the call, or returns it if the call holds one. */
export const keepPermit = (gateway: GatewayState, call: Call, progress: CallProgress, permit: SendPermit): void => {
	if (progress.heldPermit === undefined) {
		progress.heldPermit = permit;
	} else {
		returnPermit(gateway, call, permit);
	}
};

/** Records what has become of a send. One that has not arrived leaves its permit for the next one. */
export const settlePermit = (gateway: GatewayState, call: Call, {permit, progress, mayHaveArrived}: {permit: SendPermit; progress: CallProgress; mayHaveArrived: boolean}): void => {
	if (!mayHaveArrived) {
		if (progress.heldPermit === undefined && !progress.isOver) {
			progress.heldPermit = permit[permitBrand] === 'repeat' ? permit : undefined;
		} else {
			returnPermit(gateway, call, permit);
		}

		return;
	}

	progress.hasArrived = true;
	if (permit[permitBrand] === 'repeat') {
		settleRepeat(getRepeatAccount(gateway, call.service), gateway.clocks.steady());
	}
};

/** Returns the permit that a call holds and does not need for now. */
export const returnHeldPermit = (gateway: GatewayState, call: Call, progress: CallProgress): void => {
	if (progress.heldPermit !== undefined) {
		returnPermit(gateway, call, progress.heldPermit);
		progress.heldPermit = undefined;
	}
};

/** Returns the permit that a call holds at its end. Those of sends that come to their end later are returned then. */
export const returnLastPermit = (gateway: GatewayState, call: Call, progress: CallProgress): void => {
	progress.isOver = true;
	returnHeldPermit(gateway, call, progress);
};
