/** Test fixture with a platform, engines, a reservation service and daemons. */
import {type TestContext} from 'node:test';
import {type Daemon} from '@shallotpass/daemon/start-daemon.js';
import {
	applyConfiguration,
	makeConfigurationText,
	startFleetDaemon,
	startPlatform,
	waitFor,
	type FleetPlatform,
} from '@shallotpass/measure/local-fleet.js';
import {startEngineStandIn, type EngineStandIn} from '@shallotpass/stand-ins/engine-stand-in.js';
import {startPlainServiceStandIn, type PlainServiceStandIn} from '@shallotpass/stand-ins/plain-service-stand-in.js';

type EngineOptions = NonNullable<Parameters<typeof startEngineStandIn>[0]>;

export type FleetOptions = {
	readonly daemons?: number;
	readonly engines?: readonly EngineOptions[];
	readonly services?: number;
	readonly limits?: Parameters<typeof startFleetDaemon>[0]['limits'];
	readonly configurationText?: string;
};

export type Fleet = {
	readonly platform: FleetPlatform;
	readonly daemons: Daemon[];
	readonly engines: EngineStandIn[];
	readonly services: PlainServiceStandIn[];
	/** Starts another daemon, which joins the fleet. */
	readonly join: (id: string, availabilityZone: string) => Promise<Daemon>;
	/** Returns the number of executions on all reservation servers. */
	readonly countExecutions: () => number;
};

const backendDefaults = {role: 'backend', state: 'live'} as const;

/** Waits until a daemon knows the given number of live backend servers. */
const waitForBackends = async (daemon: Daemon, count: number): Promise<void> => {
	await waitFor('backend servers are known', async () => {
		const text = await daemon.environment.metrics.registry.getSingleMetricAsString('shallotpass_backends');
		return text.includes(`state="live"} ${count}`);
	});
};

export const startFleet = async (t: TestContext, options: FleetOptions = {}): Promise<Fleet> => {
	const platform = await startPlatform();
	const engines = await Promise.all((options.engines ?? [{}, {}]).map(async engine => startEngineStandIn({models: ['assistant-7b'], parameters: {stepMs: 2}, ...engine})));
	const services = await Promise.all(Array.from({length: options.services ?? 1}, async (_value, index) => startPlainServiceStandIn({id: `reservations-${index}`})));
	for (const [index, engine] of engines.entries()) {
		platform.list.put({
			...backendDefaults, id: `engine-${index}`, address: engine.address, availabilityZone: `zone-${(index % 3) + 1}`, services: ['assistant'],
		});
	}

	for (const [index, service] of services.entries()) {
		platform.list.put({
			...backendDefaults, id: `reservations-${index}`, address: service.address, availabilityZone: `zone-${(index % 3) + 1}`, services: ['reservations', 'catalogue'],
		});
	}

	const daemons: Daemon[] = [];
	const join = async (id: string, availabilityZone: string): Promise<Daemon> => {
		const daemon = await startFleetDaemon({
			id, availabilityZone, platform, seeds: daemons.slice(0, 2).map(other => other.peers), limits: options.limits,
		});
		daemons.push(daemon);
		return daemon;
	};

	t.after(async () => {
		await Promise.all(daemons.map(async daemon => daemon.stop()));
		await Promise.all([...engines, ...services].map(async server => server.close()));
		await platform.close();
	});
	const count = options.daemons ?? 2;
	for (let index = 0; index < count; index++) {
		await join(`entry-${index}`, `zone-${(index % 3) + 1}`); // eslint-disable-line no-await-in-loop -- each daemon is a seed of the next
	}

	await waitFor('the daemons know each other', () => daemons.every(daemon => daemon.listMembers().length === count));
	const applied = await applyConfiguration(daemons[0]!, options.configurationText ?? makeConfigurationText());
	await waitFor('the configuration is in force', () => daemons.every(daemon => daemon.getVersion('default') === applied.body.version));
	await Promise.all(daemons.map(async daemon => waitForBackends(daemon, engines.length + services.length)));
	return {
		platform,
		daemons,
		engines,
		services,
		join,
		countExecutions: () => services.reduce((sum, service) => sum + service.executions.length, 0),
	};
};
