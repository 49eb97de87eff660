/**
 * Clocks of a daemon on instances that are suspended and whose time of day jumps.
 *
 * `steady` orders what happens in this process; it stands still while the instance is suspended.
 * `elapsed` counts suspension too, so a lease that lapsed during one is seen to have lapsed.
 * `trueTime` is the time of day at start carried on by `elapsed`, so a jump of the time of day
 * does not move a usage window.
 */
import os from 'node:os';
import {performance} from 'node:perf_hooks';

export type Clocks = {
	readonly steady: () => number;
	readonly elapsed: () => number;
	readonly trueTime: () => number;
};

export const openClocks = (): Clocks => {
	const elapsed = (): number => os.uptime() * 1000;
	const offset = Date.now() - elapsed();
	return {
		steady: () => performance.now(),
		elapsed,
		trueTime: () => elapsed() + offset,
	};
};
