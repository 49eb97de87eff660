/** Starts daemons in several availability zones. Relays can disconnect each zone from the platform and from the other zones. */
import {type Clock} from '@shallotpass/common/clock.js';
import {type Daemon} from '@shallotpass/daemon/start-daemon.js';
import {startRelay, type Relay, type RelayMode} from '@shallotpass/stand-ins/relay.js';
import {
	startFleetDaemon, startPlatform, waitFor, type FleetPlatform,
} from './local-fleet.js';

export type Zone = {
	readonly name: string;
	readonly daemons: Daemon[];
	/** Relay between the zone and the platform's log. */
	readonly logRelay: Relay;
	/** Relay between the zone and the platform's instance list. */
	readonly listRelay: Relay;
	/** Relays in front of the peer listeners of this zone's daemons. */
	readonly peerRelays: Relay[];
	/** Sets the mode of the relays to the platform's log and instance list. */
	readonly setPlatformRelayMode: (mode: RelayMode) => void;
	/** Loopback IP address of the zone's daemons, by which relays recognize their connections. */
	readonly address: string;
};

export type ZonedFleet = {
	readonly platform: FleetPlatform;
	readonly zones: readonly Zone[];
	readonly daemons: readonly Daemon[];
	/** Isolates the given zones from each other and from all other zones; an empty list reconnects all zones. */
	readonly isolateZones: (zones: readonly Zone[]) => void;
	readonly close: () => Promise<void>;
};

type ZonedOptions = {
	readonly zones: number;
	readonly daemonsPerZone: number;
	readonly limits?: Parameters<typeof startFleetDaemon>[0]['limits'];
	/** Makes the clock of a daemon; defaults to the system clock. */
	readonly makeClock?: (daemonId: string) => Clock;
};

type ZoneOptions = ZonedOptions & {
	readonly platform: FleetPlatform;
	readonly index: number;
	readonly seeds: readonly string[];
};

const startZone = async (options: ZoneOptions): Promise<Zone> => {
	const {platform, index: zoneIndex, seeds} = options;
	const name = `zone-${zoneIndex + 1}`;
	const address = `127.0.0.${zoneIndex + 11}`;
	const logRelay = await startRelay(platform.log.address);
	const listRelay = await startRelay(platform.list.address);
	const daemons: Daemon[] = [];
	const peerRelays: Relay[] = [];
	for (let index = 0; index < options.daemonsPerZone; index++) {
		/* eslint-disable no-await-in-loop -- earlier daemons are seeds of the next */
		// The relay must listen first, because the daemon announces the relay's address to its peers.
		const relay = await startRelay();
		peerRelays.push(relay);
		const daemon = await startFleetDaemon({
			id: `${name}-${index}`,
			address,
			availabilityZone: name,
			platform,
			seeds: [...seeds, ...peerRelays.slice(0, index).map(other => other.address)],
			limits: options.limits,
			logUrl: logRelay.url,
			instancesUrl: listRelay.url,
			listenPeers: '127.0.0.1:0',
			announcedPeersAddress: relay.address,
			clock: options.makeClock?.(`${name}-${index}`),
		});
		relay.setTarget(daemon.peers);
		daemons.push(daemon);
		/* eslint-enable no-await-in-loop */
	}

	return {
		name,
		daemons,
		logRelay,
		listRelay,
		peerRelays,
		setPlatformRelayMode(mode) {
			logRelay.setMode(mode);
			listRelay.setMode(mode);
		},
		address,
	};
};

export const startZonedFleet = async (options: ZonedOptions): Promise<ZonedFleet> => {
	const platform = await startPlatform();
	const zones: Zone[] = [];
	for (let index = 0; index < options.zones; index++) {
		const seeds = zones.map(zone => zone.peerRelays[0]!.address);
		// eslint-disable-next-line no-await-in-loop -- earlier zones are seeds of the next
		const zone = await startZone({
			...options, platform, index, seeds,
		});
		zones.push(zone);
	}

	const daemons = zones.flatMap(zone => zone.daemons);
	await waitFor('all daemons know each other', () => daemons.every(daemon => daemon.listMembers().length === daemons.length), 60_000);
	return {
		platform,
		zones,
		daemons,
		isolateZones(isolatedZones) {
			for (const zone of zones) {
				const isIsolated = isolatedZones.includes(zone);
				const others = zones.filter(other => other !== zone && (isIsolated || isolatedZones.includes(other)));
				for (const relay of zone.peerRelays) {
					relay.block(others.map(other => other.address));
				}
			}
		},
		async close() {
			await Promise.all(daemons.map(async daemon => daemon.stop()));
			await Promise.all(zones.flatMap(zone => [zone.logRelay, zone.listRelay, ...zone.peerRelays]).map(async relay => relay.close()));
			await platform.close();
		},
	};
};
