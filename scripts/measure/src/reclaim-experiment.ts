/** Reclaims under load: one backend server, a zone at once, a death without notice, the daemon's own instance. Nothing may be lost. */
import {setTimeout as sleep} from 'node:timers/promises';
import {z} from 'zod';
import {makeRandom} from '@shallotpass/core/testing/make-random.js';
import {type Daemon} from '@shallotpass/daemon/start-daemon.js';
import {startEngineStandIn, type EngineStandIn} from '@shallotpass/stand-ins/engine-stand-in.js';
import {startPlainServiceStandIn, type PlainServiceStandIn} from '@shallotpass/stand-ins/plain-service-stand-in.js';
import {askStream, reserve} from './caller-client.js';
import {
	applyThrough, makeConfigurationText, startMember, startPlatform, waitFor, type FleetPlatform,
} from './local-fleet.js';
import {getQuantiles, makeLatencies} from './latencies.js';
import {type Experiment, type Report} from './experiment.js';

const schema = z.strictObject({
	experiment: z.literal('reclaim'),
	seed: z.int(),
	zones: z.int().positive(),
	enginesPerZone: z.int().positive(),
	streams: z.int().positive(),
	tokens: z.int().positive(),
	stepMs: z.number().positive(),
	noticeMs: z.int().positive(),
	/** How often the four kinds of reclaim follow each other. */
	rounds: z.int().positive(),
});

type Options = z.output<typeof schema>;

type Tally = {
	accepted: number;
	answered: number;
	refusedTruthfully: number;
	brokenTruthfully: number;
	lost: number;
	stray: number;
	unknown: number;
};

type Engine = {readonly id: string; readonly zone: string; server: EngineStandIn};

type World = {
	readonly options: Options;
	readonly platform: FleetPlatform;
	readonly engines: Engine[];
	readonly services: PlainServiceStandIn[];
	daemons: Daemon[];
	readonly streams: Tally;
	readonly reservations: Tally;
	/** Requests that reached a backend server more than 3 s after its notice. */
	lateArrivals: number;
	isOver: boolean;
	readonly random: () => number;
};

const makeTally = (): Tally => ({
	accepted: 0, answered: 0, refusedTruthfully: 0, brokenTruthfully: 0, lost: 0, stray: 0, unknown: 0,
});

const startEngine = async (world: Pick<World, 'options' | 'platform'>, id: string, zone: string): Promise<Engine> => {
	const server = await startEngineStandIn({models: ['assistant-7b'], parameters: {stepMs: world.options.stepMs}});
	world.platform.list.put({
		id, address: server.address, availabilityZone: zone, role: 'backend', state: 'live', services: ['assistant'],
	});
	return {id, zone, server};
};

const pickDaemon = (world: World): Daemon => world.daemons[Math.floor(world.random() * world.daemons.length)]!;

const runStreams = async (world: World, stream: number): Promise<void> => {
	const {streams: tally, options} = world;
	for (let index = 0; !world.isOver; index++) {
		const marker = `s${stream}-${index}`;
		tally.accepted++;
		try {
			const answer = await askStream({address: pickDaemon(world).callers, marker, tokens: options.tokens}); // eslint-disable-line no-await-in-loop -- one question after the other
			tally.stray += answer.strayTokens;
			if (answer.isWhole) {
				tally.answered++;
			} else if (answer.problem === undefined) {
				tally.lost++;
			} else if (answer.problem.executed === 'no') {
				tally.refusedTruthfully++;
			} else {
				tally.brokenTruthfully++;
			}
		} catch {
			tally.lost++;
		}
	}
};

const runReservations = async (world: World, worker: number): Promise<void> => {
	const {reservations: tally} = world;
	for (let index = 0; !world.isOver; index++) {
		const key = `r${worker}-${index}`;
		tally.accepted++;
		try {
			const answer = await reserve({address: pickDaemon(world).callers, key, body: JSON.stringify({key})}); // eslint-disable-line no-await-in-loop -- one reservation after the other
			if (answer.status === 200) {
				tally.answered++;
			} else if (answer.body.executed === 'no') {
				tally.refusedTruthfully++;
			} else {
				tally.unknown++;
			}
		} catch {
			tally.lost++;
		}

		await sleep(20); // eslint-disable-line no-await-in-loop -- a pause between reservations
	}
};

const watchLateArrivals = async (world: World, engines: readonly Engine[]): Promise<void> => {
	await sleep(Math.min(3000, world.options.noticeMs / 2));
	const before = engines.map(engine => engine.server.countRequests());
	await sleep(Math.max(0, world.options.noticeMs - Math.min(3000, world.options.noticeMs / 2)));
	for (const [index, engine] of engines.entries()) {
		world.lateArrivals += engine.server.countRequests() - before[index]!;
	}
};

const replace = async (world: World, engines: readonly Engine[]): Promise<void> => {
	for (const engine of engines) {
		world.platform.list.remove(engine.id);
		const fresh = await startEngine(world, `${engine.id}x`, engine.zone); // eslint-disable-line no-await-in-loop -- few
		world.engines[world.engines.indexOf(engine)] = fresh;
	}

	await sleep(800);
};

