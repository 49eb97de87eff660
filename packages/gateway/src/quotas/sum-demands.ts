/** What client accounts ask of all daemons. */
import {computeAsked} from '@shallotpass/core/quotas/keeper-shares.js';
import {type GatewayState} from '../gateway-state.js';
import {readKeeperClock} from './quota-state.js';

/** Sums the cost units per second that are asked for each account at all daemons. */
export const sumDemands = (gateway: GatewayState): Map<string, number> => {
	const {quota: {keeper}, clocks, peers} = gateway;
	const clock = readKeeperClock(clocks);
	const demands = new Map([...keeper.demands.keys()].map(account => [account, computeAsked(keeper, account, clock)]));
	for (const [account, demand] of [...peers.values()].flatMap(peer => Object.entries(peer.demands))) {
		demands.set(account, (demands.get(account) ?? 0) + demand);
	}

	return demands;
};
