/** Reads a log stream to its end, then waits for new records. */
import {type Clock, waitUntilOrAborted} from '@shallotpass/common/clock.js';
import {type LogRecord, type LogService} from '@shallotpass/common/log-service.js';
import {addMilliseconds, type Deadline, type LogOffset} from '@shallotpass/common/types.js';

export type LogFollowEvent =
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
	readonly send: (event: LogFollowEvent) => void;
	/** Earliest time of the next read after the end was reached. If absent, the next read starts immediately. */
	readonly getNextReadTime?: () => Deadline;
};

/** Maximum number of records per read. */
export const maxRecordsPerRead = 500;

/**
 * A firewall or NAT can drop an open connection without notifying either end. This is detected only when a poll
 * times out, so polls must be short compared to the time in which changes have to be noticed.
 */
const longPollTimeoutMs = 2000;
const initialRetryDelayMs = 100;
const maxRetryDelayMs = 2000;

/** Sends the stream's records and state changes to `send` until the signal is aborted. Retries failed reads with exponential backoff. */
export const followLog = async (options: FollowOptions): Promise<void> => {
	const {log, stream, clock, random, signal, send} = options;
	let nextOffset = options.from as number;
	let consecutiveFailures = 0;
	let isAtEnd = false;

	const readBatch = async (): Promise<void> => {
		const waitUntil = isAtEnd ? addMilliseconds(clock.now(), longPollTimeoutMs) : undefined;
		const result = await log.read({
			stream, from: nextOffset as LogOffset, limit: maxRecordsPerRead, waitUntil, signal,
		});
		consecutiveFailures = 0;
		if (result.kind === 'trimmed') {
			nextOffset = result.earliest;
			send({kind: 'trimmed', earliest: result.earliest});
			return;
		}

		for (const record of result.records) {
			send({kind: 'record', record});
		}

		nextOffset = Math.max(nextOffset, result.next);
		if (result.records.length === 0) {
			isAtEnd = true;
			send({kind: 'caught_up'});
		}
	};

	while (!signal.aborted) {
		try {
			if (isAtEnd && options.getNextReadTime !== undefined) {
				await waitUntilOrAborted(clock, options.getNextReadTime(), signal); // eslint-disable-line no-await-in-loop -- reads are sequential
			}

			await readBatch(); // eslint-disable-line no-await-in-loop -- each read starts at the end of the previous one
		} catch (error) {
			if (signal.aborted) {
				return;
			}

			send({kind: 'outage', error});
			const delayMs = Math.min(maxRetryDelayMs, initialRetryDelayMs * (2 ** consecutiveFailures));
			consecutiveFailures++;
			// Waits between 50 % and 100 % of the delay, so that the daemons do not all retry at the same time.
			await waitUntilOrAborted(clock, addMilliseconds(clock.now(), delayMs * (0.5 + (random() / 2))), signal); // eslint-disable-line no-await-in-loop
		}
	}
};
