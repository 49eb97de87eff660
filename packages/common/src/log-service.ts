/** Interface to the platform's log. The provider package implements it. */
import {type Deadline, type LogOffset} from './types.js';

export type LogRecord = {
	readonly offset: LogOffset;
	/** Milliseconds since the epoch, by the log's own clock. */
	readonly appendedAt: number;
	readonly record: unknown;
};

export type LogReadResult =
	| {readonly kind: 'records'; readonly records: readonly LogRecord[]; readonly next: LogOffset}
	| {readonly kind: 'trimmed'; readonly earliest: LogOffset};

export type ReadOptions = {
	readonly stream: string;
	readonly from: LogOffset;
	readonly limit: number;
	/** If there are no new records, the log may delay its response until then (long polling). */
	readonly waitUntil?: Deadline;
	readonly signal?: AbortSignal;
};

export type AppendOptions = {
	readonly stream: string;
	readonly record: unknown;
	readonly signal?: AbortSignal;
};

/**
 * Append-only streams of records.
 *
 * A rejected append may still have taken effect, because the response can be lost. To find out,
 * a caller puts an id into its record and looks for that id in the stream.
 */
export type LogService = {
	readonly append: (options: AppendOptions) => Promise<LogOffset>;
	readonly read: (options: ReadOptions) => Promise<LogReadResult>;
};
