/** The platform's log as the rest of the system sees it; adapters are in the platform package. */
import {type Deadline, type LogOffset} from './types.js';

export type LogRecord = {
	readonly offset: LogOffset;
	/** Milliseconds since the epoch, by the log's own clock. */
	readonly appendedAt: number;
	readonly record: unknown;
};

export type LogReading =
	| {readonly kind: 'records'; readonly records: readonly LogRecord[]; readonly next: LogOffset}
	| {readonly kind: 'trimmed'; readonly earliest: LogOffset};

export type ReadOptions = {
	readonly stream: string;
	readonly from: LogOffset;
	readonly limit: number;
	/** The log may hold the answer back until then when there is nothing new. */
	readonly waitUntil?: Deadline;
	readonly signal?: AbortSignal;
};

export type AppendOptions = {
	readonly stream: string;
	readonly record: unknown;
	readonly signal?: AbortSignal;
};

/**
 * Append-only streams.
 *
 * A call that rejects may have taken effect: an append's reply can be lost.
 * Whoever must know looks its record up by an id of its own.
 */
export type LogService = {
	readonly append: (options: AppendOptions) => Promise<LogOffset>;
	readonly read: (options: ReadOptions) => Promise<LogReading>;
};
