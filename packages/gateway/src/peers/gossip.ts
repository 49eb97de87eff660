/**
 * Tells other daemons, several times a second, what this one does, and hears what they do: load at
 * backend servers, what callers ask, usage. GossipReport are JSON-RPC notifications in datagrams; losing
 * one costs nothing, since the next says it all again. Members find each other in the platform's
 * store, and after that by hearing each other.
 */
import {Buffer} from 'node:buffer';
import dgram from 'node:dgram';
import {createJSONRPCNotification} from 'json-rpc-2.0';
import {
	isSum, isTotal, isZoneSum, type GossipReport, gossipReportSchema, type StoreKnowledge, sumReports, totalReports, withoutOwn,
} from '@shallotpass/core/gossip/gossip-report.js';
import {limitLoads} from '@shallotpass/core/gossip/limit-loads.js';
import {type Member, needsRelays, pickRelays} from '@shallotpass/core/gossip/pick-relays.js';
import {computeStoreRole, type StoreRole} from '@shallotpass/core/gossip/store-role.js';
import {noteCrash} from '@shallotpass/core/retries/crash-register.js';
import * as z from 'zod';
import {prefersOwnZone} from '../calls/backend-registry.js';
import {type GatewayState, type HeardReport, peerSilentMs} from '../gateway-state.js';
import {parseHostAndPort} from '../host-and-port.js';
import {type Platform} from '../ports.js';
import {joinMembers, type MemberList} from './join-members.js';
import {makeReport, type OwnReport} from './make-report.js';
import {openRelayWatch} from './relay-watch.js';
import {sumOtherLoads} from './sum-other-loads.js';

/** Between two rounds; load that is older misleads the placing of calls that take 200 ms. */
const gossipEveryMs = 300;

/** Peers that were silent for so long are told only now and then. */
const quietMs = 5000;
const quietRounds = 7;

/** Peers that were silent for so long are forgotten, with the usage they told. */
const forgetMs = 40_000;

/** Who reads the store for all was heard within this time: three rounds, and one that is late. */
const readerSilentMs = 1000;

/** Roles are asked for many times a second, and change with what is heard. */
const roleKeptMs = 100;

const messageSchema = z.object({params: z.array(gossipReportSchema)});

export type GossipOptions = {
	readonly gateway: GatewayState;
	readonly platform: Platform;
	readonly getOwn: (members: MemberList) => OwnReport;
	/** Another daemon that this one goes by told what it knows of the store. */
	readonly onKnown: (known: StoreKnowledge, address: string) => void;
	readonly signal: AbortSignal;
};

export type GossipTask = {
	/** Whether this daemon reads the store for the others, or whom it asks instead. */
	readonly getStoreRole: () => StoreRole;
	readonly members: MemberList;
};

