/** Waits for the given time. Returns early, without an error, when the signal is aborted. */
import {setTimeout as sleep} from 'node:timers/promises';
import {limitTimerMs} from '@shallotpass/common/value-bounds.js';

export const pauseFor = async (ms: number, signal: AbortSignal): Promise<void> => {
	try {
		await sleep(limitTimerMs(ms), undefined, {signal});
	} catch (error) {
		if (!signal.aborted) {
			throw error;
		}
	}
};
