/** Keeps the list of backend servers by what they write of themselves in the store. */
import {
	dropMissing, foldDirectory, takeListing, type DirectoryRecord,
} from '@shallotpass/core/directory/fold-directory.js';
import {digestDirectory} from '@shallotpass/core/directory/digest-directory.js';
import {type PeerDirectory, takePeerDirectory} from '@shallotpass/core/directory/take-from-peer.js';
import {type Directory, emptyDirectory} from '@shallotpass/core/directory/types.js';
import {applyDirectory} from '../calls/backend-registry.js';
import {type GatewaySettings} from '../gateway-settings.js';
import {type GatewayState} from '../gateway-state.js';
import {type KeyedRecord, type Platform} from '../ports.js';
import {followTopic} from './follow-topic.js';

/**
 * Backend servers write every 1.2 s, so a poll that waits returns at once; this pause bounds the
 * polls. With the ways to those who ask the reader, and the time after which they read themselves, it
 * stays below the time in which a leaving one must get no more calls.
 */
const pollPartOfDrain = 0.2;

export const getDirectoryPollMs = (bounds: GatewaySettings['bounds']): number => Math.floor(bounds.drainMs * pollPartOfDrain);

/**
 * A backend server that lives has written its entry again within this time after the store is
 * seen to be back: they write every 1.2 s. With the 1.3 s in which a return is noticed it stays
 * below the 3 s after which the bounds hold again.
 */
const lapseMs = 1700;

/** SharedState of a peer this young mean that the store served it, and only this daemon was cut off. */
const peerFreshMs = 2000;

/** How often entries that were missing for too long are looked for, in milliseconds. */
const missingCheckMs = 500;

export type DirectoryFollower = {
	/** What this daemon believes, and how old it is. */
	readonly read: () => {readonly directory: Directory; readonly digest: string; readonly ageMs: number};
	/** Takes what a peer believes when that is newer. */
	readonly takeFromPeer: (directory: PeerDirectory, ageMs: number) => void;
	/** Notes that a peer knows the same backend servers, up to a record of the store. */
	readonly confirm: (next: number, ageMs: number) => void;
};

export type DirectoryOptions = {
	readonly gateway: GatewayState;
	readonly platform: Platform;
	readonly isPaused: () => boolean;
	readonly getLongestPauseMs: () => number;
	readonly signal: AbortSignal;
};

export const followDirectory = ({gateway, platform, isPaused, getLongestPauseMs, signal}: DirectoryOptions): DirectoryFollower => {
	let directory = emptyDirectory;
	let digest = digestDirectory(directory);
	let isAway = false;
	let lapsesUntil = 0;
	let freshAt = Number.NEGATIVE_INFINITY;
	let peerFreshAt = Number.NEGATIVE_INFINITY;
	const now = (): number => gateway.clocks.steady();

	const toRecord = (record: KeyedRecord): DirectoryRecord => ({
		offset: record.offset,
		id: record.key,
		entry: record.value === undefined ? undefined : (platform.records.toBackendEntry(record.key, record.value) ?? 'unreadable'),
	});

	const take = (next: Directory): void => {
		directory = dropMissing(next, now());
		digest = digestDirectory(directory);
		for (const change of applyDirectory(gateway.registry, directory, {now: now(), drainMs: gateway.settings.bounds.drainMs})) {
			gateway.log.write('state', `backend_${change.kind}`, {
				backend: change.entry.id, address: change.entry.address, service: change.entry.service, zone: change.entry.availabilityZone,
				reclaimable: change.entry.isReclaimable, leavesInMs: change.entry.leavesInMs, offset: directory.next,
			});
		}

		gateway.directorySince ??= now();
	};

	const context = () => ({now: now(), lapsesUntil});
	const timer = setInterval(() => {
		const dropped = dropMissing(directory, now());
		if (!isAway && dropped !== directory) {
			take(dropped);
		}
	}, missingCheckMs);
	signal.addEventListener('abort', () => {
		clearInterval(timer);
	}, {once: true});

	void followTopic({
		store: platform.store,
		topic: 'directory',
		waitMs: getDirectoryPollMs(gateway.settings.bounds),
		everyMs: getDirectoryPollMs(gateway.settings.bounds),
		isPaused,
		getLongestPauseMs,
		signal,
		handlers: {
			onListing(records, end) {
				take(takeListing(directory, records.map(record => toRecord(record)), end, context()));
			},
			onRecords(records) {
				take(foldDirectory(directory, records.map(record => toRecord(record)), context()));
			},
			onFresh() {
				const wasStale = Number.isFinite(freshAt) && now() > freshAt + peerFreshMs;
				freshAt = now();
				if (isAway || wasStale) {
					isAway = false;
					// A daemon that was cut off while the store served others saw no entry lapse: what was
					// removed has gone, and would get calls after it left.
					const wasAwayForAll = now() > peerFreshAt + peerFreshMs;
					lapsesUntil = wasAwayForAll ? now() + lapseMs : 0;
					gateway.log.write('state', 'store_regained', {topic: 'directory', wasAwayForAll});
				}
			},
			onFailure(reason) {
				lapsesUntil = now() + lapseMs;
				if (!isAway && !signal.aborted) {
					isAway = true;
					gateway.log.write('state', 'store_lost', {topic: 'directory', reason});
				}
			},
		},
	});

	const notePeerFresh = (theirNext: number, theirFreshAt: number): void => {
		peerFreshAt = Math.max(peerFreshAt, theirFreshAt);
		if (theirNext >= directory.next) {
			freshAt = Math.max(freshAt, theirFreshAt);
		}
	};

	return {
		read: () => ({directory, digest, ageMs: now() - freshAt}),
		takeFromPeer(theirs, ageMs) {
			const theirFreshAt = now() - ageMs;
			if (theirs.next > directory.next) {
				gateway.log.write('state', 'directory_from_peer', {next: theirs.next, before: directory.next, ageMs: Math.round(ageMs)});
				take(takePeerDirectory(directory, theirs, now()));
			}

			notePeerFresh(theirs.next, theirFreshAt);
		},
		confirm(next, ageMs) {
			notePeerFresh(next, now() - ageMs);
			directory = {...directory, next: Math.max(directory.next, next)};
		},
	};
};
