/** Keeps the list of backend servers by what they write of themselves in the store. */
import {
	dropMissing, foldDirectory, takeListing, type DirectoryRecord,
} from '@shallotpass/core/directory/fold-directory.js';
import {type Directory, emptyDirectory} from '@shallotpass/core/directory/types.js';
import {takeDirectory} from './backend-book.js';
import {followTopic} from './follow-topic.js';
import {type GatewayState} from './gateway-state.js';
import {type KeyedRecord, type Platform} from './ports.js';

/**
 * Backend servers write every 1.2 s, so a poll that waits returns at once; this pause bounds the
 * polls. With the way there it stays below the time in which a leaving one must get no more calls.
 */
const pollPartOfDrain = 0.35;

/** A backend server that lives has written its entry again within this time after the store's return. */
const lapseMs = 2200;

export type DirectoryOptions = {
	readonly gateway: GatewayState;
	readonly platform: Platform;
	readonly onChange: (directory: Directory) => void;
	readonly signal: AbortSignal;
};

export const followDirectory = async ({gateway, platform, onChange, signal}: DirectoryOptions): Promise<void> => {
	let directory = emptyDirectory;
	let isAway = false;
	let lapsesUntil = 0;

	const toRecord = (record: KeyedRecord): DirectoryRecord => ({
		offset: record.offset,
		id: record.key,
		entry: record.value === undefined ? undefined : (platform.records.toBackendEntry(record.key, record.value) ?? 'unreadable'),
	});

	const take = (next: Directory): void => {
		directory = dropMissing(next, gateway.clocks.steady());
		for (const change of takeDirectory(gateway.book, directory, gateway.clocks.steady())) {
			gateway.log.write('belief', `backend_${change.kind}`, {
				backend: change.entry.id, address: change.entry.address, service: change.entry.service, zone: change.entry.availabilityZone,
				reclaimable: change.entry.isReclaimable, leavesInMs: change.entry.leavesInMs, offset: directory.next,
			});
		}

		gateway.hasDirectory = true;
		onChange(directory);
	};

	const context = () => ({now: gateway.clocks.steady(), lapsesUntil});
	const timer = setInterval(() => {
		const dropped = dropMissing(directory, gateway.clocks.steady());
		if (!isAway && dropped !== directory) {
			take(dropped);
		}
	}, 500);
	signal.addEventListener('abort', () => {
		clearInterval(timer);
	}, {once: true});

	await followTopic({
		store: platform.store,
		topic: 'directory',
		waitMs: Math.floor(gateway.settings.bounds.drainMs * pollPartOfDrain),
		pauseMs: Math.floor(gateway.settings.bounds.drainMs * pollPartOfDrain),
		signal,
		handlers: {
			onListing(records, end) {
				take(takeListing(directory, records.map(record => toRecord(record)), end, context()));
			},
			onRecords(records) {
				take(foldDirectory(directory, records.map(record => toRecord(record)), context()));
			},
			onFresh() {
				if (isAway) {
					isAway = false;
					lapsesUntil = gateway.clocks.steady() + lapseMs;
					gateway.log.write('belief', 'store_regained', {topic: 'directory'});
				}
			},
			onFailure(reason) {
				lapsesUntil = gateway.clocks.steady() + lapseMs;
				if (!isAway && !signal.aborted) {
					isAway = true;
					gateway.log.write('belief', 'store_lost', {topic: 'directory', reason});
				}
			},
		},
	});
};
