/**
 * Remembers the origins of streams together with other daemons. The daemon that serves a stream tells two others, which any daemon
 * finds from the stream's key, so that the origin is known after the first one has ended.
 */
import {needsRelays} from '@shallotpass/core/gossip/pick-relays.js';
import {isSum} from '@shallotpass/core/gossip/gossip-report.js';
import {expireOrigins, findOriginRecord, recordOrigin} from '@shallotpass/core/origins/origin-ledger.js';
import {keepersPerStream, type OriginKeeper, rankOriginKeepers} from '@shallotpass/core/origins/pick-origin-keepers.js';
import {
	type ReportedOrigin, reportedOriginsSchema, toOriginRecord, toReportedOrigin,
} from '@shallotpass/core/origins/reported-origins.js';
import {type OriginRecord} from '@shallotpass/core/origins/types.js';
import {hashText} from '@shallotpass/core/routing/rank-by-rendezvous.js';
import * as z from 'zod';
import {type GatewayState, peerExpiryMs} from '../gateway-state.js';
import {type Datagrams} from '../peers/datagrams.js';

/** Interval at which records are dropped, and told to daemons that have come. */
const roundMs = 300;

/** Most records that are told again in a round. With 60 bytes each they stay within the bytes that control may send. */
const maxRepeatsPerRound = 30;

/** Records in a datagram, so that it fits into one packet. */
const maxRecordsPerDatagram = 15;

/** Time within which a daemon answers. A busy one takes some ten milliseconds. */
const askTimeoutMs = 120;

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
	/** Keepers that are known to run, by address. */
	let keepers = new Map<string, KnownKeeper>();
	/** Keys of records whose keepers have changed and that are to be told again. */
	const untold = new Set<string>();

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

	origins.listKeepers = (key, includesAll) => {
		const members = listMembers();
		const known = includesAll && !needsRelays(members.length) ? members : [...keepers.values()];
		return rankOriginKeepers(known.length === 0 ? members : known, hashText(key));
	};

	const sendRecords = (address: string, records: readonly ReportedOrigin[]): void => {
		for (let start = 0; start < records.length; start += maxRecordsPerDatagram) {
			datagrams.notify(address, 'origins', records.slice(start, start + maxRecordsPerDatagram));
		}
	};

	origins.tell = (record, told) => {
		for (const {address} of told) {
			sendRecords(address, [toReportedOrigin(record, clocks.steady())]);
		}
	};

	origins.ask = async ({address}, key) => datagrams.request(address, 'ask_origin', [key], askTimeoutMs);

	datagrams.handle('origins', parameters => {
		const now = clocks.steady();
		const records = reportedOriginsSchema.safeParse(parameters).data ?? [];
		for (const reported of records) {
			if (recordOrigin(origins.ledger, toOriginRecord(reported, now), now) === 'full') {
				gateway.log.write('failure', 'origin_not_kept', {streams: origins.ledger.size});
			}
		}
	});
	datagrams.handle('ask_origin', parameters => {
		const key = askSchema.safeParse(parameters).data?.[0];
		const now = clocks.steady();
		const record = key === undefined ? undefined : findOriginRecord(origins.ledger, key, now);
		return record === undefined ? [] : [toReportedOrigin(record, now)];
	});

	/** Notes the records whose keepers have started or taken the place of others, and are not known to have them. */
	const updateKeepers = (): void => {
		const before = keepers;
		keepers = new Map(listRunning().map(keeper => [keeper.address, keeper]));
		const hasChanged = keepers.size !== before.size || [...keepers.values()].some(({address, incarnation}) => before.get(address)?.incarnation !== incarnation);
		if (!hasChanged) {
			return;
		}

		for (const key of origins.ledger.keys()) {
			const now = rankOriginKeepers([...keepers.values()], hashText(key)).slice(0, keepersPerStream);
			const then = new Set(rankOriginKeepers([...before.values()], hashText(key)).slice(0, keepersPerStream).map(({address}) => address));
			if (now.some(({address, incarnation}) => !then.has(address) || before.get(address)?.incarnation !== incarnation)) {
				untold.add(key);
			}
		}
	};

	/** Tells keepers again what they may not know, a part of it each round. */
	const repeatRecords = (): void => {
		const now = clocks.steady();
		const recordsByAddress = new Map<string, ReportedOrigin[]>();
		let count = 0;
		for (const key of untold) {
			if (count >= maxRepeatsPerRound) {
				break;
			}

			untold.delete(key);
			const record: OriginRecord | undefined = findOriginRecord(origins.ledger, key, now);
			for (const {address} of record === undefined ? [] : origins.listKeepers(key, false).slice(0, keepersPerStream)) {
				recordsByAddress.set(address, [...recordsByAddress.get(address) ?? [], toReportedOrigin(record!, now)]);
				count++;
			}
		}

		for (const [address, records] of recordsByAddress) {
			sendRecords(address, records);
		}
	};

	const timer = setInterval(() => {
		expireOrigins(origins.ledger, clocks.steady());
		gateway.metrics.rememberedStreams.set(origins.ledger.size);
		updateKeepers();
		repeatRecords();
	}, roundMs);
	updateKeepers();
	signal.addEventListener('abort', () => {
		clearInterval(timer);
	}, {once: true});
};
