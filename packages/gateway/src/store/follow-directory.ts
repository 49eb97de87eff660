/** Maintains the directory of backend servers from the entries that they write into the store. */
import {
	dropExpired, applyDirectoryRecords, applyListing, type DirectoryRecord, getFirstExpiry, listNewlyMissing,
} from '@shallotpass/core/directory/directory-state.js';
import {digestDirectory} from '@shallotpass/core/directory/digest-directory.js';
import {type PeerDirectory, adoptPeerDirectory} from '@shallotpass/core/directory/adopt-peer-directory.js';
import {type Directory, emptyDirectory} from '@shallotpass/core/directory/types.js';
import {applyDirectory} from '../calls/backend-registry.js';
import {type GatewaySettings} from '../gateway-settings.js';
import {type DirectoryStatus, type GatewayState} from '../gateway-state.js';
import {type KeyedRecord, type Platform} from '../ports.js';
import {followTopic} from './follow-topic.js';
import {makeRefusalReporter} from './report-refused.js';
import {entryRewriteMs, makeOutageTracker} from './track-outage.js';

/**
 * Polling interval as a share of `drainMs`. Backend servers write every 1.2 s, so a long poll returns
 * quickly, and this interval limits the number of polls. Together with the delay until other daemons
 * receive the directory, or read it themselves, it stays below the time within which calls to a leaving
 * backend server must stop.
 */
const pollShareOfDrain = 0.2;

export const getDirectoryPollMs = (bounds: GatewaySettings['bounds']): number => Math.floor(bounds.drainMs * pollShareOfDrain);

/** If a peer's directory is younger than this, the store was available to the peer and only this daemon was disconnected from it. */
const peerFreshMs = 2000;

/** Records that a peer with the same backend servers may have read beyond this daemon. The store takes fewer within minutes. */
const maxRecordsAhead = 1_000_000;

/** Interval between checks for entries that have been missing for too long. */
const missingCheckIntervalMs = 50;

export type DirectoryFollower = {
	/** Returns this daemon's directory and its age. */
	readonly read: () => {readonly directory: Directory; readonly digest: string; readonly ageMs: number};
	/** Adopts a peer's directory if it is newer. */
	readonly adoptFromPeer: (directory: PeerDirectory, ageMs: number, address: string) => void;
	/** Records that the peer at the address has the same backend servers as of the store offset `next`. */
	readonly confirm: (next: number, ageMs: number, address: string) => void;
};

type DirectoryOrigin = {
	/** `store`, or the address of the daemon that it was adopted from. */
	readonly source: string;
	/** Time on the steady clock as of which the previous directory was up to date, so all changes were written later. */
	readonly changedAfter: number;
};

export type FollowDirectoryOptions = {
	readonly gateway: GatewayState;
	readonly platform: Platform;
	readonly isPaused: () => boolean;
	readonly getMaxRetryDelayMs: () => number;
	readonly signal: AbortSignal;
};

