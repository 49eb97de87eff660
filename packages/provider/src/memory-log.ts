/** In-memory log for a daemon that runs without a platform, and for the test server of the log service. */
import {type Clock} from '@shallotpass/common/clock.js';
import {type LogRecord, type LogService, type ReadOptions} from '@shallotpass/common/log-service.js';
import {type LogOffset} from '@shallotpass/common/types.js';

type MemoryStream = {
	records: LogRecord[];
	/** Offset of the first record that has not been trimmed. */
	earliest: number;
	readonly waiters: Set<() => void>;
};

export type MemoryLog = LogService & {
	/** Deletes the records before the offset. */
	readonly trim: (stream: string, earliest: number) => void;
	readonly countAppends: () => number;
	readonly listStreams: () => string[];
	/** Returns all records of the stream that have not been trimmed. */
	readonly listRecords: (stream: string) => readonly LogRecord[];
};

const getNextOffset = (stream: MemoryStream): number => stream.earliest + stream.records.length;

export const makeMemoryLog = (clock: Clock): MemoryLog => {
	const streams = new Map<string, MemoryStream>();
	let appendCount = 0;

	const getOrCreateStream = (name: string): MemoryStream => {
		const existing = streams.get(name);
		if (existing !== undefined) {
			return existing;
		}

		const stream: MemoryStream = {records: [], earliest: 0, waiters: new Set()};
		streams.set(name, stream);
		return stream;
	};

	const waitForRecord = async (stream: MemoryStream, options: ReadOptions): Promise<void> => {
		const waitController = new AbortController();
		const wake = () => {
			waitController.abort();
		};

		stream.waiters.add(wake);
		options.signal?.addEventListener('abort', wake, {once: true});
		try {
			await clock.waitUntil(options.waitUntil!, waitController.signal);
		} catch {
			// A new record was appended or the reader's signal was aborted.
		} finally {
			stream.waiters.delete(wake);
			options.signal?.removeEventListener('abort', wake);
		}
	};

	return {
		async append({stream: name, record}) {
			const stream = getOrCreateStream(name);
			const offset = getNextOffset(stream) as LogOffset;
			appendCount++;
			stream.records.push({offset, appendedAt: clock.now(), record: structuredClone(record)});
			for (const wake of stream.waiters) {
				wake();
			}

			return offset;
		},
		async read(options) {
			const stream = getOrCreateStream(options.stream);
			if (options.from < stream.earliest) {
				return {kind: 'trimmed', earliest: stream.earliest as LogOffset};
			}

			if (options.from >= getNextOffset(stream) && options.waitUntil !== undefined && options.waitUntil > clock.now() && options.signal?.aborted !== true) {
				await waitForRecord(stream, options);
			}

			if (options.from < stream.earliest) {
				return {kind: 'trimmed', earliest: stream.earliest as LogOffset};
			}

			const start = options.from - stream.earliest;
			const records = stream.records.slice(start, start + options.limit);
			return {kind: 'records', records, next: (options.from + records.length) as LogOffset};
		},
		trim(name, earliest) {
			const stream = getOrCreateStream(name);
			const end = Math.min(earliest, getNextOffset(stream));
			const count = end - stream.earliest;
			if (count > 0) {
				stream.records = stream.records.slice(count);
				stream.earliest = end;
			}
		},
		countAppends: () => appendCount,
		listStreams: () => [...streams.keys()],
		listRecords: name => getOrCreateStream(name).records,
	};
};
