import {setTimeout as sleep} from 'node:timers/promises';
import {type Deadline} from './types.js';

/** Where time comes from; tests pass one that they move by hand. */
export type Clock = {
	/** Milliseconds since the epoch. */
	readonly now: () => number;
	/** Resolves at the deadline; rejects with the signal's reason when aborted. */
	readonly waitUntil: (deadline: Deadline, signal?: AbortSignal) => Promise<void>;
};

const longestTimerMs = 2_147_483_647;

export const systemClock: Clock = {
	now: () => Date.now(),
	async waitUntil(deadline, signal) {
		const delay = Math.min(Math.max(0, deadline - Date.now()), longestTimerMs);
		await sleep(delay, undefined, {signal});
	},
};

/** Waits like the clock does, and returns quietly when aborted. */
export const waitQuietly = async (clock: Clock, deadline: Deadline, signal: AbortSignal): Promise<void> => {
	try {
		await clock.waitUntil(deadline, signal);
	} catch (error) {
		if (!signal.aborted) {
			throw error;
		}
	}
};