const reclaimWithNotice = async (world: World, engines: readonly Engine[]): Promise<void> => {
	const leavesAt = Date.now() + world.options.noticeMs;
	for (const engine of engines) {
		world.platform.cloud.giveNotice(engine.id, leavesAt);
	}

	await watchLateArrivals(world, engines);
	await Promise.all(engines.map(async engine => engine.server.close()));
	await replace(world, engines);
};

const endWithoutNotice = async (world: World, engines: readonly Engine[]): Promise<void> => {
	await Promise.all(engines.map(async engine => engine.server.close()));
	await sleep(500);
	await replace(world, engines);
};

const startDaemon = async (world: Pick<World, 'platform' | 'daemons'>, index: number): Promise<Daemon> => startMember({
	id: `entry-${index}`, availabilityZone: `zone-${(index % 3) + 1}`, platform: world.platform, seeds: world.daemons.slice(0, 2).map(daemon => daemon.peers),
});

const reclaimDaemon = async (world: World, round: number): Promise<void> => {
	const leaving = world.daemons[0]!;
	world.platform.cloud.giveNotice(leaving.environment.settings.instance.id, Date.now() + 10_000);
	// The balancer takes a daemon out when its readiness fails.
	await waitFor('the daemon is not ready', () => !leaving.isReady());
	world.daemons = world.daemons.slice(1);
	await leaving.drain();
	const fresh = await startDaemon(world, round + 10);
	await waitFor('the new daemon serves', () => fresh.isReady() && fresh.getVersion('default') >= 0);
	await sleep(600);
	world.daemons = [...world.daemons, fresh];
};

const startWorld = async (options: Options): Promise<World> => {
	const platform = await startPlatform();
	const services = await Promise.all(Array.from({length: 3}, async () => startPlainServiceStandIn()));
	for (const [index, service] of services.entries()) {
		platform.list.put({
			id: `reservations-${index}`, address: service.address, availabilityZone: `zone-${index + 1}`, role: 'backend', state: 'live', services: ['reservations'],
		});
	}

	const world: World = {
		options, platform, services, engines: [], daemons: [], streams: makeTally(), reservations: makeTally(), lateArrivals: 0, isOver: false, random: makeRandom(options.seed),
	};
	for (let zone = 1; zone <= options.zones; zone++) {
		for (let index = 0; index < options.enginesPerZone; index++) {
			world.engines.push(await startEngine(world, `engine-${zone}-${index}`, `zone-${zone}`)); // eslint-disable-line no-await-in-loop -- few
		}
	}

	for (let index = 0; index < 3; index++) {
		world.daemons.push(await startDaemon(world, index)); // eslint-disable-line no-await-in-loop -- each seeds the next
	}

	await waitFor('the daemons know each other', () => world.daemons.every(daemon => daemon.listMembers().length === 3));
	await applyThrough(world.daemons[0]!, makeConfigurationText());
	await sleep(1500);
	return world;
};

const run = async (options: Options, tell: (line: string) => void): Promise<Report> => {
	const world = await startWorld(options);
	const load = Promise.all([
		...Array.from({length: options.streams}, async (_value, index) => runStreams(world, index)),
		...Array.from({length: 4}, async (_value, index) => runReservations(world, index)),
	]);
	const pauses = makeLatencies();
	for (let round = 0; round < options.rounds; round++) {
		/* eslint-disable no-await-in-loop -- one reclaim after the other */
		const startedAt = performance.now();
		await reclaimWithNotice(world, world.engines.slice(0, 1));
		await reclaimWithNotice(world, world.engines.filter(engine => engine.zone === `zone-${(round % options.zones) + 1}`));
		await endWithoutNotice(world, world.engines.slice(-1));
		await endWithoutNotice(world, world.engines.filter(engine => engine.zone === `zone-${((round + 1) % options.zones) + 1}`));
		await reclaimDaemon(world, round);
		pauses.record(performance.now() - startedAt);
		tell(`round ${round + 1}: ${JSON.stringify(world.streams)}`);
		/* eslint-enable no-await-in-loop */
	}

	world.isOver = true;
	await load;
	const counts = new Map<string, number>();
	for (const {body} of world.services.flatMap(service => service.executions)) {
		counts.set(body, (counts.get(body) ?? 0) + 1);
	}

	await Promise.all(world.daemons.map(async daemon => daemon.stop()));
	await Promise.all([...world.engines.map(engine => engine.server), ...world.services].map(async server => server.close()));
	await world.platform.close();
	return {
		experiment: 'reclaim',
		seed: options.seed,
		streams: world.streams,
		reservations: world.reservations,
		executionsMoreThanOnce: [...counts.values()].filter(count => count > 1).length,
		lateArrivals: world.lateArrivals,
		lost: world.streams.lost + world.reservations.lost,
		roundMs: getQuantiles(pauses),
	};
};

export const reclaimExperiment: Experiment<typeof schema> = {name: 'reclaim', schema, run};
