/** Daemons of three availability zones, each zone behind relays that can cut it from the platform and from the others. */
import {type Clock} from '@shallotpass/common/clock.js';
import {type Daemon} from '@shallotpass/daemon/start-daemon.js';
import {startRelay, type Relay, type RelayMode} from '@shallotpass/stand-ins/relay.js';
import {
	startMember, startPlatform, waitFor, type FleetPlatform,
} from './local-fleet.js';

export type Zone = {
	readonly name: string;
	readonly daemons: Daemon[];
	/** Between the zone and the platform's log. */
	readonly toLog: Relay;
	readonly toList: Relay;
	/** Between the other zones and this one's daemons. */
	readonly fromPeers: Relay[];
	readonly setPlatform: (mode: RelayMode) => void;
	readonly address: string;
};

export type ZonedFleet = {
	readonly platform: FleetPlatform;
	readonly zones: readonly Zone[];
	readonly daemons: readonly Daemon[];
	/** Cuts the zones off from each other's daemons; none heals all. */
	readonly separate: (zones: readonly Zone[]) => void;
	readonly close: () => Promise<void>;
};

type ZonedOptions = {
	readonly zones: number;
	readonly daemonsPerZone: number;
	readonly limits?: Parameters<typeof startMember>[0]['limits'];
	/** The clock of a daemon; the system's when left out. */
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
	const toLog = await startRelay(platform.log.address);
	const toList = await startRelay(platform.list.address);
	const daemons: Daemon[] = [];
	const fromPeers: Relay[] = [];
	for (let index = 0; index < options.daemonsPerZone; index++) {
		/* eslint-disable no-await-in-loop -- each seeds the next */
		// The relay listens first, since the daemon tells its address to the others.
		const relay = await startRelay();
		fromPeers.push(relay);
		const daemon = await startMember({
			id: `${name}-${index}`,
			address,
			availabilityZone: name,
			platform,
			seeds: [...seeds, ...fromPeers.slice(0, index).map(other => other.address)],
			limits: options.limits,
			logUrl: toLog.url,
			instancesUrl: toList.url,
			listenPeers: '127.0.0.1:0',
			announcePeersAs: relay.address,
			clock: options.makeClock?.(`${name}-${index}`),
		});
		relay.setTarget(daemon.peers);
		daemons.push(daemon);
		/* eslint-enable no-await-in-loop */
	}

	return {
		name,
		daemons,
		toLog,
		toList,
		fromPeers,
		setPlatform(mode) {
			toLog.setMode(mode);
			toList.setMode(mode);
		},
		address,
	};
};

export const startZonedFleet = async (options: ZonedOptions): Promise<ZonedFleet> => {
	const platform = await startPlatform();
	const zones: Zone[] = [];
	for (let index = 0; index < options.zones; index++) {
		const seeds = zones.map(zone => zone.fromPeers[0]!.address);
		// eslint-disable-next-line no-await-in-loop -- each seeds the next
		const zone = await startZone({
			...options, platform, index, seeds,
		});
		zones.push(zone);
	}

	const daemons = zones.flatMap(zone => zone.daemons);
	await waitFor('the daemons know each other', () => daemons.every(daemon => daemon.listMembers().length === daemons.length), 60_000);
	return {
		platform,
		zones,
		daemons,
		separate(separated) {
			for (const zone of zones) {
				const isSeparate = separated.includes(zone);
				const others = zones.filter(other => other !== zone && (isSeparate || separated.includes(other)));
				for (const relay of zone.fromPeers) {
					relay.block(others.map(other => other.address));
				}
			}
		},
		async close() {
			await Promise.all(daemons.map(async daemon => daemon.stop()));
			await Promise.all(zones.flatMap(zone => [zone.toLog, zone.toList, ...zone.fromPeers]).map(async relay => relay.close()));
			await platform.close();
		},
	};
};
