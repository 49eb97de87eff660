/** Times of a drain. All are on the steady clock. */
import {type GatewayState} from './gateway-state.js';

/** Draining ends this long before the platform kills the process. */
const killMarginMs = 300;

/** Milliseconds after SIGTERM during which new calls are still accepted. The load balancer stops sending calls after two failed readiness checks, one second apart. */
export const acceptDuringDrainMs = 2600;

/** A caller whose stream has paused for longer than this gives it up, and it has to find another daemon meanwhile. */
const takeUpMs = 2000;

/** When the process of a daemon ends at the latest that has been draining since the moment given. */
export const computeDrainEnd = (since: number, graceMs: number): number => since + graceMs - killMarginMs;

/**
 * Until when a stream that no backend server runs may wait here, for at most `waitMs`. Near the end of a drain its caller is better
 * off if it takes the stream up elsewhere: there is no time here for what is left of it.
 */
export const computeWaitUntil = ({clocks, drainingSince, settings: {bounds}}: Pick<GatewayState, 'clocks' | 'drainingSince' | 'settings'>, waitMs: number): number => {
	const until = clocks.steady() + waitMs;
	return drainingSince === undefined ? until : Math.min(until, computeDrainEnd(drainingSince, bounds.graceMs) - takeUpMs);
};
