/** A clock for simulations that jumps from one scheduled time to the next. */
import {type Clock} from '@shallotpass/common/clock.js';

export type ManualClock = Clock & {
	/** Schedules a callback; callbacks for the same time run in the order in which they were scheduled. */
	readonly schedule: (at: number, callback: () => void) => void;
	/** Advances to the next scheduled time and runs one callback; returns false if nothing is scheduled. */
	readonly advance: () => boolean;
};

type ScheduledCallback = {readonly at: number; readonly callback: () => void};

export const makeManualClock = (): ManualClock => {
	let now = 0;
	/** Sorted by descending time, so that the next callback is last. */
	const queue: ScheduledCallback[] = [];
	const schedule = (at: number, callback: () => void): void => {
		const time = Math.max(now, at);
		let low = 0;
		let high = queue.length;
		while (low < high) {
			const middle = Math.floor((low + high) / 2);
			if (queue[middle]!.at > time) {
				low = middle + 1;
			} else {
				high = middle;
			}
		}

		queue.splice(low, 0, {at: time, callback});
	};

	return {
		now: () => now,
		schedule,
		async waitUntil(deadline) {
			await new Promise<void>(resolve => {
				schedule(deadline, resolve);
			});
		},
		advance() {
			const next = queue.pop();
			if (next === undefined) {
				return false;
			}

			now = next.at;
			next.callback();
			return true;
		},
	};
};
