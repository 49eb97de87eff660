/**
 * Shares each turn of the event loop among tasks of one kind. A turn in which each of many connections has its share done would still be
 * long, and everything else waits meanwhile.
 */
import process from 'node:process';

export type LoopTurns = {
	/** Whether more may be done in this turn. */
	readonly hasTime: () => boolean;
	/** Does it now, and counts the time. */
	readonly run: <Result>(task: () => Result) => Result;
	/** Does it in a later turn, after all that wait. */
	readonly enqueue: (task: () => void) => void;
};

/** `maxTurnMs`: time of a turn of the loop that the tasks may take together. */
export const makeLoopTurns = (maxTurnMs: number): LoopTurns => {
	const waiting: Array<() => void> = [];
	let spentMs = 0;
	let isScheduled = false;

	const runNext = (): void => {
		const task = waiting.shift();
		if (task === undefined) {
			isScheduled = false;
			return;
		}

		const startedAt = performance.now();
		task();
		// A response that is resumed gives its bytes before this.
		process.nextTick(() => {
			spentMs += performance.now() - startedAt;
			if (spentMs < maxTurnMs) {
				runNext();
			} else {
				setImmediate(beginTurn);
			}
		});
	};

	const beginTurn = (): void => {
		spentMs = 0;
		runNext();
	};

	const schedule = (): void => {
		if (!isScheduled) {
			isScheduled = true;
			setImmediate(beginTurn);
		}
	};

	return {
		hasTime: () => waiting.length === 0 && spentMs < maxTurnMs,
		run(task) {
			const startedAt = performance.now();
			const result = task();
			spentMs += performance.now() - startedAt;
			// What earlier turns have spent counts until then: a turn of its own costs more than a small task.
			if (spentMs >= maxTurnMs) {
				schedule();
			}

			return result;
		},
		enqueue(task) {
			waiting.push(task);
			schedule();
		},
	};
};

