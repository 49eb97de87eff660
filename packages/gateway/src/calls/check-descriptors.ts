/** Keeps calls from taking the descriptors that the daemon itself needs: each call takes a connection to a backend server. */
import {type GatewayState} from '../gateway-state.js';
import {type Refusal} from './refusal.js';

const retryAfterS = 0.5;

export const noDescriptorsRefusal: Refusal = {
	kind: 'over_capacity', detail: 'The calls under way leave no connection to a backend server for this one.', retryAfterS,
};

/** A stream may ask a backend server for its start on another connection, and a plain call may be sent to a second one. */
const connectionsPerCall = 2;

const countIdleConnections = ({registry}: GatewayState): number => {
	let idle = 0;
	for (const {agent} of registry.byId.values()) {
		idle += agent.countIdle();
	}

	return idle;
};

/**
 * Whether a connection to a backend server can be opened for one more call. A call that runs may have none yet, and those that are idle may
 * lead to other backend servers than the ones that calls will be sent to. They are counted only if it matters, as there are thousands of servers.
 */
export const hasDescriptorForCall = (gateway: GatewayState): boolean => {
	const {ledger, registry: {openConnections}, runningCalls} = gateway;
	const needed = runningCalls * connectionsPerCall;
	return ledger.hasDescriptorsFor(needed + openConnections) || ledger.hasDescriptorsFor(Math.max(openConnections, needed + countIdleConnections(gateway)));
};
