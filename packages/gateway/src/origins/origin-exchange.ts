/**
 * Remembers the origins of streams together with other daemons. The daemon that serves a stream tells two others, which any daemon
 * finds from the stream's key, so that the origin is known after the first one has ended.
 */
import {needsRelays} from '@shallotpass/core/gossip/pick-relays.js';
import {isSum} from '@shallotpass/core/gossip/gossip-report.js';
import {expireOrigins, findOriginRecord, recordOrigin} from '@shallotpass/core/origins/origin-ledger.js';
import {type OriginKeeper, pickOriginKeepers, rankOriginKeepers} from '@shallotpass/core/origins/pick-origin-keepers.js';
import {
	type ReportedOrigin, reportedOriginSchema, toOriginRecord, toReportedOrigin,
} from '@shallotpass/core/origins/reported-origins.js';
import {hashText} from '@shallotpass/core/routing/rank-by-rendezvous.js';
import * as z from 'zod';
import {type GatewayState, peerExpiryMs} from '../gateway-state.js';
import {type Datagrams} from '../peers/datagrams.js';
import {decodeList} from '../peers/decode-list.js';
import {makePeerRefusalReporter} from '../peers/report-refused.js';
import {waitForPendingOrigin} from './origin-state.js';

/** Interval at which records are dropped, and told to daemons that have come. */
const roundMs = 300;

/** Most records that are told again in a round: at two keepers they are 1.4 kB, within the bytes that control may send. */
const maxRepeatsPerRound = 12;

/** Most records whose keepers are computed in a round, which takes some ten microseconds each among hundreds of daemons. */
const maxChecksPerRound = 500;

/** Records in a datagram, so that it fits into one packet. */
const maxRecordsPerDatagram = 15;

/** Time for which an answer waits for a version that is being found out. The daemon that asks waits longer for it in its second round. */
const pendingWaitMs = 300;

const askSchema = z.tuple([z.string().min(1).max(64)]);

export type OriginExchangeOptions = {
	readonly gateway: GatewayState;
	readonly datagrams: Datagrams;
	readonly signal: AbortSignal;
};

type KnownKeeper = OriginKeeper & {
	/** Identifies the run of its process, as far as it reports to this daemon. */
	readonly incarnation: string;
};

