/**
 * Tells other daemons, several times a second, what this one does, and hears what they do: load at
 * backend servers, what callers ask, usage. News are JSON-RPC notifications in datagrams; losing
 * one costs nothing, since the next says it all again. Members find each other in the platform's
 * store, and after that by hearing each other.
 */
import {Buffer} from 'node:buffer';
import dgram from 'node:dgram';
import {createJSONRPCNotification} from 'json-rpc-2.0';
import {readWorkRate} from '@shallotpass/core/engines/work-rate.js';
import {
	type News, newsSchema, sumNews, withoutOwn,
} from '@shallotpass/core/news/news.js';
import {type Member, needsRelays, pickRelays} from '@shallotpass/core/news/pick-relays.js';
import {readDemand} from '@shallotpass/core/quotas/account-share.js';
import {readSpentSlots} from '@shallotpass/core/quotas/spending.js';
import {noteCrash} from '@shallotpass/core/retries/crash-register.js';
import {z} from 'zod';
import {type GatewayState, type PeerNews, peerSilentMs} from './gateway-state.js';
import {parseHostAndPort} from './host-and-port.js';
import {pauseFor} from './pause.js';
import {type Platform} from './ports.js';

/** Between two tellings; load that is older misleads the placing of calls that take 200 ms. */
const newsEveryMs = 300;

/** Peers that were silent for so long are told only now and then. */
const quietMs = 5000;
const quietTellings = 7;

/** Peers that were silent for so long are forgotten, with the usage they told. */
const forgetMs = 40_000;

/** A relay that was told and says nothing for so long is passed over, and tried again after the pause. */
const relaySilentMs = 1500;
const avoidRelayMs = 8000;

const membersTimeoutMs = 1500;
const membersPauseMs = 1000;

/** The list of members is read again soon after the start, and then seldom: a daemon that joins later tells its relays, or everybody. */
const earlyListings = 3;
const earlyListingMs = 1800;
const lateListingMs = 30_000;

/** Windows of usage that are told: the running one and those whose report may still be due. */
const toldWindows = 3;

/** Requests that ended backend servers lately that are told; one that ends them comes again within seconds. */
const toldCrashes = 20;

const messageSchema = z.object({params: z.array(newsSchema)});

const memberSchema = z.object({
	id: z.string(), address: z.string(), availabilityZone: z.string(), linkMbps: z.number(),
});

export type PeerNewsOptions = {
	readonly gateway: GatewayState;
	readonly platform: Platform;
	readonly getLeaseOffset: () => number;
	readonly signal: AbortSignal;
};

const roundAmounts = (amounts: Iterable<readonly [string, number]>): Record<string, number> =>
	Object.fromEntries([...amounts].map(([key, amount]) => [key, Math.round(amount)] as const).filter(([, amount]) => amount > 0));

const makeNews = ({gateway, getLeaseOffset}: PeerNewsOptions): News => {
	const {settings, incarnation, configuration, book, buckets, usage} = gateway;
	const now = gateway.clocks.steady();
	const loads = [...book.byId.values()]
		.filter(state => state.running > 0)
		.map(state => [state.entry.id, [state.running, ...state.pendingTokens.map(tokens => Math.round(tokens))]] as [string, number[]]);
	const windows = [...usage].toSorted(([left], [right]) => right - left).slice(0, toldWindows);
	return {
		id: settings.instance.id,
		incarnation,
		address: settings.listen.peers,
		availabilityZone: settings.instance.availabilityZone,
		linkMbps: settings.instance.linkMbps,
		daemons: 1,
		configurationVersion: configuration?.configuration.version ?? -1,
		demands: roundAmounts([...buckets].map(([account, bucket]) => [account, readDemand(bucket, now)] as const)),
		spent: Object.fromEntries([...gateway.spending].map(([account, spending]) => [account, readSpentSlots(spending, now).map(cost => Math.round(cost))])),
		loads: Object.fromEntries(loads),
		usage: Object.fromEntries(windows),
		work: roundAmounts([...gateway.workRates].map(([service, rate]) => [service, readWorkRate(rate, now)] as const)),
		leaseOffset: getLeaseOffset(),
		trueTime: gateway.clocks.trueTime(),
		crashes: Object.fromEntries([...gateway.crashes.endedBy].slice(-toldCrashes).map(([digest, ended]) => [digest, [...ended]])),
	};
};

/** Adds up what the other daemons run at each backend server. */
const sumOtherLoads = (gateway: GatewayState): void => {
	const since = gateway.clocks.steady() - (4 * newsEveryMs);
	for (const state of gateway.book.byId.values()) {
		state.othersRunning = 0;
		state.othersPendingTokens.fill(0);
	}

	for (const peer of gateway.peers.values()) {
		if (peer.heardAt < since) {
			continue;
		}

		for (const [id, [running, ...pending]] of Object.entries(peer.loads)) {
			const state = gateway.book.byId.get(id);
			if (state === undefined) {
				continue;
			}

			state.othersRunning += running ?? 0;
			for (const [rank, tokens] of pending.entries()) {
				state.othersPendingTokens[rank] = (state.othersPendingTokens[rank] ?? 0) + tokens;
			}
		}
	}
};

