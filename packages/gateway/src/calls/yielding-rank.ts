/** The rank with which streams are sent that yield to others. */
import {type GatewayState} from '../gateway-state.js';
import {trackedRankCount} from './backend-registry.js';

const lastRank = trackedRankCount - 1;

/** Returns the last rank that is tracked, or undefined if streams of the service differ neither in rank nor in objective, or use that rank themselves. */
export const getYieldingRank = ({configuration}: GatewayState, service: string): number | undefined => {
	const leastUrgentRank = configuration?.mixedServices.get(service);
	return leastUrgentRank !== undefined && leastUrgentRank < lastRank ? lastRank : undefined;
};
