import {setTimeout as sleep} from 'node:timers/promises';
import {type Deadline} from './types.js';
import {limitTimerMs} from './value-bounds.js';

/** Source of the current time. Tests pass a clock that they advance manually. */
export type Clock = {
	/** Milliseconds since the epoch. */
	readonly now: () => number;
	/** Resolves at the deadline, or rejects with the signal's reason when aborted. */
	readonly waitUntil: (deadline: Deadline, signal?: AbortSignal) => Promise<void>;
};

export const systemClock: Clock = {
	now: () => Date.now(),
	async waitUntil(deadline, signal) {
		const delayMs = limitTimerMs(deadline - Date.now());
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
