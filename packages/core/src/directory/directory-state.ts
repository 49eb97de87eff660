/** Applies the records of the directory topic, in offset order, to the known backend servers. */
import {
	type BackendEntry, type Directory, type KnownBackend, type RemovedBackend,
} from './types.js';

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

/** Time for which removed backend servers are remembered. A write that got no response may be executed seconds later. */
const rememberRemovedMs = 20_000;

/** Whether an entry was written by an earlier incarnation than the known one, or earlier in the same incarnation. */
export const isOutdated = (entry: BackendEntry, known: BackendEntry | undefined): boolean => {
	if (known === undefined || entry.startedAt === undefined || known.startedAt === undefined) {
		return false;
	}

	return entry.startedAt < known.startedAt
		|| (entry.startedAt === known.startedAt && entry.sequence < known.sequence);
};

/** Copy of a directory under change. It is copied once for a whole batch, as there may be thousands of backend servers. */
type Draft = {
	readonly backends: Map<string, KnownBackend>;
	readonly removed: Map<string, RemovedBackend>;
};

const makeDraft = ({backends, removed}: Directory, now: number): Draft => ({
	backends: new Map(backends),
	removed: new Map([...removed].filter(([, {forgetAt}]) => forgetAt > now)),
});

/** Returns the newest known entry of a backend server, also if it was removed lately. */
const getLastEntry = ({backends, removed}: Draft, id: string): BackendEntry | undefined => (backends.get(id) ?? removed.get(id))?.entry;

/** Removes backend servers and remembers their last entries. */
const removeBackends = (draft: Draft, ids: readonly string[], now: number): void => {
	for (const id of ids) {
		const known = draft.backends.get(id);
		if (known !== undefined) {
			draft.backends.delete(id);
			draft.removed.set(id, {entry: known.entry, forgetAt: now + rememberRemovedMs});
		}
	}
};

/** Returns the backend servers to remember after those with the given ids were removed from the directory. */
export const rememberRemoved = (directory: Directory, ids: readonly string[], now: number): Directory['removed'] => {
	const draft = makeDraft(directory, now);
	removeBackends(draft, ids, now);
	return draft.removed;
};

/** Removes a backend server, or marks its entry as missing during the grace period. */
const applyRemoval = (draft: Draft, id: string, {now, expiryGraceUntil}: ApplyContext): void => {
	const known = draft.backends.get(id);
	if (known !== undefined && now < expiryGraceUntil && !known.entry.isLeaving) {
		draft.backends.set(id, {...known, missingUntil: known.missingUntil ?? expiryGraceUntil});
		return;
	}

	removeBackends(draft, [id], now);
};

const applyEntry = (draft: Draft, {id, offset, entry}: DirectoryRecord): void => {
	if (entry === undefined || entry === 'unreadable' || isOutdated(entry, getLastEntry(draft, id))) {
		return;
	}

	draft.backends.set(id, {entry, offset, missingUntil: undefined});
};

/** Applies records to the directory. Records that were applied before and outdated entries change nothing. */
export const applyDirectoryRecords = (directory: Directory, records: readonly DirectoryRecord[], context: ApplyContext): Directory => {
	const draft = makeDraft(directory, context.now);
	let {next} = directory;
	for (const record of records) {
		if (record.offset < next) {
			continue;
		}

		next = record.offset + 1;
		if (record.entry === undefined) {
			applyRemoval(draft, record.id, context);
		} else {
			applyEntry(draft, record);
		}
	}

	return {...draft, next};
};

/**
 * Replaces the directory with a complete listing. Entries that are not listed count as removed. A listing of a state of the
 * store before the directory's offset changes nothing: a peer may have told of later removals while it was under way.
 */
export const applyListing = (directory: Directory, records: readonly DirectoryRecord[], endOffset: number, context: ApplyContext): Directory => {
	if (endOffset < directory.next) {
		return directory;
	}

	const draft = makeDraft(directory, context.now);
	const listed = new Set(records.map(record => record.id));
	for (const id of directory.backends.keys()) {
		if (!listed.has(id)) {
			applyRemoval(draft, id, context);
		}
	}

	for (const record of records) {
		applyEntry(draft, record);
	}

	return {...draft, next: endOffset};
};

/** Lists the backend servers whose entries are missing after a change but were not before it. */
export const listNewlyMissing = (before: Directory, after: Directory): KnownBackend[] => [...after.backends].filter(([id, {missingUntil}]) =>
	missingUntil !== undefined && before.backends.get(id)?.missingUntil === undefined).map(([, known]) => known);

/** Returns when the first of the missing entries is dropped, on the steady clock, or infinity. */
export const getFirstExpiry = ({backends}: Directory): number => {
	let first = Infinity;
	for (const {missingUntil} of backends.values()) {
		first = Math.min(first, missingUntil ?? Infinity);
	}

	return first;
};

/** Drops entries that are still missing at the end of their grace period. */
export const dropExpired = (directory: Directory, now: number): Directory => {
	const expired = [...directory.backends].filter(([, known]) => known.missingUntil !== undefined && known.missingUntil <= now).map(([id]) => id);
	if (expired.length === 0) {
		return directory;
	}

	const draft = makeDraft(directory, now);
	removeBackends(draft, expired, now);
	return {...draft, next: directory.next};
};
