/** Exchanges evidence about requests that may crash backend servers with other daemons. */
import {listDeathsOf, removeOldEvidence} from '@shallotpass/core/crashes/crash-ledger.js';
import {adoptReportedCrashes, type ReportedCrashes} from '@shallotpass/core/crashes/reported-evidence.js';
import {type GatewayState} from '../gateway-state.js';
import {announceVerdicts} from './announce-verdicts.js';
import {refuteCrash} from './record-evidence.js';
import {verifyDeaths} from './verify-deaths.js';

/** Data that arrives this long after a death was noticed shows that there was none: it was not under way then, and comes from no successor at the same address yet. */
const earliestDataMs = 300;
const latestDataMs = 1200;

/** Deaths that may still be refuted by data: a report takes up to a second. */
const recentDeathMs = 4000;

/** Adopts what another daemon reports. A relay passes it on at once. */
export const adoptCrashes = (gateway: GatewayState, reported: ReportedCrashes): void => {
	if (adoptReportedCrashes(gateway.crashes, reported, gateway.clocks.steady())) {
		gateway.unreportedCrashes.areFromPeers = true;
		announceVerdicts(gateway);
	}
};

/** Takes back deaths of backend servers that have answered since, as when the daemon that noticed them had lost its paths. */
const refuteByData = (gateway: GatewayState): void => {
	const lag = gateway.clocks.trueTime() - gateway.clocks.steady();
	const since = gateway.clocks.trueTime() - recentDeathMs;
	const deathTimes = new Map([...listDeathsOf(gateway.crashes)].filter(({at}) => at > since).map(({incarnation, at}) => [incarnation, at]));
	if (deathTimes.size === 0) {
		return;
	}

	for (const state of gateway.registry.byId.values()) {
		const sinceDeathMs = state.lastReadAt + lag - (deathTimes.get(state.incarnationHash) ?? Infinity);
		if (sinceDeathMs > earliestDataMs && sinceDeathMs < latestDataMs && (gateway.crashes.refuted.get(state.incarnationHash) ?? Number.NEGATIVE_INFINITY) < deathTimes.get(state.incarnationHash)!) {
			refuteCrash(gateway, state);
		}
	}
};

/** Checks and clears the evidence, once a gossip round. */
export const maintainCrashes = (gateway: GatewayState): void => {
	refuteByData(gateway);
	verifyDeaths(gateway);
	removeOldEvidence(gateway.crashes, gateway.clocks.trueTime());
	announceVerdicts(gateway);
};