/** Takes part until the signal is aborted. */
export const startOriginExchange = ({gateway, datagrams, signal}: OriginExchangeOptions): void => {
	const {origins, clocks} = gateway;
	const ownAddress = gateway.settings.listen.peers;
	const addressHashes = new Map<string, number>();
	/** Keepers that are known to run, and a hash of them. */
	let keepers: readonly KnownKeeper[] = [];
	let keepersHash = 0;
	/** Hash of the keepers that were told of a record, by its key. */
	const toldKeepers = new Map<string, number>();
	/** Keys of records that may have other keepers now. */
	const unchecked = new Set<string>();

	const hashAddress = (address: string): number => {
		const hash = addressHashes.get(address) ?? hashText(address);
		addressHashes.set(address, hash);
		return hash;
	};

	const listMembers = (): KnownKeeper[] => gateway.listMembers()
		.filter(({address, keepsOrigins}) => keepsOrigins === true && address !== ownAddress)
		.map(({address, availabilityZone}) => ({
			address, addressHash: hashAddress(address), availabilityZone, incarnation: '',
		}));

	/** Lists the daemons that were heard lately. With relays in use only the members are known. */
	const listRunning = (): KnownKeeper[] => {
		if (needsRelays(gateway.listMembers().length)) {
			return listMembers();
		}

		const since = clocks.steady() - peerExpiryMs;
		return [...gateway.peers.values()]
			.filter(report => !isSum(report) && report.keepsOrigins === true && report.receivedAt >= since)
			.map(({address, availabilityZone, incarnation}) => ({
				address, addressHash: hashAddress(address), availabilityZone, incarnation,
			}));
	};

	/** Lists the keepers that are told of streams: those that run, or as long as none is heard, all members. */
	const listTold = (): readonly KnownKeeper[] => keepers.length > 0 ? keepers : listMembers();

	const pickTold = (key: string): KnownKeeper[] => pickOriginKeepers(listTold(), hashText(key));

	const hashKeepers = (told: readonly KnownKeeper[]): number => hashText(told.map(({address, incarnation}) => `${address} ${incarnation}`).join(' '));

	origins.listKnowing = key => {
		const members = listMembers();
		// With relays in use one daemon cannot ask all.
		return rankOriginKeepers(needsRelays(members.length) ? listTold() : members, hashText(key));
	};

	const sendRecords = (address: string, records: readonly ReportedOrigin[]): void => {
		for (let start = 0; start < records.length; start += maxRecordsPerDatagram) {
			datagrams.notify(address, 'origins', records.slice(start, start + maxRecordsPerDatagram));
		}
	};

	origins.tell = record => {
		const told = pickTold(record.key);
		toldKeepers.set(record.key, hashKeepers(told));
		for (const {address} of told) {
			sendRecords(address, [toReportedOrigin(record, clocks.steady())]);
		}

		return told;
	};

	origins.ask = async ({address}, key, timeoutMs) => datagrams.request(address, 'ask_origin', [key], timeoutMs);

	const reportRefused = makePeerRefusalReporter(gateway.log);
	datagrams.handle('origins', (parameters, sender) => {
		const now = clocks.steady();
		for (const reported of decodeList(parameters, reportedOriginSchema, field => {
			reportRefused('origins', sender, field);
		})) {
			const [key] = reported;
			if (recordOrigin(origins.ledger, toOriginRecord(reported, now), now) === 'full') {
				gateway.log.write('failure', 'origin_not_kept', {streams: origins.ledger.size});
			}

			// Its sender has told the other keepers.
			toldKeepers.set(key, hashKeepers(pickTold(key)));
		}
	});
	datagrams.handle('ask_origin', async parameters => {
		const key = askSchema.safeParse(parameters).data?.[0];
		await waitForPendingOrigin(origins, key ?? '', {timeoutMs: pendingWaitMs, signal});
		const now = clocks.steady();
		const record = key === undefined ? undefined : findOriginRecord(origins.ledger, key, now);
		return record === undefined ? [] : [toReportedOrigin(record, now)];
	});

	/** Lets all records be checked again when daemons have started, ended or come back. */
	const updateKeepers = (): void => {
		keepers = listRunning();
		const hash = hashKeepers(keepers.toSorted((left, right) => left.address < right.address ? -1 : 1));
		if (hash === keepersHash) {
			return;
		}

		keepersHash = hash;
		for (const key of origins.ledger.keys()) {
			unchecked.add(key);
		}
	};

	/** Tells records again whose keepers are not those that were told, a part of them each round. */
	const repeatRecords = (): void => {
		const now = clocks.steady();
		const recordsByAddress = new Map<string, ReportedOrigin[]>();
		let checked = 0;
		let repeated = 0;
		for (const key of unchecked) {
			if (checked >= maxChecksPerRound || repeated >= maxRepeatsPerRound) {
				break;
			}

			checked++;
			unchecked.delete(key);
			const record = findOriginRecord(origins.ledger, key, now);
			const told = pickTold(key);
			const hash = hashKeepers(told);
			if (record === undefined || toldKeepers.get(key) === hash) {
				continue;
			}

			repeated++;
			toldKeepers.set(key, hash);
			for (const {address} of told) {
				recordsByAddress.set(address, [...recordsByAddress.get(address) ?? [], toReportedOrigin(record, now)]);
			}
		}

		for (const [address, records] of recordsByAddress) {
			sendRecords(address, records);
		}
	};

	const dropExpired = (): void => {
		expireOrigins(origins.ledger, clocks.steady());
		for (const key of toldKeepers.keys()) {
			if (!origins.ledger.has(key)) {
				toldKeepers.delete(key);
			}
		}
	};

	const timer = setInterval(() => {
		dropExpired();
		gateway.metrics.rememberedStreams.set(origins.ledger.size);
		updateKeepers();
		repeatRecords();
	}, roundMs);
	updateKeepers();
	signal.addEventListener('abort', () => {
		clearInterval(timer);
	}, {once: true});
};
