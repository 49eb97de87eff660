/** Watches whether a stream makes progress. A slow caller, for whom it waits, is no want of progress. */
import {limitTimerMs} from '@shallotpass/common/value-bounds.js';
import {compareIntervalMs} from './compare-waits.js';

export type ProgressBounds = {
	/** Time without any bytes after which the stream may be interrupted. Undefined for any. */
	readonly stallTimeoutMs: number | undefined;
	/** Time without an event after which the stream may be interrupted although bytes come. Undefined for any. */
	readonly eventTimeoutMs: number | undefined;
};

export type ProgressWatchOptions = ProgressBounds & {
	/** Both are called again and again until something comes or the watch is stopped. */
	readonly onStall: () => void;
	readonly onNoEvent: () => void;
};

export type ProgressWatch = {
	readonly onBytes: () => void;
	readonly onEvent: () => void;
	readonly pause: () => void;
	readonly resume: () => void;
	readonly stop: () => void;
};

type RestartableTimer = {
	readonly restart: () => void;
	readonly stop: () => void;
};

const makeTimer = (afterMs: number | undefined, onElapsed: () => void): RestartableTimer => {
	let timer: NodeJS.Timeout | undefined;
	let repetition: NodeJS.Timeout | undefined;
	const stopRepetition = (): void => {
		clearInterval(repetition);
		repetition = undefined;
	};

	return {
		restart() {
			if (afterMs === undefined) {
				return;
			}

			stopRepetition();
			timer ??= setTimeout(() => {
				repetition = setInterval(onElapsed, compareIntervalMs);
				onElapsed();
			}, limitTimerMs(afterMs));
			timer.refresh();
		},
		stop() {
			stopRepetition();
			clearTimeout(timer);
			timer = undefined;
		},
	};
};

export const watchProgress = ({stallTimeoutMs, eventTimeoutMs, onStall, onNoEvent}: ProgressWatchOptions): ProgressWatch => {
	const stallTimer = makeTimer(stallTimeoutMs, onStall);
	const eventTimer = makeTimer(eventTimeoutMs, onNoEvent);
	const resume = (): void => {
		stallTimer.restart();
		eventTimer.restart();
	};

	const pause = (): void => {
		stallTimer.stop();
		eventTimer.stop();
	};

	resume();
	return {
		onBytes: stallTimer.restart, onEvent: eventTimer.restart, pause, resume, stop: pause,
	};
};