export type PeerNewsTask = {
	/** Relays of this daemon's zone that it listens to; empty while all daemons tell everybody, or when it is a relay itself. */
	readonly listRelays: () => readonly Member[];
};

/** Tells and hears until the signal is aborted. */
export const startPeerNews = async (options: PeerNewsOptions): Promise<PeerNewsTask> => {
	const {gateway, signal} = options;
	const {host, port} = parseHostAndPort(gateway.settings.listen.peers);
	const {id: selfId, availabilityZone: ownZone, linkMbps} = gateway.settings.instance;
	const socket = dgram.createSocket('udp4');
	const self: Member = {
		id: selfId, address: gateway.settings.listen.peers, availabilityZone: ownZone, linkMbps,
	};
	/** By address. */
	const members = new Map<string, Member>([[self.address, self]]);
	/** Seeds and members that were not heard yet, and since when. */
	const strangers = new Map<string, number>();
	/** Daemons that told this one as their relay, by incarnation. */
	const told = new Map<string, {readonly news: News; readonly heardAt: number}>();
	/** The relay that this daemon tells first, and since when. */
	let firstRelay: string | undefined;
	let firstRelaySince = 0;
	/** When each relay was heard last, and until when it is passed over. */
	const relayHeardAt = new Map<string, number>();
	const avoidedUntil = new Map<string, number>();
	let lastOwn = makeNews(options);
	let tellings = 0;
	const now = (): number => gateway.clocks.steady();

	const isAvoided = (address: string): boolean => (avoidedUntil.get(address) ?? 0) > now();

	const notePeer = (news: News): void => {
		const heardAt = now();
		if (!gateway.peers.has(news.incarnation)) {
			gateway.log.write('belief', 'peer_joined', {
				peer: news.id, address: news.address, incarnation: news.incarnation, daemons: news.daemons,
			});
		}

		const heard: PeerNews = {...news, heardAt, clockOffset: news.trueTime - heardAt};
		gateway.peers.set(news.incarnation, heard);
	};

	const hear = (news: News): void => {
		if (news.incarnation === gateway.incarnation) {
			return;
		}

		strangers.delete(news.address);
		members.set(news.address, {
			id: news.id, address: news.address, availabilityZone: news.availabilityZone, linkMbps: news.linkMbps,
		});
		for (const [digest, incarnations] of Object.entries(news.crashes)) {
			for (const incarnation of incarnations) {
				gateway.crashes = noteCrash(gateway.crashes, digest, incarnation, now());
			}
		}

		const isSum = news.incarnation.startsWith('zone:');
		if (!needsRelays(members.size)) {
			if (!isSum) {
				notePeer(news);
			}

			return;
		}

		if (isSum) {
			relayHeardAt.set(news.address, now());
			// A relay's own sum is newer than what it hears of itself.
			if (news.address !== self.address) {
				notePeer(news.availabilityZone === ownZone ? withoutOwn(news, lastOwn) : news);
			}

			return;
		}

		told.set(news.incarnation, {news, heardAt: now()});
	};

	socket.on('message', message => {
		try {
			const reading = messageSchema.safeParse(JSON.parse(message.toString('utf8')));
			if (reading.success) {
				for (const news of reading.data.params) {
					hear(news);
				}

				sumOtherLoads(gateway);
			}
		} catch (error) {
			gateway.log.write('failure', 'peer_news_unreadable', {error: String(error)});
		}
	});
	socket.on('error', error => {
		gateway.log.write('failure', 'peer_socket_failed', {error: error.message});
	});
	await new Promise<void>(resolve => {
		socket.bind({address: host, port}, resolve);
	});

	const send = (address: string, news: readonly News[]): void => {
		const message = Buffer.from(JSON.stringify(createJSONRPCNotification('news', news as unknown as never[])));
		const target = parseHostAndPort(address);
		socket.send(message, target.port, target.host);
	};

	const forgetSilent = (): void => {
		for (const [incarnation, peer] of gateway.peers) {
			if (peer.heardAt < now() - forgetMs) {
				gateway.peers.delete(incarnation);
				gateway.log.write('belief', 'peer_forgotten', {peer: peer.id, silentMs: Math.round(now() - peer.heardAt)});
			}
		}

		for (const [incarnation, {heardAt}] of told) {
			if (heardAt < now() - forgetMs) {
				told.delete(incarnation);
			}
		}

		for (const [address, since] of strangers) {
			if (since < now() - forgetMs) {
				strangers.delete(address);
			}
		}
	};

	const tellAll = (): void => {
		const addresses = new Map<string, number>();
		for (const peer of gateway.peers.values()) {
			addresses.set(peer.address, Math.max(addresses.get(peer.address) ?? 0, peer.heardAt));
		}

		for (const [address, since] of strangers) {
			addresses.set(address, since);
		}

		for (const [address, heardAt] of addresses) {
			if (heardAt >= now() - quietMs || tellings % quietTellings === 0) {
				send(address, [lastOwn]);
			}
		}
	};

	/**
	 * The second relay is silent as long as it hears the first, so only the first is judged, and
	 * only for the time in which it was told.
	 */
	const passOverSilentRelay = (first: Member | undefined): void => {
		if (first?.address !== firstRelay) {
			firstRelay = first?.address;
			firstRelaySince = now();
		}

		if (first === undefined || first.address === self.address) {
			return;
		}

		const silentMs = now() - Math.max(firstRelaySince, relayHeardAt.get(first.address) ?? 0);
		if (silentMs > relaySilentMs) {
			avoidedUntil.set(first.address, now() + avoidRelayMs);
			gateway.log.write('belief', 'relay_passed_over', {address: first.address, silentMs: Math.round(silentMs)});
		}
	};

	/** Adds up the news of this daemon's zone, passes the sum to the other zones' relays and all sums to those who told this daemon. */
	const relay = (): void => {
		const since = now() - peerSilentMs;
		const others = [...told.values()];
		const sum = sumNews(lastOwn, others.filter(({heardAt}) => heardAt >= since).map(({news}) => news), others.filter(({heardAt}) => heardAt < since).map(({news}) => news));
		notePeer(withoutOwn(sum, lastOwn));
		const zones = gateway.settings.instance.zones.filter(zone => zone !== ownZone);
		const foreign = [...gateway.peers.values()].filter(peer => peer.availabilityZone !== ownZone && peer.incarnation.startsWith('zone:') && peer.heardAt >= since);
		for (const zone of zones) {
			for (const {address} of pickRelays(members.values(), zone, isAvoided)) {
				send(address, [sum]);
			}
		}

		const all = [sum, ...foreign];
		for (const {news, heardAt} of others) {
			if (heardAt >= since) {
				send(news.address, all);
			}
		}
	};

	const tellRelays = (): void => {
		const relays = pickRelays(members.values(), ownZone, isAvoided);
		passOverSilentRelay(relays[0]);
		for (const {address} of relays) {
			if (address !== self.address) {
				send(address, [lastOwn]);
			}
		}

		// The second relay speaks only while the first one does not.
		const first = relays.find(({address}) => address === self.address || (relayHeardAt.get(address) ?? 0) >= now() - (3 * newsEveryMs));
		if (first?.address === self.address) {
			relay();
		}
	};

	const tell = (): void => {
		tellings++;
		forgetSilent();
		lastOwn = makeNews(options);
		if (needsRelays(members.size)) {
			tellRelays();
		} else {
			tellAll();
		}

		const fresh = [...gateway.peers.values()].filter(peer => peer.heardAt >= now() - peerSilentMs);
		gateway.clocks.takeOffsets(fresh.map(peer => peer.clockOffset));
		gateway.metrics.peers.set(fresh.reduce((sum, peer) => sum + peer.daemons, 0));
		sumOtherLoads(gateway);
	};

	const timer = setInterval(tell, newsEveryMs);
	signal.addEventListener('abort', () => {
		clearInterval(timer);
		socket.close();
	}, {once: true});

	const meet = (member: Member): void => {
		if (member.address === self.address) {
			return;
		}

		const isHeard = [...gateway.peers.values()].some(peer => peer.address === member.address);
		members.set(member.address, member);
		if (!isHeard && !strangers.has(member.address)) {
			strangers.set(member.address, now());
		}
	};

	for (const address of gateway.settings.peers.seeds) {
		meet({
			id: address, address, availabilityZone: '', linkMbps: 0,
		});
	}

	void joinMembers(options, self, meet);
	return {
		listRelays() {
			if (!needsRelays(members.size)) {
				return [];
			}

			const relays = pickRelays(members.values(), ownZone, isAvoided);
			return relays.some(({address}) => address === self.address) ? [] : relays;
		},
	};
};

