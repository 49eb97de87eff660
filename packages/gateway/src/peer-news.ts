/**
 * What daemons tell each other several times a second, as JSON-RPC notifications in datagrams:
 * their load at backend servers, what callers ask of them, and the usage they counted. Losing
 * one costs nothing, since the next says it all again. Members find each other in the
 * platform's store, and after that by hearing each other.
 */
import {Buffer} from 'node:buffer';
import dgram from 'node:dgram';
import {createJSONRPCNotification} from 'json-rpc-2.0';
import {readDemand} from '@shallotpass/core/quotas/account-share.js';
import {readWorkRate} from '@shallotpass/core/engines/work-rate.js';
import {noteCrash} from '@shallotpass/core/retries/crash-register.js';
import {z} from 'zod';
import {readSpent} from '@shallotpass/core/quotas/spending.js';
import {type GatewayState, type PeerNews, peerSilentMs} from './gateway-state.js';
import {parseHostAndPort} from './host-and-port.js';
import {type Platform} from './ports.js';

/** Between two tellings; load that is older misleads the placing of calls that take 200 ms. */
const newsEveryMs = 300;

/** Peers that were silent for so long are told only now and then. */
const quietMs = 5000;
const quietTellings = 7;

/** Peers that were silent for so long are forgotten, with the usage they told. */
const forgetMs = 40_000;

const membersTimeoutMs = 1500;
const membersPauseMs = 1000;

const newsSchema = z.object({
	id: z.string(),
	incarnation: z.string(),
	address: z.string(),
	availabilityZone: z.string(),
	configurationVersion: z.number(),
	demands: z.record(z.string(), z.number()),
	loads: z.record(z.string(), z.array(z.number())),
	usage: z.record(z.string(), z.record(z.string(), z.number())),
	work: z.record(z.string(), z.number()),
	isDraining: z.boolean(),
	leaseOffset: z.number(),
	trueTime: z.number(),
	spent: z.record(z.string(), z.number()),
	/** Digest of a request → incarnations of backend servers that ended while they ran it. */
	crashes: z.record(z.string(), z.array(z.string())),
});

export type News = z.infer<typeof newsSchema>;

const memberSchema = z.object({address: z.string(), incarnation: z.string()});

const round = (value: number): number => Math.round(value);

/** Windows of usage that are told: the running one and those whose report may still be due. */
const toldWindows = 3;

/** Requests that ended backend servers lately that are told; one that ends them comes again within seconds. */
const toldCrashes = 20;

export type PeerNewsOptions = {
	readonly gateway: GatewayState;
	readonly platform: Platform;
	readonly getLeaseOffset: () => number;
	readonly signal: AbortSignal;
};

