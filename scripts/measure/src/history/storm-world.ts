/** The small system that the storm strikes: three zones, their daemons, engines and reservation servers. */
import {type Daemon} from '@shallotpass/daemon/start-daemon.js';
import {startEngineStandIn, type EngineStandIn} from '@shallotpass/stand-ins/engine-stand-in.js';
import {startPlainServiceStandIn, type PlainServiceStandIn} from '@shallotpass/stand-ins/plain-service-stand-in.js';
import {applyThrough, makeConfigurationText, waitFor} from '../local-fleet.js';
import {makeJumpingClock, type JumpingClock} from '../jumping-clock.js';
import {startZonedFleet, type ZonedFleet} from '../zoned-fleet.js';
import {makeHistory, type History} from './types.js';

export const crashMarker = 'POISON';

export type StormEngine = {readonly id: string; readonly zone: string; readonly server: EngineStandIn};

export type StormWorld = {
	readonly fleet: ZonedFleet;
	readonly clocks: ReadonlyMap<string, JumpingClock>;
	readonly history: History;
	readonly random: () => number;
	readonly stepMs: number;
	readonly services: ReadonlyArray<{readonly id: string; readonly server: PlainServiceStandIn}>;
	/** Engines that run, and all that ever ran. */
	engines: StormEngine[];
	readonly allEngines: StormEngine[];
	/** Engines that an action has in hand; another action leaves them alone. */
	readonly busyEngines: Set<string>;
	/** Daemons that take calls. */
	daemons: Daemon[];
	isOver: boolean;
	started: number;
};

export const getDaemonId = (daemon: Daemon): string => daemon.environment.settings.instance.id;

export const pickOne = <Item>(items: readonly Item[], random: () => number): Item => items[Math.floor(random() * items.length)]!;

export const startStormEngine = async (world: StormWorld, zone: string): Promise<StormEngine> => {
	world.started++;
	const id = `engine-${world.started}`;
	const server = await startEngineStandIn({models: ['assistant-7b'], parameters: {stepMs: world.stepMs}, crashMarker});
	world.fleet.platform.list.put({
		id, address: server.address, availabilityZone: zone, role: 'backend', state: 'live', services: ['assistant'],
	});
	const engine = {id, zone, server};
	world.engines = [...world.engines, engine];
	world.allEngines.push(engine);
	return engine;
};

/** Takes engines that are gone off the list and puts fresh ones in their place. */
export const replaceEngines = async (world: StormWorld, gone: readonly StormEngine[]): Promise<void> => {
	world.engines = world.engines.filter(engine => !gone.includes(engine));
	for (const engine of gone) {
		world.fleet.platform.list.remove(engine.id);
	}

	await Promise.all(gone.map(async engine => startStormEngine(world, engine.zone)));
};

const startServices = async (fleet: ZonedFleet): Promise<StormWorld['services']> => Promise.all(fleet.zones.map(async zone => {
	const id = `reservations-${zone.name}`;
	const server = await startPlainServiceStandIn({id});
	fleet.platform.list.put({
		id, address: server.address, availabilityZone: zone.name, role: 'backend', state: 'live', services: ['reservations'],
	});
	return {id, server};
}));

type WorldOptions = {
	readonly random: () => number;
	readonly daemonsPerZone: number;
	readonly enginesPerZone: number;
	readonly stepMs: number;
};

export const startStormWorld = async ({random, daemonsPerZone, enginesPerZone, stepMs}: WorldOptions): Promise<StormWorld> => {
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
	const world: StormWorld = {
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
		started: 0,
	};
	for (const zone of fleet.zones) {
		await Promise.all(Array.from({length: enginesPerZone}, async () => startStormEngine(world, zone.name))); // eslint-disable-line no-await-in-loop -- few
	}

	const applied = await applyThrough(fleet.daemons[0]!, makeConfigurationText());
	world.history.accepted.push({version: applied.body.version!, at: Date.now()});
	await waitFor('the configuration is in force', () => fleet.daemons.every(daemon => daemon.getVersion('default') === applied.body.version));
	const backends = world.engines.length + world.services.length;
	await waitFor('the backend servers are known', async () => {
		const texts = await Promise.all(fleet.daemons.map(async daemon => daemon.environment.metrics.registry.getSingleMetricAsString('shallotpass_backends')));
		return texts.every(text => text.includes(`state="live"} ${backends}`));
	});
	return world;
};

/** Copies what backend servers saw into the history. */
export const collectArrivals = ({history, allEngines, services}: StormWorld): void => {
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

export const closeStormWorld = async (world: StormWorld): Promise<void> => {
	await world.fleet.close();
	await Promise.all([...world.allEngines, ...world.services].map(async ({server}) => server.close()));
};
