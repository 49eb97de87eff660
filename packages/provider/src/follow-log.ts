/** Reads a stream to its end and goes on as it grows. */
import {type Clock, waitQuietly} from '@shallotpass/common/clock.js';
import {type LogRecord, type LogService} from '@shallotpass/common/log-service.js';
import {addMilliseconds, type Deadline, type LogOffset} from '@shallotpass/common/types.js';

export type LogEvent =
	| {readonly kind: 'record'; readonly record: LogRecord}
	| {readonly kind: 'trimmed'; readonly earliest: LogOffset}
	| {readonly kind: 'caught_up'}
	| {readonly kind: 'outage'; readonly error: unknown};

type FollowOptions = {
	readonly log: LogService;
	readonly stream: string;
	readonly from: LogOffset;
	readonly clock: Clock;
	readonly random: () => number;
	readonly signal: AbortSignal;
	readonly send: (event: LogEvent) => void;
	/** When the next reading may start once the end was reached; at once when absent. */
	readonly getNextReading?: () => Deadline;
};

/** Records asked for at once. */
export const readLimit = 500;

/**
 * A connection that something in between has lost track of shows only by its
 * silence, so a poll must be short against the time a change may take.
 */
const longPollMs = 2000;
const firstRetryMs = 100;
const longestRetryMs = 2000;

export const followLog = async (options: FollowOptions): Promise<void> => {
	const {log, stream, clock, random, signal, send} = options;
	let from = options.from as number;
	let failures = 0;
	let isAtEnd = false;

	const readOnce = async (): Promise<void> => {
		const waitUntil = isAtEnd ? addMilliseconds(clock.now(), longPollMs) : undefined;
		const reading = await log.read({
			stream, from: from as LogOffset, limit: readLimit, waitUntil, signal,
		});
		failures = 0;
		if (reading.kind === 'trimmed') {
			from = reading.earliest;
			send({kind: 'trimmed', earliest: reading.earliest});
			return;
		}

		for (const record of reading.records) {
			send({kind: 'record', record});
		}

		from = Math.max(from, reading.next);
		if (reading.records.length === 0) {
			isAtEnd = true;
			send({kind: 'caught_up'});
		}
	};

	while (!signal.aborted) {
		try {
			if (isAtEnd && options.getNextReading !== undefined) {
				await waitQuietly(clock, options.getNextReading(), signal); // eslint-disable-line no-await-in-loop -- between readings
			}

			await readOnce(); // eslint-disable-line no-await-in-loop -- each reading starts where the last ended
		} catch (error) {
			if (signal.aborted) {
				return;
			}

			send({kind: 'outage', error});
			const delay = Math.min(longestRetryMs, firstRetryMs * (2 ** failures));
			failures++;
			// Spread over half the delay, so that all daemons do not return to the log at once.
			await waitQuietly(clock, addMilliseconds(clock.now(), delay * (0.5 + (random() / 2))), signal); // eslint-disable-line no-await-in-loop
		}
	}
};
