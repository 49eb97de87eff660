/** Applies the records of the directory topic, in offset order, to the known backend servers. */
import {type BackendEntry, type Directory, type KnownBackend} from './types.js';

export type DirectoryRecord = {
	readonly offset: number;
	readonly id: string;
	/** Undefined if the entry was removed, `unreadable` if it was overwritten by data that describes no backend server. */
	readonly entry: BackendEntry | 'unreadable' | undefined;
};

export type ApplyContext = {
	/** Current time on the steady clock, in milliseconds. */
	readonly now: number;
	/**
	 * Until this time, on the same clock, entries may have expired because the store was down, not because their backend
	 * servers ended. A backend server whose entry is removed before then stays in use until then. If it is alive, it has
	 * written its entry again by that time.
	 */
	readonly expiryGraceUntil: number;
};

/** Whether an entry was written by an earlier incarnation than the known one, or earlier in the same incarnation. */
const isOutdated = (entry: BackendEntry, known: KnownBackend | undefined): boolean => {
	if (known === undefined || entry.startedAt === undefined || known.entry.startedAt === undefined) {
		return false;
	}

	return entry.startedAt < known.entry.startedAt
		|| (entry.startedAt === known.entry.startedAt && entry.sequence < known.entry.sequence);
};

const applyRemoval = (backends: Map<string, KnownBackend>, record: DirectoryRecord, context: ApplyContext): void => {
	const known = backends.get(record.id);
	if (known === undefined) {
		return;
	}

	if (context.now < context.expiryGraceUntil && !known.entry.isLeaving) {
		backends.set(record.id, {...known, missingUntil: known.missingUntil ?? context.expiryGraceUntil});
		return;
	}

	backends.delete(record.id);
};

/** Applies records to the directory. Records that were applied before and outdated entries change nothing. */
export const applyDirectoryRecords = (directory: Directory, records: readonly DirectoryRecord[], context: ApplyContext): Directory => {
	const backends = new Map(directory.backends);
	let {next} = directory;
	for (const record of records) {
		if (record.offset < next) {
			continue;
		}

		next = record.offset + 1;
		if (record.entry === undefined) {
			applyRemoval(backends, record, context);
			continue;
		}

		if (record.entry === 'unreadable' || isOutdated(record.entry, backends.get(record.id))) {
			continue;
		}

		backends.set(record.id, {entry: record.entry, offset: record.offset, missingUntil: undefined});
	}

	return {backends, next};
};

/**
 * Replaces the directory with a complete listing. Entries that are not listed count as removed. A listing of a state of the
 * store before the directory's offset changes nothing: a peer may have told of later removals while it was under way.
 */
export const applyListing = (directory: Directory, records: readonly DirectoryRecord[], endOffset: number, context: ApplyContext): Directory => {
	if (endOffset < directory.next) {
		return directory;
	}

	const listed = new Set(records.map(record => record.id));
	const missing = [...directory.backends.keys()]
		.filter(id => !listed.has(id))
		.map(id => ({offset: directory.next, id, entry: undefined}));
	const remaining = new Map(directory.backends);
	for (const record of missing) {
		applyRemoval(remaining, record, context);
	}

	// A listing holds each entry with the offset of its newest record, in no particular order.
	const applied = applyDirectoryRecords({backends: remaining, next: 0}, records.toSorted((left, right) => left.offset - right.offset), context);
	return {backends: applied.backends, next: endOffset};
};

/** Drops entries that are still missing at the end of their grace period. */
export const dropExpired = (directory: Directory, now: number): Directory => {
	const expired = [...directory.backends].filter(([, known]) => known.missingUntil !== undefined && known.missingUntil <= now);
	if (expired.length === 0) {
		return directory;
	}

	const backends = new Map(directory.backends);
	for (const [id] of expired) {
		backends.delete(id);
	}

	return {backends, next: directory.next};
};
