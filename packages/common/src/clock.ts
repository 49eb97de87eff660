import {setTimeout as sleep} from 'node:timers/promises';
import {type Deadline} from './types.js';

/** Source of the current time. Tests pass a clock that they advance manually. */
export type Clock = {
	/** Milliseconds since the epoch. */
	readonly now: () => number;
	/** Resolves at the deadline, or rejects with the signal's reason when aborted. */
	readonly waitUntil: (deadline: Deadline, signal?: AbortSignal) => Promise<void>;
};

/** Longest delay that a Node.js timer accepts. */
const maxTimerMs = 2_147_483_647;

export const systemClock: Clock = {
	now: () => Date.now(),
	async waitUntil(deadline, signal) {
		const delayMs = Math.min(Math.max(0, deadline - Date.now()), maxTimerMs);
		await sleep(delayMs, undefined, {signal});
	},
};

/** Waits until the deadline. Unlike `clock.waitUntil`, it resolves when the signal is aborted. */
export const waitUntilOrAborted = async (clock: Clock, deadline: Deadline, signal: AbortSignal): Promise<void> => {
	try {
		await clock.waitUntil(deadline, signal);
	} catch (error) {
		if (!signal.aborted) {
			throw error;
		}
	}
};
