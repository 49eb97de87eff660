/** Folds the records of backend servers in their order. */
import {type BackendEntry, type Directory, type KnownBackend} from './types.js';

export type DirectoryRecord = {
	readonly offset: number;
	readonly id: string;
	/** Undefined: the entry was removed. `unreadable`: it was overwritten by bytes that name no backend server. */
	readonly entry: BackendEntry | 'unreadable' | undefined;
};

export type FoldContext = {
	/** Steady clock in milliseconds. */
	readonly now: number;
	/**
	 * Entries may have lapsed because the store was away, not because their backend servers
	 * ended. A removal seen until this moment keeps its backend server in use until then;
	 * a backend server that lives has written its entry again by that time.
	 */
	readonly lapsesUntil: number;
};

/** Whether an entry was written by an earlier incarnation, or earlier in the same one, than the one that is known. */
const isOutdated = (entry: BackendEntry, known: KnownBackend | undefined): boolean => {
	if (known === undefined || entry.startedAt === undefined || known.entry.startedAt === undefined) {
		return false;
	}

	return entry.startedAt < known.entry.startedAt
		|| (entry.startedAt === known.entry.startedAt && entry.sequence < known.entry.sequence);
};

const foldRemoval = (backends: Map<string, KnownBackend>, record: DirectoryRecord, context: FoldContext): void => {
	const known = backends.get(record.id);
	if (known === undefined) {
		return;
	}

	if (context.now < context.lapsesUntil && !known.entry.isLeaving) {
		backends.set(record.id, {...known, missingUntil: known.missingUntil ?? context.lapsesUntil});
		return;
	}

	backends.delete(record.id);
};

export const foldDirectory = (directory: Directory, records: readonly DirectoryRecord[], context: FoldContext): Directory => {
	const backends = new Map(directory.backends);
	let {next} = directory;
	for (const record of records) {
		if (record.offset < next) {
			continue;
		}

		next = record.offset + 1;
		if (record.entry === undefined) {
			foldRemoval(backends, record, context);
			continue;
		}

		if (record.entry === 'unreadable' || isOutdated(record.entry, backends.get(record.id))) {
			continue;
		}

		backends.set(record.id, {entry: record.entry, offset: record.offset, missingUntil: undefined});
	}

	return {backends, next};
};

/** Replaces the directory by a whole listing; entries that are not listed count as removed. */
export const takeListing = (directory: Directory, records: readonly DirectoryRecord[], end: number, context: FoldContext): Directory => {
	const listed = new Set(records.map(record => record.id));
	const missing = [...directory.backends.keys()]
		.filter(id => !listed.has(id))
		.map(id => ({offset: directory.next, id, entry: undefined}));
	const kept = new Map(directory.backends);
	for (const record of missing) {
		foldRemoval(kept, record, context);
	}

	// A listing names each entry at the offset of its newest record, in no order.
	const folded = foldDirectory({backends: kept, next: 0}, records.toSorted((left, right) => left.offset - right.offset), context);
	return {backends: folded.backends, next: Math.max(end, directory.next)};
};

/** Drops entries that were missing for too long. */
export const dropMissing = (directory: Directory, now: number): Directory => {
	const overdue = [...directory.backends].filter(([, known]) => known.missingUntil !== undefined && known.missingUntil <= now);
	if (overdue.length === 0) {
		return directory;
	}

	const backends = new Map(directory.backends);
	for (const [id] of overdue) {
		backends.delete(id);
	}

	return {backends, next: directory.next};
};
