/** Observes the demand of client accounts, and determines which of their calls exceed the usual one. */
import {computeExcessShare, observeDemand} from '@shallotpass/core/admission/usual-demand.js';
import {type Call} from '@shallotpass/core/calls/types.js';
import {hashText} from '@shallotpass/core/routing/rank-by-rendezvous.js';
import {type GatewayState} from '../gateway-state.js';
import {sumDemands} from './sum-demands.js';

/** Observes the present demands. To be called once in each gossip round. Accounts without a limit request no shares of one, so their demand is unknown. */
export const observeDemands = (gateway: GatewayState): void => {
	if ((gateway.configuration?.mixedServices.size ?? 0) === 0) {
		gateway.usualDemands.clear();
		return;
	}

	const now = gateway.clocks.steady();
	const demands = sumDemands(gateway);
	for (const {name} of gateway.configuration?.configuration.accounts ?? []) {
		const current = demands.get(name) ?? 0;
		const known = gateway.usualDemands.get(name);
		if (known !== undefined || current > 0) {
			gateway.usualDemands.set(name, observeDemand(known, current, now));
		}
	}
};

/** Number of values of `hashText`. */
const hashRange = 2 ** 32;

/** Whether the call is one of those beyond the usual demand of its account. All daemons find the same for a call, also if it is sent again. */
export const isExcess = ({usualDemands}: GatewayState, {id, account}: Call): boolean => {
	const demand = account === undefined ? undefined : usualDemands.get(account);
	return demand !== undefined && hashText(id) / hashRange < computeExcessShare(demand, usualDemands.values());
};
