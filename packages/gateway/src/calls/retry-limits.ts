/** This daemon's share of the retry limit, by service. */
import {makeRetryAllowance, type RetryAllowance, type RetryLimit} from '@shallotpass/core/retries/retry-allowance.js';
import {getMostDaemons, recordDaemonCount} from '@shallotpass/core/retries/sharing-daemons.js';
import {countDaemons, type GatewayState} from '../gateway-state.js';

/** Time after its start until a daemon has heard the others: they answer its first report with theirs. */
const introductionMs = 1500;

/** Number of daemons that a daemon assumes until it has read the members. */
const assumedDaemons = 12;

/** Counts the daemons that share the slack, also those that have ended and used their parts within the window. One that has just started hears none yet, and would take all of it, like each of the others after a restart of all. */
export const countSharingDaemons = (gateway: GatewayState): number => {
	const now = gateway.clocks.steady();
	gateway.daemonCounts = recordDaemonCount(gateway.daemonCounts, countDaemons(gateway), now, gateway.settings.bounds.repeatWindowMs);
	const most = getMostDaemons(gateway.daemonCounts);
	return now < gateway.startedAt + introductionMs ? Math.max(most, gateway.registeredDaemons ?? assumedDaemons) : most;
};

export const getRetryLimit = (gateway: GatewayState): RetryLimit => {
	const {repeatRatio, repeatSlack, repeatWindowMs} = gateway.settings.bounds;
	return {
		ratio: repeatRatio, slack: repeatSlack, windowMs: repeatWindowMs, daemons: countSharingDaemons(gateway),
	};
};

export const getRetryAllowance = (gateway: GatewayState, service: string): RetryAllowance => {
	const allowance = gateway.allowances.get(service) ?? makeRetryAllowance();
	gateway.allowances.set(service, allowance);
	return allowance;
};
