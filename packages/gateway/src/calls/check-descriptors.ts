/** Keeps calls from taking the descriptors that the daemon itself needs: each call takes a connection to a backend server. */
import {type GatewayState} from '../gateway-state.js';
import {type Refusal} from './refusal.js';

const retryAfterS = 0.5;

export const noDescriptorsRefusal: Refusal = {
	kind: 'over_capacity', detail: 'The calls under way leave no connection to a backend server for this one.', retryAfterS,
};

/** Counts the connections that are opened for calls: those to backend servers, idle ones too, or those that the running calls need. */
const countCallConnections = ({registry, runningCalls}: GatewayState): number => {
	let open = 0;
	for (const {agent} of registry.byId.values()) {
		open += agent.openConnections;
	}

	return Math.max(open, runningCalls);
};

/** Whether a connection to a backend server can be opened for one more call. */
export const hasDescriptorForCall = (gateway: GatewayState): boolean => gateway.ledger.hasDescriptorsFor(countCallConnections(gateway));
