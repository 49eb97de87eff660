/** Tells, for log lines, what this daemon takes for the true time, and from how many others it has heard theirs. */
import {type GatewayState} from '../gateway-state.js';

/** `trueTime`: milliseconds since the epoch. `peers`: daemons whose clocks have corrected it, or confirm it. */
export const describeTrueTime = (gateway: GatewayState): {readonly trueTime: number; readonly peers: number} => ({
	trueTime: Math.round(gateway.clocks.trueTime()),
	peers: [...gateway.peers.values()].filter(({clockOffset}) => clockOffset !== undefined).length,
});
