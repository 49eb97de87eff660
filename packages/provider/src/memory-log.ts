/** A log in memory: the embedded platform of a daemon on its own, and the heart of the log stand-in. */
import {type Clock} from '@shallotpass/common/clock.js';
import {type LogRecord, type LogService, type ReadOptions} from '@shallotpass/common/log-service.js';
import {type LogOffset} from '@shallotpass/common/types.js';

type MemoryStream = {
	records: LogRecord[];
	/** Offset of the first record that is kept. */
	earliest: number;
	readonly waiters: Set<() => void>;
};

export type MemoryLog = LogService & {
	/** Forgets the records before the offset. */
	readonly trim: (stream: string, earliest: number) => void;
	readonly countAppends: () => number;
	readonly listStreams: () => string[];
	/** Every record of the stream that is kept. */
	readonly dump: (stream: string) => readonly LogRecord[];
};

const getNext = (stream: MemoryStream): number => stream.earliest + stream.records.length;

export const makeMemoryLog = (clock: Clock): MemoryLog => {
	const streams = new Map<string, MemoryStream>();
	let appends = 0;

	const open = (name: string): MemoryStream => {
		const known = streams.get(name);
		if (known !== undefined) {
			return known;
		}

		const stream: MemoryStream = {records: [], earliest: 0, waiters: new Set()};
		streams.set(name, stream);
		return stream;
	};

	const waitForRecord = async (stream: MemoryStream, options: ReadOptions): Promise<void> => {
		const ended = new AbortController();
		const wake = () => {
			ended.abort();
		};

		stream.waiters.add(wake);
		options.signal?.addEventListener('abort', wake, {once: true});
		try {
			await clock.waitUntil(options.waitUntil!, ended.signal);
		} catch {
			// Woken by a record or by the reader's own signal.
		} finally {
			stream.waiters.delete(wake);
			options.signal?.removeEventListener('abort', wake);
		}
	};

	return {
		async append({stream: name, record}) {
			const stream = open(name);
			const offset = getNext(stream) as LogOffset;
			appends++;
			stream.records.push({offset, appendedAt: clock.now(), record: structuredClone(record)});
			for (const wake of stream.waiters) {
				wake();
			}

			return offset;
		},
		async read(options) {
			const stream = open(options.stream);
			if (options.from < stream.earliest) {
				return {kind: 'trimmed', earliest: stream.earliest as LogOffset};
			}

			if (options.from >= getNext(stream) && options.waitUntil !== undefined && options.waitUntil > clock.now() && options.signal?.aborted !== true) {
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
			const stream = open(name);
			const end = Math.min(earliest, getNext(stream));
			const count = end - stream.earliest;
			if (count > 0) {
				stream.records = stream.records.slice(count);
				stream.earliest = end;
			}
		},
		countAppends: () => appends,
		listStreams: () => [...streams.keys()],
		dump: name => open(name).records,
	};
};