/** Tells and hears until the signal is aborted. */
export const startGossip = async (options: GossipOptions): Promise<GossipTask> => {
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
	const unconfirmed = new Map<string, number>();
	/** Daemons that told this one as their relay, by incarnation. */
	const told = new Map<string, {readonly report: GossipReport; readonly heardAt: number}>();
	/** Sums of the other zones, by incarnation; both relays of a zone hear them, and the one that speaks uses them. */
	const zoneSums = new Map<string, HeardReport>();
	let isSpeaking = false;
	/** Whether something was heard that changes what the others do at backend servers; a relay hears parts of its own sum. */
	let hasNewLoads = false;
	const relayWatch = openRelayWatch(gateway, self.address);
	const now = (): number => gateway.clocks.steady();

	const meet = (member: Member): void => {
		if (member.address === self.address) {
			return;
		}

		const isHeard = [...gateway.peers.values()].some(peer => peer.address === member.address);
		members.set(member.address, member);
		if (!isHeard && !unconfirmed.has(member.address)) {
			unconfirmed.set(member.address, now());
		}
	};

	const memberList: MemberList = {meet, list: () => [...members.values()]};
	let lastOwn = makeReport(gateway, options.getOwn(memberList));
	let rounds = 0;

	const toHeardReport = (report: GossipReport): HeardReport => ({...report, heardAt: now(), clockOffset: report.trueTime - now()});

	const notePeer = (report: HeardReport): void => {
		if (!gateway.peers.has(report.incarnation)) {
			gateway.log.write('state', 'peer_joined', {
				peer: report.id, address: report.address, incarnation: report.incarnation, daemons: report.daemons,
			});
		}

		gateway.peers.set(report.incarnation, report);
		if (report.address !== self.address) {
			options.onKnown(report.known, report.address);
		}
	};

	/** A daemon hears of the others from its relay in one sum; a relay from the sums of zones. */
	const hearSum = (report: GossipReport): void => {
		relayWatch.noteHeard(report.address);
		if (isZoneSum(report) && report.availabilityZone !== ownZone) {
			const heard = toHeardReport(report);
			zoneSums.set(report.incarnation, heard);
			if (isSpeaking) {
				notePeer(heard);
			}
		}

		if (isTotal(report) && report.availabilityZone === ownZone && !isSpeaking) {
			notePeer(toHeardReport(withoutOwn(report, lastOwn)));
		}
	};

	/** Once there are relays, daemons that spoke for themselves before are a part of a sum. */
	const forgetSinglePeers = (): void => {
		for (const [incarnation, peer] of gateway.peers) {
			if (!isSum(peer)) {
				gateway.peers.delete(incarnation);
			}
		}
	};

	/** What the other kind of daemon goes by would be counted beside its own. */
	const setSpeaking = (speaks: boolean): void => {
		if (speaks === isSpeaking) {
			return;
		}

		isSpeaking = speaks;
		for (const [incarnation, peer] of gateway.peers) {
			if (speaks ? isTotal(peer) : isZoneSum(peer)) {
				gateway.peers.delete(incarnation);
			}
		}

		if (speaks) {
			for (const heard of zoneSums.values()) {
				notePeer(heard);
			}
		}
	};

	const hear = (report: GossipReport): void => {
		if (report.incarnation === gateway.incarnation) {
			return;
		}

		hasNewLoads ||= isSum(report) || !needsRelays(members.size);
		unconfirmed.delete(report.address);
		members.set(report.address, {
			id: report.id, address: report.address, availabilityZone: report.availabilityZone, linkMbps: report.linkMbps,
		});
		for (const [digest, incarnations] of Object.entries(report.crashes)) {
			for (const incarnation of incarnations) {
				gateway.crashes = noteCrash(gateway.crashes, digest, incarnation, now());
			}
		}

		if (!needsRelays(members.size)) {
			if (!isSum(report)) {
				notePeer(toHeardReport(report));
			}

			return;
		}

		if (isSum(report)) {
			hearSum(report);
			return;
		}

		told.set(report.incarnation, {report, heardAt: now()});
	};

	socket.on('message', message => {
		try {
			const reading = messageSchema.safeParse(JSON.parse(message.toString('utf8')));
			if (reading.success) {
				for (const report of reading.data.params) {
					hear(report);
				}

				if (hasNewLoads) {
					hasNewLoads = false;
					sumOtherLoads(gateway);
				}
			}
		} catch (error) {
			gateway.log.write('failure', 'gossip_unreadable', {error: String(error)});
		}
	});
	socket.on('error', error => {
		gateway.log.write('failure', 'peer_socket_failed', {error: error.message});
	});
	await new Promise<void>(resolve => {
		socket.bind({address: host, port}, resolve);
	});

	const send = (address: string, report: GossipReport): void => {
		const message = Buffer.from(JSON.stringify(createJSONRPCNotification('gossip', [report])));
		const target = parseHostAndPort(address);
		socket.send(message, target.port, target.host);
	};

	const forgetSilent = (): void => {
		for (const [incarnation, peer] of gateway.peers) {
			if (peer.heardAt < now() - forgetMs) {
				gateway.peers.delete(incarnation);
				gateway.log.write('state', 'peer_forgotten', {peer: peer.id, silentMs: Math.round(now() - peer.heardAt)});
			}
		}

		for (const [incarnation, {heardAt}] of told) {
			if (heardAt < now() - forgetMs) {
				told.delete(incarnation);
			}
		}

		for (const [incarnation, {heardAt}] of zoneSums) {
			if (heardAt < now() - forgetMs) {
				zoneSums.delete(incarnation);
			}
		}

		for (const [address, since] of unconfirmed) {
			if (since < now() - forgetMs) {
				unconfirmed.delete(address);
			}
		}
	};

	const tellAll = (): void => {
		const addresses = new Map<string, number>();
		for (const peer of gateway.peers.values()) {
			addresses.set(peer.address, Math.max(addresses.get(peer.address) ?? 0, peer.heardAt));
		}

		for (const [address, since] of unconfirmed) {
			addresses.set(address, since);
		}

		for (const [address, heardAt] of addresses) {
			if (heardAt >= now() - quietMs || rounds % quietRounds === 0) {
				send(address, lastOwn);
			}
		}
	};

	/** Adds up the reports of this daemon's zone, passes the sum to the other zones' relays and all sums to those who told this daemon. */
	const relay = (): void => {
		const since = now() - peerSilentMs;
		const isFresh = ({heardAt}: {readonly heardAt: number}): boolean => heardAt >= since;
		const others = [...told.values()];
		const sum = sumReports(lastOwn, others.filter(entry => isFresh(entry)).map(({report}) => report), others.filter(entry => !isFresh(entry)).map(({report}) => report));
		notePeer(toHeardReport(withoutOwn(sum, lastOwn)));
		const isAlone = prefersOwnZone(gateway.registry, ownZone);
		const forOthers = isAlone ? limitLoads(sum, () => false) : sum;
		const zones = gateway.settings.instance.zones.filter(zone => zone !== ownZone);
		for (const zone of zones) {
			for (const {address} of pickRelays(members.values(), zone, relayWatch.isAvoided)) {
				send(address, forOthers);
			}
		}

		const foreign = [...zoneSums.values()];
		const total = totalReports(sum, foreign.filter(entry => isFresh(entry)), foreign.filter(entry => !isFresh(entry)));
		const isInZone = (id: string): boolean => gateway.registry.byId.get(id)?.entry.availabilityZone === ownZone;
		const forZone = isAlone ? limitLoads(total, isInZone) : total;
		for (const {report, heardAt} of others) {
			if (heardAt >= since) {
				send(report.address, forZone);
			}
		}
	};

	const tellRelays = (): void => {
		forgetSinglePeers();
		const relays = pickRelays(members.values(), ownZone, relayWatch.isAvoided);
		relayWatch.judgeFirst(relays[0]);
		for (const {address} of relays) {
			if (address !== self.address) {
				send(address, lastOwn);
			}
		}

		setSpeaking(relayWatch.findSpeaking(relays)?.address === self.address);
		if (isSpeaking) {
			relay();
		}
	};

	const tell = (): void => {
		rounds++;
		forgetSilent();
		lastOwn = makeReport(gateway, options.getOwn(memberList));
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

	const timer = setInterval(tell, gossipEveryMs);
	signal.addEventListener('abort', () => {
		clearInterval(timer);
		socket.close();
	}, {once: true});

	for (const address of gateway.settings.peers.seeds) {
		meet({
			id: address, address, availabilityZone: '', linkMbps: 0,
		});
	}

	const findStoreRole = (): StoreRole => {
		const since = now() - readerSilentMs;
		const heard = [...gateway.peers.values()].filter(peer => peer.heardAt >= since);
		if (!needsRelays(members.size)) {
			return computeStoreRole({self, heard, relays: []});
		}

		const relays = isSpeaking ? [] : pickRelays(members.values(), ownZone, relayWatch.isAvoided).filter(({address}) => address !== self.address);
		return computeStoreRole({self, heard: heard.filter(peer => peer.availabilityZone !== ownZone), relays});
	};

	let role = findStoreRole();
	let roleFoundAt = now();
	const getStoreRole = (): StoreRole => {
		if (now() >= roleFoundAt + roleKeptMs) {
			role = findStoreRole();
			roleFoundAt = now();
		}

		return role;
	};

	void joinMembers({
		gateway, platform: options.platform, self, members: memberList, getStoreRole, signal,
	});
	return {getStoreRole, members: memberList};
};
