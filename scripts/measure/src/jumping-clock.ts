/** The system's clock with an offset that a test or a storm changes, as a time service does when it sets an instance right. */
import {systemClock, type Clock} from '@shallotpass/common/clock.js';
import {addMilliseconds} from '@shallotpass/common/types.js';

export type JumpingClock = Clock & {
	/** Milliseconds ahead of the system's clock; negative when behind. */
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