export const followDirectory = ({gateway, platform, isPaused, getMaxRetryDelayMs, signal}: FollowDirectoryOptions): DirectoryFollower => {
	let directory = emptyDirectory;
	let digest = digestDirectory(directory);
	/** End of the grace period in which entries may be missing only because of an outage of the store. */
	let expiryGraceUntil = 0;
	/** The same for entries that a peer keeps. The peer limits their grace period. */
	let peerGraceUntil = 0;
	/** When the first of the missing entries is dropped. */
	let firstExpiryAt = Infinity;
	/** When the directory of any peer was last confirmed to be up to date. */
	let peerFreshAt = Number.NEGATIVE_INFINITY;
	/** When this daemon's directory had last been confirmed before the store's latest response. */
	let confirmedBefore = Number.NEGATIVE_INFINITY;
	const now = (): number => gateway.clocks.steady();
	const outage = makeOutageTracker({now, getStableMs: () => gateway.settings.bounds.stableMs});

	const updateStatus = (changes: Partial<DirectoryStatus>): void => {
		gateway.directoryStatus = {...gateway.directoryStatus, ...changes, offset: directory.next};
	};

	const getAgeMs = (): number => now() - gateway.directoryStatus.confirmedAt;

	const reportRefused = makeRefusalReporter(gateway.log, 'directory');
	const toRecord = (record: KeyedRecord): DirectoryRecord => {
		const decoded = record.value && platform.records.toBackendEntry(record.key, record.value);
		if (decoded?.kind === 'refused') {
			reportRefused(record, decoded.field);
		}

		return {offset: record.offset, id: record.key, entry: decoded?.kind === 'refused' ? 'unreadable' : decoded?.value};
	};

	const logNewlyMissing = (next: Directory, source: string): void => {
		for (const {entry, missingUntil} of listNewlyMissing(directory, next)) {
			const keptMs = Math.round((missingUntil ?? now()) - now());
			gateway.log.write('state', 'backend_missing', {
				backend: entry.id, offset: next.next, source, keptMs,
			});
		}
	};

	let announcedVersions = new Map<string, string>();
	/** Logs the versions of each service whose set has changed, as at the start of a roll. */
	const announceVersions = (): void => {
		const {versionsByService} = gateway.registry;
		const current = new Map<string, string>();
		for (const [service, versions] of versionsByService) {
			const names = [...versions.keys()].toSorted().join('\n');
			current.set(service, names);
			if (announcedVersions.get(service) !== names) {
				gateway.log.write('state', 'service_versions', {service, versions: Object.fromEntries(versions)});
			}
		}

		announcedVersions = current;
	};

	const replaceDirectory = (next: Directory, {source, changedAfter}: DirectoryOrigin): void => {
		logNewlyMissing(next, source);
		directory = dropExpired(next, now());
		firstExpiryAt = getFirstExpiry(directory);
		digest = digestDirectory(directory);
		for (const change of applyDirectory(gateway.registry, directory, {now: now(), changedAfter, drainMs: gateway.settings.bounds.drainMs})) {
			gateway.log.write('state', `backend_${change.kind}`, {
				backend: change.entry.id, address: change.entry.address, service: change.entry.service, zone: change.entry.availabilityZone,
				reclaimable: change.entry.isReclaimable, leavesInMs: change.entry.leavesInMs, offset: directory.next,
				startedAt: change.entry.startedAt, sequence: change.entry.sequence, version: change.entry.softwareVersion, source, writtenWithinMs: Math.round(now() - changedAfter),
			});
		}

		announceVersions();
		updateStatus({source});
		gateway.directoryReadAt ??= now();
	};

	const makeStoreContext = () => ({now: now(), expiryGraceUntil});
	const makePeerContext = () => ({now: now(), expiryGraceUntil: peerGraceUntil});
	const timer = setInterval(() => {
		if (now() < firstExpiryAt) {
			return;
		}

		// While nobody reaches the store, a running backend server can't write its entry again.
		const isStoreReachable = gateway.directoryStatus.confirmedAt > outage.getFailedAt();
		const dropped = isStoreReachable ? dropExpired(directory, now()) : directory;
		if (dropped !== directory) {
			replaceDirectory(dropped, {source: gateway.directoryStatus.source, changedAfter: now() - entryRewriteMs});
		}
	}, missingCheckIntervalMs);
	signal.addEventListener('abort', () => {
		clearInterval(timer);
	}, {once: true});

	void followTopic({
		store: platform.store,
		topic: 'directory',
		waitMs: getDirectoryPollMs(gateway.settings.bounds),
		minIntervalMs: getDirectoryPollMs(gateway.settings.bounds),
		isPaused,
		getMaxRetryDelayMs,
		signal,
		handlers: {
			onCall: outage.recordCall,
			onListing(records, end) {
				replaceDirectory(applyListing(directory, records.map(record => toRecord(record)), end, makeStoreContext()), {source: 'store', changedAfter: confirmedBefore});
			},
			onRecords(records) {
				replaceDirectory(applyDirectoryRecords(directory, records.map(record => toRecord(record)), makeStoreContext()), {source: 'store', changedAfter: confirmedBefore});
			},
			onResponse() {
				const wasStale = Number.isFinite(getAgeMs()) && getAgeMs() > peerFreshMs;
				confirmedBefore = gateway.directoryStatus.confirmedAt;
				updateStatus({confirmedAt: Math.max(confirmedBefore, now() - gateway.loop.getStandingMs()), storeAnsweredAt: now(), source: 'store'});
				if (outage.recordAnswer() || wasStale) {
					// If the store was available to other daemons, entries did not expire because of an outage:
					// a removed backend server has shut down and must get no more calls.
					const wasAwayForAll = now() > peerFreshAt + peerFreshMs;
					expiryGraceUntil = wasAwayForAll ? outage.getGraceEnd() : now();
					gateway.log.write('state', 'store_regained', {topic: 'directory', wasAwayForAll, graceMs: Math.round(expiryGraceUntil - now())});
				}
			},
			onFailure(reason) {
				if (outage.recordFailure() && !signal.aborted) {
					gateway.log.write('state', 'store_lost', {topic: 'directory', reason});
				}
			},
		},
	});

	/** If this daemon's directory is stale, the store may have been away, and entries that peers miss may have expired meanwhile. */
	const openGraceAfterOutage = (): void => {
		if (getAgeMs() > peerFreshMs) {
			peerGraceUntil = now() + entryRewriteMs;
		}
	};

	const recordPeerFreshness = (peerNext: number, refreshedAt: number, address: string): void => {
		peerFreshAt = Math.max(peerFreshAt, refreshedAt);
		if (peerNext >= directory.next && refreshedAt > gateway.directoryStatus.confirmedAt) {
			updateStatus({confirmedAt: refreshedAt, source: address});
		}
	};

	return {
		read: () => ({directory, digest, ageMs: getAgeMs()}),
		adoptFromPeer(peerDirectory, ageMs, address) {
			const refreshedAt = now() - ageMs;
			openGraceAfterOutage();
			if (peerDirectory.next > directory.next) {
				gateway.log.write('state', 'directory_from_peer', {
					next: peerDirectory.next, before: directory.next, ageMs: Math.round(ageMs), address,
				});
				replaceDirectory(adoptPeerDirectory(directory, peerDirectory, makePeerContext()), {source: address, changedAfter: gateway.directoryStatus.confirmedAt});
			}

			recordPeerFreshness(peerDirectory.next, refreshedAt, address);
		},
		confirm(next, ageMs, address) {
			openGraceAfterOutage();
			recordPeerFreshness(next, now() - ageMs, address);
			directory = {...directory, next: next <= directory.next + maxRecordsAhead ? Math.max(directory.next, next) : directory.next};
			updateStatus({});
		},
	};
};