const makeNews = ({gateway, getLeaseOffset}: PeerNewsOptions): News => {
	const {settings, incarnation, configuration, book, buckets, usage} = gateway;
	const now = gateway.clocks.steady();
	const loads = [...book.byId.values()]
		.filter(state => state.running > 0)
		.map(state => [state.entry.id, [state.running, ...state.pendingTokens.map(tokens => round(tokens))]] as [string, number[]]);
	const demands = [...buckets]
		.map(([account, bucket]) => [account, round(readDemand(bucket, now))] as const)
		.filter(([, demand]) => demand > 0);
	const windows = [...usage].toSorted(([left], [right]) => right - left).slice(0, toldWindows);
	return {
		id: settings.instance.id,
		incarnation,
		address: settings.listen.peers,
		availabilityZone: settings.instance.availabilityZone,
		configurationVersion: configuration?.configuration.version ?? -1,
		demands: Object.fromEntries(demands),
		loads: Object.fromEntries(loads),
		usage: Object.fromEntries(windows),
		work: Object.fromEntries([...gateway.workRates].map(([service, rate]) => [service, round(readWorkRate(rate, now))])),
		isDraining: gateway.drainingSince !== undefined,
		leaseOffset: getLeaseOffset(),
		crashes: Object.fromEntries([...gateway.crashes.endedBy].slice(-toldCrashes).map(([digest, ended]) => [digest, [...ended]])),
		trueTime: gateway.clocks.trueTime(),
		spent: Object.fromEntries([...gateway.spending].map(([account, spending]) => [account, round(readSpent(spending, now))])),
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

/** Tells and hears until the signal is aborted. */
export const startPeerNews = async (options: PeerNewsOptions): Promise<void> => {
	const {gateway, platform, signal} = options;
	const {host, port} = parseHostAndPort(gateway.settings.listen.peers);
	const socket = dgram.createSocket('udp4');
	/** Addresses from the store that were not heard yet. */
	const strangers = new Map<string, number>();
	let tellings = 0;

	const hear = (news: News): void => {
		if (news.incarnation === gateway.incarnation) {
			return;
		}

		if (!gateway.peers.has(news.incarnation)) {
			gateway.log.write('belief', 'peer_joined', {peer: news.id, address: news.address, incarnation: news.incarnation});
		}

		const heardAt = gateway.clocks.steady();
		const heard: PeerNews = {...news, heardAt, clockOffset: news.trueTime - heardAt};
		gateway.peers.set(news.incarnation, heard);
		for (const [digest, incarnations] of Object.entries(news.crashes)) {
			for (const incarnation of incarnations) {
				gateway.crashes = noteCrash(gateway.crashes, digest, incarnation, heardAt);
			}
		}

		strangers.delete(news.address);
		sumOtherLoads(gateway);
	};

	socket.on('message', message => {
		try {
			const reading = newsSchema.safeParse((JSON.parse(message.toString('utf8')) as {params?: unknown}).params);
			if (reading.success) {
				hear(reading.data);
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

	const tell = (): void => {
		tellings++;
		const now = gateway.clocks.steady();
		const message = Buffer.from(JSON.stringify(createJSONRPCNotification('news', makeNews(options))));
		const addresses = new Map<string, number>();
		for (const [incarnation, peer] of gateway.peers) {
			if (peer.heardAt < now - forgetMs) {
				gateway.peers.delete(incarnation);
				gateway.log.write('belief', 'peer_forgotten', {peer: peer.id, silentMs: Math.round(now - peer.heardAt)});
				continue;
			}

			addresses.set(peer.address, Math.max(addresses.get(peer.address) ?? 0, peer.heardAt));
		}

		for (const [address, since] of strangers) {
			if (since < now - forgetMs) {
				strangers.delete(address);
			} else {
				addresses.set(address, since);
			}
		}

		for (const [address, heardAt] of addresses) {
			if (heardAt < now - quietMs && tellings % quietTellings !== 0) {
				continue;
			}

			const target = parseHostAndPort(address);
			socket.send(message, target.port, target.host);
		}

		gateway.clocks.takeOffsets([...gateway.peers.values()].filter(peer => peer.heardAt >= now - peerSilentMs).map(peer => peer.clockOffset));
		gateway.metrics.peers.set([...gateway.peers.values()].filter(peer => peer.heardAt >= now - quietMs).length);
		sumOtherLoads(gateway);
	};

	const timer = setInterval(tell, newsEveryMs);
	signal.addEventListener('abort', () => {
		clearInterval(timer);
		socket.close();
	}, {once: true});

	const meet = (address: string): void => {
		if (address !== gateway.settings.listen.peers) {
			strangers.set(address, gateway.clocks.steady());
		}
	};

	for (const seed of gateway.settings.peers.seeds) {
		meet(seed);
	}

	await joinMembers(options, meet);
	tell();
};

/** Writes this daemon into the store and reads the others; tries until it is done. */
const joinMembers = async ({gateway, platform, signal}: PeerNewsOptions, meet: (address: string) => void): Promise<void> => {
	const key = gateway.settings.instance.id;
	const value = Buffer.from(JSON.stringify({address: gateway.settings.listen.peers, incarnation: gateway.incarnation}));
	let isWritten = false;
	while (!signal.aborted) {
		if (!isWritten) {
			// eslint-disable-next-line no-await-in-loop -- until it is done
			const reply = await platform.store.append('members', {key, value}, {timeoutMs: membersTimeoutMs, signal});
			isWritten = reply.kind === 'appended';
		}

		// eslint-disable-next-line no-await-in-loop -- until it is done
		const listing = await platform.store.readNewest('members', {timeoutMs: membersTimeoutMs, signal});
		if (isWritten && listing.kind === 'listing') {
			for (const record of listing.records) {
				const member = record.value && memberSchema.safeParse(JSON.parse(Buffer.from(record.value).toString('utf8')));
				if (member?.success) {
					meet(member.data.address);
				}
			}

			return;
		}

		// eslint-disable-next-line no-await-in-loop -- until it is done
		await new Promise(resolve => {
			setTimeout(resolve, membersPauseMs);
		});
	}
};
