/** The system clock plus an adjustable offset, which simulates clock steps by a time synchronization service. */
import {systemClock, type Clock} from '@shallotpass/common/clock.js';
import {addMilliseconds} from '@shallotpass/common/types.js';

export type JumpingClock = Clock & {
	/** Sets the offset to the system clock in milliseconds; negative if behind. */
	readonly jumpTo: (offsetMs: number) => void;
};

export const makeJumpingClock = (): JumpingClock => {
	let offset = 0;
	return {
		now: () => systemClock.now() + offset,
		waitUntil: async (deadline, signal) => systemClock.waitUntil(addMilliseconds(deadline, -offset), signal),
		jumpTo(offsetMs) {
			offset = offsetMs;
		},
	};
};
