/** This daemon's part of the repeat limit, by service. */
import {makeRepeatAccount, type RepeatAccount, type RepeatLimit} from '@shallotpass/core/retries/repeat-account.js';
import {getMostDaemons, recordDaemonCount} from '@shallotpass/core/retries/sharing-daemons.js';
import {type GatewaySettings} from '../gateway-settings.js';
import {countDaemons, type GatewayState} from '../gateway-state.js';

/** Time for which daemons that are not heard any more still count: regions may lose each other for minutes, and each would take the slack of all. */
const daemonMemoryMs = 600_000;

/** Number of daemons that a daemon assumes until it has read the members. */
export const assumedDaemons = 12;

/** Time for which the network may hold what a process has sent before its end. */
const undeliveredMs = 1000;

/** Returns until when a predecessor of a daemon that starts now may have repeated calls within the window. When all start for the first time there is none. */
export const computeInheritsRepeatsUntil = ({instance, bounds}: GatewaySettings, startedAt: number): number =>
	instance.firstStart ? startedAt : startedAt + bounds.repeatWindowMs + undeliveredMs;

/** Records how many daemons are known at the moment. To be called several times a second, also without calls. */
export const observeDaemons = (gateway: GatewayState): void => {
	gateway.daemonCounts = recordDaemonCount(gateway.daemonCounts, countDaemons(gateway), gateway.clocks.steady(), daemonMemoryMs);
};

/** Counts the daemons that share the slack, also those that have ended or are not heard. A daemon may not have heard all since its start; the store's list names them. */
const countSharingDaemons = (gateway: GatewayState): number => {
	observeDaemons(gateway);
	const most = getMostDaemons(gateway.daemonCounts);
	const hasHeardAll = gateway.clocks.steady() >= gateway.startedAt + daemonMemoryMs;
	return hasHeardAll ? most : Math.max(most, gateway.registeredDaemons ?? assumedDaemons);
};

export const getRepeatLimit = (gateway: GatewayState): RepeatLimit => {
	const {repeatRatio, repeatSlack, repeatWindowMs} = gateway.settings.bounds;
	return {
		ratio: repeatRatio, slack: repeatSlack, windowMs: repeatWindowMs, daemons: countSharingDaemons(gateway), inheritsUntil: gateway.inheritsRepeatsUntil,
	};
};

export const getRepeatAccount = (gateway: GatewayState, service: string): RepeatAccount => {
	const account = gateway.repeatAccounts.get(service) ?? makeRepeatAccount();
	gateway.repeatAccounts.set(service, account);
	return account;
};
