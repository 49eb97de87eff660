/** The system under test in a chaos run: daemons, engines and reservation servers in three availability zones. */
import {type Daemon} from '@shallotpass/daemon/start-daemon.js';
import {startEngineStandIn, type EngineStandIn} from '@shallotpass/stand-ins/engine-stand-in.js';
import {startPlainServiceStandIn, type PlainServiceStandIn} from '@shallotpass/stand-ins/plain-service-stand-in.js';
import {applyConfiguration, makeConfigurationText, waitFor} from '../local-fleet.js';
import {makeJumpingClock, type JumpingClock} from '../jumping-clock.js';
import {startZonedFleet, type ZonedFleet} from '../zoned-fleet.js';
import {makeHistory, type History} from './types.js';

/** A prompt that contains this text crashes the engine. */
export const crashMarker = 'POISON';

export type ChaosEngine = {readonly id: string; readonly zone: string; readonly server: EngineStandIn};

export type ChaosCluster = {
	readonly fleet: ZonedFleet;
	readonly clocks: ReadonlyMap<string, JumpingClock>;
	readonly history: History;
	readonly random: () => number;
	/** Fixed duration of a batch step of an engine, in milliseconds. */
	readonly stepMs: number;
	/** The reservation servers. */
	readonly services: ReadonlyArray<{readonly id: string; readonly server: PlainServiceStandIn}>;
	/** Engines that are currently in the instance list. */
	engines: ChaosEngine[];
	/** All engines ever started, including the removed ones. */
	readonly allEngines: ChaosEngine[];
	/** Ids of the engines that an action of the fault injector uses. Other actions must not use them. */
	readonly busyEngines: Set<string>;
	/** Daemons that callers may use. */
	daemons: Daemon[];
	/** Set at the end of the run, so that callers and watchers stop. */
	isOver: boolean;
	/** Number of engines started so far, from which the next engine id is derived. */
	startedEngines: number;
};

export const getDaemonId = (daemon: Daemon): string => daemon.environment.settings.instance.id;

export const pickRandom = <Item>(items: readonly Item[], random: () => number): Item => items[Math.floor(random() * items.length)]!;

export const startChaosEngine = async (cluster: ChaosCluster, zone: string): Promise<ChaosEngine> => {
	cluster.startedEngines++;
	const id = `engine-${cluster.startedEngines}`;
	const server = await startEngineStandIn({models: ['assistant-7b'], parameters: {stepMs: cluster.stepMs}, crashMarker});
	cluster.fleet.platform.list.put({
		id, address: server.address, availabilityZone: zone, role: 'backend', state: 'live', services: ['assistant'],
	});
	const engine = {id, zone, server};
	cluster.engines = [...cluster.engines, engine];
	cluster.allEngines.push(engine);
	return engine;
};

/** Removes engines from the instance list and starts a new one in the same zone for each. */
export const replaceEngines = async (cluster: ChaosCluster, removed: readonly ChaosEngine[]): Promise<void> => {
	cluster.engines = cluster.engines.filter(engine => !removed.includes(engine));
	for (const engine of removed) {
		cluster.fleet.platform.list.remove(engine.id);
	}

	await Promise.all(removed.map(async engine => startChaosEngine(cluster, engine.zone)));
};

const startServices = async (fleet: ZonedFleet): Promise<ChaosCluster['services']> => Promise.all(fleet.zones.map(async zone => {
	const id = `reservations-${zone.name}`;
	const server = await startPlainServiceStandIn({id});
	fleet.platform.list.put({
		id, address: server.address, availabilityZone: zone.name, role: 'backend', state: 'live', services: ['reservations'],
	});
	return {id, server};
}));

type ClusterOptions = {
	readonly random: () => number;
	readonly daemonsPerZone: number;
	readonly enginesPerZone: number;
	readonly stepMs: number;
};

export const startChaosCluster = async ({random, daemonsPerZone, enginesPerZone, stepMs}: ClusterOptions): Promise<ChaosCluster> => {
	const clocks = new Map<string, JumpingClock>();
	const fleet = await startZonedFleet({
		zones: 3,
		daemonsPerZone,
		makeClock(daemonId) {
			const clock = makeJumpingClock();
			clocks.set(daemonId, clock);
			return clock;
		},
	});
	const cluster: ChaosCluster = {
		fleet,
		clocks,
		history: makeHistory(),
		random,
		stepMs,
		services: await startServices(fleet),
		engines: [],
		allEngines: [],
		busyEngines: new Set(),
		daemons: [...fleet.daemons],
		isOver: false,
		startedEngines: 0,
	};
	for (const zone of fleet.zones) {
		await Promise.all(Array.from({length: enginesPerZone}, async () => startChaosEngine(cluster, zone.name))); // eslint-disable-line no-await-in-loop -- few zones
	}

	const applied = await applyConfiguration(fleet.daemons[0]!, makeConfigurationText());
	cluster.history.acceptedVersions.push({version: applied.body.version!, at: Date.now()});
	await waitFor('the configuration is in force', () => fleet.daemons.every(daemon => daemon.getVersion('default') === applied.body.version));
	const backends = cluster.engines.length + cluster.services.length;
	await waitFor('the backend servers are known', async () => {
		const texts = await Promise.all(fleet.daemons.map(async daemon => daemon.environment.metrics.registry.getSingleMetricAsString('shallotpass_backends')));
		return texts.every(text => text.includes(`state="live"} ${backends}`));
	});
	return cluster;
};

/** Copies the requests that the backend servers received into the history. */
export const collectArrivals = ({history, allEngines, services}: ChaosCluster): void => {
	for (const {id, server} of allEngines) {
		history.arrivals.push(...server.arrivals.map(({marker, at}) => ({
			kind: 'stream' as const, backend: id, key: marker, at,
		})));
	}

	for (const {id, server} of services) {
		history.arrivals.push(...server.executions.map(execution => ({
			kind: 'once' as const, backend: id, key: execution.body, at: execution.at,
		})));
	}
};

export const closeChaosCluster = async (cluster: ChaosCluster): Promise<void> => {
	await cluster.fleet.close();
	await Promise.all([...cluster.allEngines, ...cluster.services].map(async ({server}) => server.close()));
};
