/** Lets single calls through in spite of a verdict, from one of all daemons at a time. */
import {planTrial} from '@shallotpass/core/crashes/plan-trial.js';
import {type CrashVerdict} from '@shallotpass/core/crashes/types.js';
import {isSum} from '@shallotpass/core/gossip/gossip-report.js';
import {needsRelays} from '@shallotpass/core/gossip/pick-relays.js';
import {pickByRendezvous} from '@shallotpass/core/routing/rank-by-rendezvous.js';
import {type GatewayState, peerExpiryMs} from '../gateway-state.js';
import {describeVerdict} from './announce-verdicts.js';
import {type SentCall} from './request-traits.js';

/** A trial that is not answered for this long is given up. */
const trialTimeoutMs = 5000;

/** Lists the daemons that may try. Behind relays nobody knows which members are heard. */
const listDaemons = (gateway: GatewayState): string[] => {
	const members = gateway.listMembers();
	if (needsRelays(members.length)) {
		return members.map(({id}) => id);
	}

	const since = gateway.clocks.steady() - peerExpiryMs;
	const heard = [...gateway.peers.values()].filter(peer => !isSum(peer) && peer.receivedAt >= since).map(({id}) => id);
	return [...new Set([gateway.settings.instance.id, ...heard])];
};

/** Begins a trial if one is due here. Returns the name of the verdict that is tried. */
export const beginTrial = (gateway: GatewayState, verdict: CrashVerdict): string | undefined => {
	const name = describeVerdict(verdict);
	const now = gateway.clocks.steady();
	const isDue = gateway.clocks.trueTime() >= planTrial(verdict) && (gateway.crashTrials.get(name) ?? 0) <= now;
	if (!isDue || pickByRendezvous(name, listDaemons(gateway)) !== gateway.settings.instance.id) {
		return undefined;
	}

	gateway.crashTrials.set(name, now + trialTimeoutMs);
	return name;
};

/** Ends the trial of a call that its backend server has survived, so that the next one may follow. */
export const endTrial = (gateway: GatewayState, {outgoing: {trialOf}}: SentCall): void => {
	if (trialOf !== undefined) {
		gateway.crashTrials.delete(trialOf);
	}
};
