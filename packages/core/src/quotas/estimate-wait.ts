/** Estimates when an account that is over its limit has room again. */
import {type Standing} from './decide-payment.js';

export type WaitInput = Pick<Standing, 'known' | 'reserved' | 'share'> & {
	/** Maximum that all daemons together may grant within the window. */
	readonly usable: number;
	/** Length of the window, in milliseconds. */
	readonly windowMs: number;
};

/**
 * Estimates the time until a call of this cost is likely to be granted, in milliseconds: until
 * enough spending has left the window for the call and for the other demand.
 */
export const estimateWait = ({known, reserved, share, usable, windowMs}: WaitInput, cost: number): number => {
	const excess = Math.max(0, known + reserved - usable);
	const shortfall = excess + (cost / Math.max(Number.EPSILON, share));
	return Math.min(windowMs, shortfall * windowMs / Math.max(1, known));
};
