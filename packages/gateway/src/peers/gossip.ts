/**
 * Exchanges reports with other daemons several times a second: load on backend servers, demand of
 * client accounts, usage. Reports are JSON-RPC notifications in UDP datagrams. Losing one is harmless,
 * since the next one repeats everything. Members discover each other through the platform's store, and
 * later through the reports they receive.
 */
import {
	isSum, type GossipReport, gossipReportSchema, type StoreVersions,
} from '@shallotpass/core/gossip/gossip-report.js';
import {ageReport} from '@shallotpass/core/gossip/age-report.js';
import {type GossipMember, needsRelays} from '@shallotpass/core/gossip/pick-relays.js';
import {type StoreRole} from '@shallotpass/core/gossip/store-role.js';
import {observeDaemons} from '../calls/repeat-limit.js';
import {adoptCrashes, maintainCrashes} from '../crashes/share-evidence.js';
import {type GatewayState, type PeerReport, peerExpiryMs} from '../gateway-state.js';
import {gossipIntervalMs} from '../hop-times.js';
import {type Platform} from '../ports.js';
import {adoptRollouts} from '../rollouts/adopt-rollouts.js';
import {observeDemands} from '../quotas/excess-demand.js';
import {type Datagrams} from './datagrams.js';
import {decodeList} from './decode-list.js';
import {deleteBefore} from './delete-before.js';
import {makeStoreRoleFinder} from './find-store-role.js';
import {joinMembers, type MemberList} from './join-members.js';
import {isHeardAgain, listReportTargets} from './list-report-targets.js';
import {makeReport, type ReportInput} from './make-report.js';
import {makeRelayExchange} from './relay-reports.js';
import {makePeerRefusalReporter} from './report-refused.js';
import {adoptLimits, updateParticipants} from './share-limits.js';
import {sumOtherLoads} from './sum-other-loads.js';

/** Interval at which crashes and changed limits are reported at the earliest. They should be known to hundreds of daemons within a second. */
const earlyReportIntervalMs = 50;

/** Rounds from one report of all verdicts on what crashes backend servers to the next, for daemons that have started since. */
const verdictRoundInterval = 7;

/** A daemon whose rounds begin this late has no processor time left for the calls of others. */
const busyDelayMs = 100;

/** Peers that were silent for this long are removed, together with the usage they reported. */
const removeAfterMs = 40_000;

export type GossipOptions = {
	readonly gateway: GatewayState;
	readonly platform: Platform;
	readonly datagrams: Datagrams;
	readonly getReportInput: (members: MemberList) => Omit<ReportInput, 'repeatsVerdicts'>;
	/** Called with the store versions that a peer reports, and the peer's address. */
	readonly onStoreVersions: (known: StoreVersions, address: string) => void;
	readonly signal: AbortSignal;
};

export type GossipTask = {
	readonly self: GossipMember;
	/** Returns whether this daemon reads the store for the others, or which daemons it queries instead. */
	readonly getStoreRole: () => StoreRole;
	readonly members: MemberList;
};

