/** Adopts the backend servers that another daemon has read from the store. */
import {type ApplyContext, isOutdated, rememberRemoved} from './directory-state.js';
import {type BackendEntry, type Directory, type KnownBackend} from './types.js';

/** A backend server in the form in which daemons send it to each other. */
export type PeerBackend = {
	readonly entry: BackendEntry;
	readonly offset: number;
	/** Remaining grace period of an entry that is missing and may only have expired, in milliseconds. */
	readonly missingForMs?: number | undefined;
};

export type PeerDirectory = {
	readonly backends: readonly PeerBackend[];
	readonly next: number;
};

/** Lists the backend servers of a directory in the form that is sent to peers. */
export const toPeerBackends = ({backends}: Directory, now: number): PeerBackend[] => [...backends.values()].map(({entry, offset, missingUntil}) => ({
	entry, offset, missingForMs: missingUntil === undefined ? undefined : missingUntil - now,
}));

/** Returns the newer one of two entries of a backend server: a peer may have read an older one last, or be a daemon that drops the software version. */
const getNewerEntry = (entry: BackendEntry, lastKnown: BackendEntry | undefined): BackendEntry => {
	if (lastKnown === undefined) {
		return entry;
	}

	if (isOutdated(entry, lastKnown)) {
		return lastKnown;
	}

	const isSameIncarnation = entry.startedAt !== undefined && entry.startedAt === lastKnown.startedAt && entry.address === lastKnown.address;
	return isSameIncarnation ? {...entry, softwareVersion: entry.softwareVersion ?? lastKnown.softwareVersion} : entry;
};

/**
 * Replaces the directory with a peer's. An entry that is missing there and in its grace period is kept only if it can have expired
 * for this daemon too. Otherwise the peer alone was disconnected, and the backend server would get calls after it has left.
 */
export const adoptPeerDirectory = (own: Directory, peer: PeerDirectory, {now, expiryGraceUntil}: ApplyContext): Directory => {
	const backends = new Map<string, KnownBackend>();
	for (const {entry, offset, missingForMs} of peer.backends) {
		const known = own.backends.get(entry.id);
		const mayHaveExpired = known !== undefined && (known.missingUntil !== undefined || now < expiryGraceUntil);
		if (missingForMs !== undefined && !mayHaveExpired) {
			continue;
		}

		if (known === undefined && isOutdated(entry, own.removed.get(entry.id)?.entry)) {
			continue;
		}

		backends.set(entry.id, {
			entry: getNewerEntry(entry, known?.entry),
			offset,
			missingUntil: missingForMs === undefined ? undefined : now + missingForMs,
		});
	}

	const missingIds = [...own.backends.keys()].filter(id => !backends.has(id));
	return {backends, removed: rememberRemoved(own, missingIds, now), next: peer.next};
};
