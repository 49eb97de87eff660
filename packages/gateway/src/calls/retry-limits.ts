/** This daemon's share of the retry limit, by service. */
import {makeRepeatAllowance, type RepeatAllowance, type RepeatLimit} from '@shallotpass/core/retries/repeat-allowance.js';
import {countDaemons, type GatewayState} from '../gateway-state.js';

export const getRetryLimit = (gateway: GatewayState): RepeatLimit => {
	const {repeatRatio, repeatSlack, repeatWindowMs} = gateway.settings.bounds;
	return {
		ratio: repeatRatio, slack: repeatSlack, windowMs: repeatWindowMs, daemons: countDaemons(gateway),
	};
};

export const getRetryAllowance = (gateway: GatewayState, service: string): RepeatAllowance => {
	const allowance = gateway.allowances.get(service) ?? makeRepeatAllowance();
	gateway.allowances.set(service, allowance);
	return allowance;
};
