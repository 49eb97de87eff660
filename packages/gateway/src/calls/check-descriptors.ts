/** Keeps calls from taking the descriptors that the daemon itself needs: each call takes a connection to a backend server. */
import {type GatewayState} from '../gateway-state.js';
import {type Refusal} from './refusal.js';

const retryAfterS = 0.5;

export const noDescriptorsRefusal: Refusal = {
	kind: 'over_capacity', detail: 'The calls under way leave no connection to a backend server for this one.', retryAfterS,
};

/** Counts the open connections to backend servers. */
export const countOpenConnections = ({byId}: GatewayState['registry']): number => {
	let open = 0;
	for (const {agent} of byId.values()) {
		open += agent.openConnections;
	}

	return open;
};

/** A stream may ask a backend server for its start on another connection, and a plain call may be sent to a second one. */
const connectionsPerCall = 2;

/**
 * Counts the connections that calls may have soon. A call that runs may have none yet, and those that are idle may lead to other backend
 * servers than the ones that it will be sent to.
 */
const countCallConnections = ({registry, runningCalls}: GatewayState): number => {
	let idle = 0;
	for (const {agent} of registry.byId.values()) {
		idle += agent.countIdle();
	}

	return Math.max(countOpenConnections(registry), (runningCalls * connectionsPerCall) + idle);
};

/** Whether a connection to a backend server can be opened for one more call. */
export const hasDescriptorForCall = (gateway: GatewayState): boolean => gateway.ledger.hasDescriptorsFor(countCallConnections(gateway));