/** Sends and receives reports until the signal is aborted. */
export const startGossip = (options: GossipOptions): GossipTask => {
	const {gateway, datagrams, signal} = options;
	const {id: selfId, availabilityZone: ownZone, linkMbps} = gateway.settings.instance;
	const self: GossipMember = {
		id: selfId, address: gateway.settings.listen.peers, availabilityZone: ownZone, linkMbps, takesCalls: true, keepsQuotas: true, keepsOrigins: true,
	};
	/** Members by address. */
	const members = new Map<string, GossipMember>([[self.address, self]]);
	/** Unconfirmed peers: seeds and members from which no report has arrived yet, by address, with the time when they were added. */
	const unconfirmed = new Map<string, number>();
	/**
	 * Whether a received report changes the load of the other daemons on backend servers. With relays
	 * in use only aggregated reports do, since the others become part of this relay's own sum.
	 */
	let hasNewLoads = false;
	/** Whether a peer that had been silent was heard again since the last round. */
	let hasHeardAgain = false;
	const now = (): number => gateway.clocks.steady();

	/** Removes other addresses of the daemon, at which it ran before. */
	const removeEarlierAddresses = ({id, address}: GossipMember): void => {
		for (const member of members.values()) {
			if (member.id === id && member.address !== address) {
				members.delete(member.address);
				unconfirmed.delete(member.address);
			}
		}
	};

	/** Whether the daemon is heard at another address than that of the member, which is then an earlier one. */
	const isHeardElsewhere = ({id, address}: GossipMember): boolean =>
		id === selfId || [...gateway.peers.values()].some(peer => peer.id === id && !isSum(peer) && peer.address !== address && peer.receivedAt >= now() - peerExpiryMs);

	const addMember = (member: GossipMember): void => {
		if (member.address === self.address || isHeardElsewhere(member)) {
			return;
		}

		const hasReported = [...gateway.peers.values()].some(peer => peer.address === member.address);
		members.set(member.address, member);
		if (!hasReported && !unconfirmed.has(member.address)) {
			unconfirmed.set(member.address, now());
		}
	};

	const memberList: MemberList = {add: addMember, list: () => [...members.values()]};
	gateway.listMembers = memberList.list;
	let rounds = 0;
	const makeOwnReport = (): GossipReport => makeReport(gateway, {...options.getReportInput(memberList), repeatsVerdicts: rounds % verdictRoundInterval === 0});
	let ownReport = makeOwnReport();

	/** A report that stood unread tells less than the one before. */
	const findClockOffset = ({incarnation, trueTime}: GossipReport): number | undefined =>
		gateway.loop.getStandingMs() > 0 ? gateway.peers.get(incarnation)?.clockOffset : trueTime - now();

	const toPeerReport = (report: GossipReport): PeerReport => ({
		...ageReport(report, gateway.clocks.trueTime()), receivedAt: now(), clockOffset: findClockOffset(report),
	});

	const recordPeer = (report: PeerReport): void => {
		const previous = gateway.peers.get(report.incarnation);
		hasHeardAgain ||= isHeardAgain(previous, now());
		if (previous === undefined) {
			gateway.log.write('state', 'peer_joined', {
				peer: report.id, address: report.address, incarnation: report.incarnation, daemons: report.daemons,
			});
		}

		gateway.peers.set(report.incarnation, report);
		adoptLimits(gateway, report);
		if (report.address !== self.address) {
			options.onStoreVersions(report.known, report.address);
		}
	};

	const sendReport = (address: string, report: GossipReport): void => {
		datagrams.notify(address, 'gossip', [report]);
	};

	const relayExchange = makeRelayExchange({
		gateway, self, listMembers: () => members.values(), sendReport, recordPeer, toPeerReport,
	});

	const handleReport = (report: GossipReport): void => {
		if (report.incarnation === gateway.incarnation) {
			return;
		}

		hasNewLoads ||= isSum(report) || !needsRelays(members.size);
		unconfirmed.delete(report.address);
		const member: GossipMember = {
			id: report.id, address: report.address, availabilityZone: report.availabilityZone, linkMbps: report.linkMbps, takesCalls: report.peerCalls !== undefined, keepsQuotas: report.keepsQuotas, keepsOrigins: report.keepsOrigins,
		};
		members.set(report.address, member);
		if (!isSum(report)) {
			removeEarlierAddresses(member);
		}

		adoptCrashes(gateway, report.crashEvidence);
		adoptRollouts(gateway, report.rollouts, 'peer');

		if (!needsRelays(members.size)) {
			if (isSum(report)) {
				// Its sender knows more members. They are asked for, as they no longer report directly.
				options.onStoreVersions(report.known, report.address);
				return;
			}

			recordPeer(toPeerReport(report));
			return;
		}

		relayExchange.handleReport(report, ownReport);
	};

	const reportRefused = makePeerRefusalReporter(gateway.log);
	datagrams.handle('gossip', (parameters, sender) => {
		for (const report of decodeList(parameters, gossipReportSchema, field => {
			reportRefused('gossip', sender, field);
		})) {
			handleReport(report);
		}

		if (hasNewLoads) {
			hasNewLoads = false;
			sumOtherLoads(gateway);
		}
	});

	const removeSilentPeers = (): void => {
		for (const [incarnation, peer] of gateway.peers) {
			if (peer.receivedAt < now() - removeAfterMs) {
				gateway.peers.delete(incarnation);
				gateway.log.write('state', 'peer_forgotten', {peer: peer.id, silentMs: Math.round(now() - peer.receivedAt)});
			}
		}

		const since = now() - removeAfterMs;
		relayExchange.removeBefore(since);
		deleteBefore(unconfirmed, since, addedAt => addedAt);
	};

	const sendToAllPeers = (): void => {
		const targets = listReportTargets({
			peers: gateway.peers.values(), unconfirmed, round: rounds, hasHeardAgain, now: now(),
		});
		hasHeardAgain = false;
		for (const address of targets) {
			sendReport(address, ownReport);
		}
	};

	const runRound = (): void => {
		rounds++;
		gateway.unreportedLimits.areOwn = false;
		gateway.unreportedLimits.areFromPeers = false;
		gateway.rollouts.unreported.areOwn = false;
		gateway.rollouts.unreported.areFromPeers = false;
		removeSilentPeers();
		observeDaemons(gateway);
		gateway.unreportedCrashes.areOwn = false;
		gateway.unreportedCrashes.areFromPeers = false;
		maintainCrashes(gateway);
		ownReport = makeOwnReport();
		if (needsRelays(members.size)) {
			relayExchange.sendReports(ownReport);
		} else {
			sendToAllPeers();
		}

		const fresh = [...gateway.peers.values()].filter(peer => peer.receivedAt >= now() - peerExpiryMs);
		gateway.clocks.applyPeerOffsets(fresh.map(peer => peer.clockOffset).filter(offset => offset !== undefined));
		gateway.metrics.peers.set(fresh.reduce((sum, peer) => sum + peer.daemons, 0));
		sumOtherLoads(gateway);
		observeDemands(gateway);
		// With relays in use, the total contains this daemon. The active relay makes the total itself.
		updateParticipants(gateway, {ownReport, isInReports: needsRelays(members.size) && !relayExchange.isActive(), hasPeers: members.size > 1});
	};

	let hasReportedEarly = false;

	/** Reports crashes, changed rollouts and changed limits before the next round: those that were seen here, and those that a relay passes on. Limits once a round, as they may change with every answer. */
	const reportEarly = (): void => {
		const shouldReport = ({areOwn, areFromPeers}: {readonly areOwn: boolean; readonly areFromPeers: boolean}): boolean => areOwn || (areFromPeers && relayExchange.isActive());
		if (shouldReport(gateway.unreportedCrashes) || shouldReport(gateway.rollouts.unreported)) {
			runRound();
			return;
		}

		if (!hasReportedEarly && shouldReport(gateway.unreportedLimits)) {
			hasReportedEarly = true;
			runRound();
		}
	};

	let roundDueAt = now() + gossipIntervalMs;
	const timer = setInterval(() => {
		gateway.peerCalls.isBusy = now() > roundDueAt + busyDelayMs;
		roundDueAt = now() + gossipIntervalMs;
		hasReportedEarly = false;
		runRound();
	}, gossipIntervalMs);
	const earlyTimer = setInterval(reportEarly, earlyReportIntervalMs);
	signal.addEventListener('abort', () => {
		clearInterval(timer);
		clearInterval(earlyTimer);
	}, {once: true});

	for (const address of gateway.settings.peers.seeds) {
		addMember({
			id: address, address, availabilityZone: '', linkMbps: 0,
		});
	}

	const getStoreRole = makeStoreRoleFinder({
		gateway, self, listRelays() {
			if (!needsRelays(members.size)) {
				return undefined;
			}

			return relayExchange.isActive() ? [] : relayExchange.listRelays();
		},
	});

	void joinMembers({
		gateway, platform: options.platform, self, members: memberList, getStoreRole, signal,
	});
	return {self, getStoreRole, members: memberList};
};
