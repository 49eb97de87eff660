/** This daemon's share of the retry limit, by service. */
import {makeRetryAllowance, type RetryAllowance, type RetryLimit} from '@shallotpass/core/retries/retry-allowance.js';
import {countDaemons, type GatewayState} from '../gateway-state.js';

export const getRetryLimit = (gateway: GatewayState): RetryLimit => {
	const {repeatRatio, repeatSlack, repeatWindowMs} = gateway.settings.bounds;
	return {
		ratio: repeatRatio, slack: repeatSlack, windowMs: repeatWindowMs, daemons: countDaemons(gateway),
	};
};

export const getRetryAllowance = (gateway: GatewayState, service: string): RetryAllowance => {
	const allowance = gateway.allowances.get(service) ?? makeRetryAllowance();
	gateway.allowances.set(service, allowance);
	return allowance;
};
