/** Detects that the event loop did not run for a while, so that what it reads afterwards may be older than it seems. */
import {setImmediate as nextImmediate} from 'node:timers/promises';

/** Interval of the ticks from which stalls are told. */
const tickMs = 50;

/** A shorter delay of a tick is no stall. */
const minStallMs = 100;

export type LoopMonitor = {
	/** Returns the longest time that something which is read now may have waited for the loop, in milliseconds. 0 unless the loop has just stalled. */
	readonly getStandingMs: () => number;
	/** Called after each stall with its length in milliseconds. May be set later. */
	onStall: ((stalledMs: number) => void) | undefined;
};

export type LoopMonitorOptions = {
	readonly steady: () => number;
	readonly onStall?: LoopMonitor['onStall'];
	/** Ends the monitor. Without it the monitor runs as long as the process. */
	readonly signal?: AbortSignal;
};

/** Resolves when all that has arrived was read: in the poll phase that precedes the second of two immediates, whichever phase they are begun in. */
export const waitForPoll = async (): Promise<void> => {
	await nextImmediate();
	await nextImmediate();
};

export const startLoopMonitor = ({steady, onStall, signal}: LoopMonitorOptions): LoopMonitor => {
	// A new connection is accepted in one turn of the loop, and its request read in the next.
	let [lastTickAt, tickBeforeAt, secondTickBeforeAt] = [steady(), steady(), steady()];
	const timer = setInterval(() => {
		const now = steady();
		const stalledMs = now - lastTickAt - tickMs;
		secondTickBeforeAt = tickBeforeAt;
		tickBeforeAt = lastTickAt;
		lastTickAt = now;
		if (stalledMs > minStallMs) {
			monitor.onStall?.(stalledMs);
		}
	}, tickMs);
	timer.unref();
	signal?.addEventListener('abort', () => {
		clearInterval(timer);
	}, {once: true});

	const getStandingMs = (): number => {
		const standingMs = steady() - secondTickBeforeAt - tickMs;
		return signal?.aborted === true || standingMs < (2 * tickMs) + minStallMs ? 0 : standingMs;
	};

	const monitor: LoopMonitor = {getStandingMs, onStall};
	return monitor;
};