/** Writes this daemon into the store, and reads the others now and then; many start at once, so the first readings miss some. */
const joinMembers = async ({gateway, platform, signal}: PeerNewsOptions, self: Member, meet: (member: Member) => void): Promise<void> => {
	const value = Buffer.from(JSON.stringify(self));
	let isWritten = false;
	let listings = 0;
	while (!signal.aborted) {
		if (!isWritten) {
			// eslint-disable-next-line no-await-in-loop -- until it is done
			const reply = await platform.store.append('members', {key: self.id, value}, {timeoutMs: membersTimeoutMs, signal});
			isWritten = reply.kind === 'appended';
		}

		// eslint-disable-next-line no-await-in-loop -- until it is done
		const listing = await platform.store.readNewest('members', {timeoutMs: membersTimeoutMs, signal});
		if (isWritten && listing.kind === 'listing') {
			listings++;
			for (const record of listing.records) {
				const member = record.value && memberSchema.safeParse(JSON.parse(Buffer.from(record.value).toString('utf8')));
				if (member?.success) {
					meet(member.data);
				}
			}
		}

		const pauseMs = listings === 0 ? membersPauseMs : (listings < earlyListings ? earlyListingMs : lateListingMs);
		// eslint-disable-next-line no-await-in-loop -- until it is done
		await pauseFor(pauseMs * (0.75 + (0.5 * gateway.random())), signal);
	}
};
