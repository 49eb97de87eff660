/**
 * Structured logging to standard output with a rate limit per event. Writing never blocks: if a slow
 * reader fills the buffer, further lines are dropped and counted.
 */
import {performance} from 'node:perf_hooks';
import pino from 'pino';
import {type EventName, type EventFields} from './log-events.js';

/** Selects the rate limit and the level of a line. Failures have the highest limit, so that lines of successful requests are left out first. */
export type EventCategory = 'routine' | 'failure' | 'state';

/** Rate limit for each event, not for the category as a whole. A daemon currently receives about 20 requests per second. */
const maxLinesPerSecond: Readonly<Record<EventCategory, number>> = {routine: 40, failure: 200, state: 50};

/** Maximum size of the buffer for a slow reader. Further lines are dropped. */
const maxBufferedBytes = 1_048_576;

/** Lines are buffered until they reach this size, so that one system call writes several of them. */
const minWriteBytes = 4096;

/** Smaller amounts are written at this interval. */
const flushIntervalMs = 500;

export type EventLog = {
	readonly write: <Event extends EventName>(category: EventCategory, event: Event, fields?: EventFields<Event>) => void;
	readonly flush: () => void;
};

/** Lines of one event within one second. */
type RateWindow = {
	second: number;
	written: number;
	leftOut: number;
};

export const openEventLog = (instance: string): EventLog => {
	const destination = pino.destination({
		dest: 1, sync: false, minLength: minWriteBytes, maxLength: maxBufferedBytes,
	});
	/** Number of lines dropped since the start because of a slow reader. */
	let dropped = 0;
	destination.on('drop', () => {
		dropped++;
	});
	const logger = pino({base: {instance}, timestamp: pino.stdTimeFunctions.epochTime, formatters: {level: label => ({level: label})}}, destination);
	const windowsByEvent = new Map<string, RateWindow>();
	const flushTimer = setInterval(() => {
		destination.flush();
	}, flushIntervalMs);
	flushTimer.unref();

	const isWithinRateLimit = (category: EventCategory, event: string): boolean => {
		const second = Math.floor(performance.now() / 1000);
		const window = windowsByEvent.get(event) ?? {second, written: 0, leftOut: 0};
		windowsByEvent.set(event, window);
		if (window.second !== second) {
			if (window.leftOut > 0) {
				const fields: EventFields<'lines_left_out'> = {of: event, count: window.leftOut, dropped};
				logger.warn({event: 'lines_left_out', ...fields});
			}

			window.second = second;
			window.written = 0;
			window.leftOut = 0;
		}

		if (window.written >= maxLinesPerSecond[category]) {
			window.leftOut++;
			return false;
		}

		window.written++;
		return true;
	};

	return {
		write(category, event, fields) {
			if (!isWithinRateLimit(category, event)) {
				return;
			}

			const line = {event, ...fields};
			if (category === 'failure') {
				logger.warn(line);
			} else {
				logger.info(line);
			}
		},
		flush() {
			try {
				destination.flushSync();
			} catch {
				// The destination is not open yet or is already closed, so the error cannot be logged either.
			}
		},
	};
};
