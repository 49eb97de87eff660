/**
 * Exchanges reports through relays, in deployments where daemons don't report directly to each other: daemons report to the
 * relays of their zone, and the active relay sends the sum to the relays of other zones and the total to its own zone.
 */
import {
	isSum, isTotal, isZoneSum, type GossipReport, sumReports, sumZones, subtractReport,
} from '@shallotpass/core/gossip/gossip-report.js';
import {filterLoads} from '@shallotpass/core/gossip/filter-loads.js';
import {type GossipMember, pickRelays} from '@shallotpass/core/gossip/pick-relays.js';
import {isLimitedToOwnZone} from '../calls/backend-view.js';
import {type GatewayState, type PeerReport, peerExpiryMs} from '../gateway-state.js';
import {deleteBefore} from './delete-before.js';
import {makeRelayMonitor} from './relay-monitor.js';
import {adoptLimits} from './share-limits.js';

/**
 * Rounds from one report with the results of rollouts to the next. Those of four routes take 1.2 kB, which two relays would otherwise get
 * three times a second. Relays keep the last results of each daemon.
 */
const resultsRoundInterval = 3;

export type RelayOptions = {
	readonly gateway: GatewayState;
	readonly self: GossipMember;
	readonly listMembers: () => Iterable<GossipMember>;
	readonly sendReport: (address: string, report: GossipReport) => void;
	readonly recordPeer: (report: PeerReport) => void;
	readonly toPeerReport: (report: GossipReport) => PeerReport;
};

export type RelayExchange = {
	/** Handles the report of a daemon, or of a relay. `ownReport` is this daemon's last report. */
	readonly handleReport: (report: GossipReport, ownReport: GossipReport) => void;
	/** Sends this daemon's report to its relays, and the sums if it is the active relay. */
	readonly sendReports: (ownReport: GossipReport) => void;
	readonly isActive: () => boolean;
	/** Returns the relays of this daemon's zone without this daemon. */
	readonly listRelays: () => GossipMember[];
	/** Forgets reports that were received before `since`. */
	readonly removeBefore: (since: number) => void;
};

/** Returns the sum without what only daemons of the same zone need: those of other zones send no calls to its backend servers. */
const withoutBackends = (sum: GossipReport): GossipReport => ({...filterLoads(sum, () => false), participants: {}});

export const makeRelayExchange = (options: RelayOptions): RelayExchange => {
	const {gateway, self, listMembers, sendReport, recordPeer, toPeerReport} = options;
	const {availabilityZone: ownZone} = self;
	/** Reports from daemons that use this one as their relay, by incarnation. */
	const zoneReports = new Map<string, {readonly report: GossipReport; readonly receivedAt: number}>();
	/** Aggregated reports of the other zones, by incarnation. Both relays of a zone receive them, but only the active relay uses them. */
	const zoneSums = new Map<string, PeerReport>();
	let isActiveRelay = false;
	let rounds = 0;
	const relayMonitor = makeRelayMonitor(gateway, self.address);
	const now = (): number => gateway.clocks.steady();
	const pickZoneRelays = (zone: string): GossipMember[] => pickRelays(listMembers(), zone, relayMonitor.isSkipped);

	/** Handles aggregated reports: a relay uses those of the other zones, any other daemon uses the total sent by its relay. */
	const handleAggregate = (report: GossipReport, ownReport: GossipReport): void => {
		relayMonitor.recordReport(report.address);
		if (isZoneSum(report) && report.availabilityZone !== ownZone) {
			const zoneSum = toPeerReport(report);
			zoneSums.set(report.incarnation, zoneSum);
			if (isActiveRelay) {
				recordPeer(zoneSum);
			}
		}

		if (isTotal(report) && report.availabilityZone === ownZone && !isActiveRelay) {
			recordPeer(toPeerReport(subtractReport(report, ownReport)));
		}
	};

	/** Removes peers that reported directly. With relays in use, they are included in an aggregated report. */
	const removeDirectPeers = (): void => {
		for (const [incarnation, peer] of gateway.peers) {
			if (!isSum(peer)) {
				gateway.peers.delete(incarnation);
			}
		}
	};

	/** Switches between the reports that the active relay uses and those that other daemons use. Keeping both would count peers twice. */
	const setActiveRelay = (isActive: boolean): void => {
		if (isActive === isActiveRelay) {
			return;
		}

		isActiveRelay = isActive;
		for (const [incarnation, peer] of gateway.peers) {
			if (isActive ? isTotal(peer) : isZoneSum(peer)) {
				gateway.peers.delete(incarnation);
			}
		}

		if (isActive) {
			for (const zoneSum of zoneSums.values()) {
				recordPeer(zoneSum);
			}
		}
	};

	const sendToOtherZones = (sum: GossipReport): void => {
		const zones = gateway.settings.instance.zones.filter(zone => zone !== ownZone);
		for (const zone of zones) {
			for (const {address} of pickZoneRelays(zone)) {
				sendReport(address, sum);
			}
		}
	};

	/** Aggregates the reports of this daemon's zone, and sends the sum to the relays of other zones and the total of all zones to the daemons of its own zone. */
	const relayReports = (ownReport: GossipReport): void => {
		const since = now() - peerExpiryMs;
		const isFresh = ({receivedAt}: {readonly receivedAt: number}): boolean => receivedAt >= since;
		const others = [...zoneReports.values()];
		const sum = sumReports(ownReport, others.filter(entry => isFresh(entry)).map(({report}) => report), others.filter(entry => !isFresh(entry)).map(({report}) => report));
		recordPeer(toPeerReport(subtractReport(sum, ownReport)));
		const isOwnZoneOnly = isLimitedToOwnZone(gateway.registry, ownZone);
		sendToOtherZones(isOwnZoneOnly ? withoutBackends(sum) : sum);
		const otherZoneSums = [...zoneSums.values()];
		const total = sumZones(sum, otherZoneSums.filter(entry => isFresh(entry)), otherZoneSums.filter(entry => !isFresh(entry)));
		const isInZone = (id: string): boolean => gateway.registry.byId.get(id)?.entry.availabilityZone === ownZone;
		const totalForZone = isOwnZoneOnly ? filterLoads(total, isInZone) : total;
		for (const {report, receivedAt} of others) {
			if (receivedAt >= since) {
				sendReport(report.address, totalForZone);
			}
		}
	};

	return {
		handleReport(report, ownReport) {
			if (isSum(report)) {
				handleAggregate(report, ownReport);
				return;
			}

			const rolloutResults = report.rolloutResults ?? zoneReports.get(report.incarnation)?.report.rolloutResults;
			zoneReports.set(report.incarnation, {report: {...report, rolloutResults}, receivedAt: now()});
			adoptLimits(gateway, report);
		},
		sendReports(ownReport) {
			removeDirectPeers();
			const relays = pickZoneRelays(ownZone);
			relayMonitor.checkFirstRelay(relays[0]);
			rounds++;
			const report = rounds % resultsRoundInterval === 0 ? ownReport : {...ownReport, rolloutResults: undefined};
			for (const {address} of relays) {
				if (address !== self.address) {
					sendReport(address, report);
				}
			}

			setActiveRelay(relayMonitor.findActiveRelay(relays)?.address === self.address);
			if (isActiveRelay) {
				relayReports(ownReport);
			}
		},
		isActive: () => isActiveRelay,
		listRelays: () => pickZoneRelays(ownZone).filter(({address}) => address !== self.address),
		removeBefore(since) {
			deleteBefore(zoneReports, since, ({receivedAt}) => receivedAt);
			deleteBefore(zoneSums, since, ({receivedAt}) => receivedAt);
		},
	};
};
