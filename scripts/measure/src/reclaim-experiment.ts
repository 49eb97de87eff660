/** Reclaims instances under load: one engine, a whole zone, engines without notice, and a daemon's own instance. No request may be lost. */
import {setTimeout as sleep} from 'node:timers/promises';
import {z} from 'zod';
import {makeRandom} from '@shallotpass/core/testing/make-random.js';
import {type Daemon} from '@shallotpass/daemon/start-daemon.js';
import {startEngineStandIn, type EngineStandIn} from '@shallotpass/stand-ins/engine-stand-in.js';
import {startPlainServiceStandIn, type PlainServiceStandIn} from '@shallotpass/stand-ins/plain-service-stand-in.js';
import {streamChat, sendReservation} from './caller-client.js';
import {
	applyConfiguration, makeConfigurationText, startFleetDaemon, startPlatform, waitFor, type FleetPlatform,
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
	/** Number of rounds; each round runs every kind of reclaim once. */
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

type TestCluster = {
	readonly options: Options;
	readonly platform: FleetPlatform;
	readonly engines: Engine[];
	readonly services: PlainServiceStandIn[];
	daemons: Daemon[];
	readonly streams: Tally;
	readonly reservations: Tally;
	/** Requests that reached an engine later than 3 s, or half the notice period if that is shorter, after its notice. */
	lateArrivals: number;
	isOver: boolean;
	readonly random: () => number;
};

const makeTally = (): Tally => ({
	accepted: 0, answered: 0, refusedTruthfully: 0, brokenTruthfully: 0, lost: 0, stray: 0, unknown: 0,
});

const startEngine = async (cluster: Pick<TestCluster, 'options' | 'platform'>, id: string, zone: string): Promise<Engine> => {
	const server = await startEngineStandIn({models: ['assistant-7b'], parameters: {stepMs: cluster.options.stepMs}});
	cluster.platform.list.put({
		id, address: server.address, availabilityZone: zone, role: 'backend', state: 'live', services: ['assistant'],
	});
	return {id, zone, server};
};

const pickDaemon = (cluster: TestCluster): Daemon => cluster.daemons[Math.floor(cluster.random() * cluster.daemons.length)]!;

const runStreams = async (cluster: TestCluster, stream: number): Promise<void> => {
	const {streams: tally, options} = cluster;
	for (let index = 0; !cluster.isOver; index++) {
		const marker = `s${stream}-${index}`;
		tally.accepted++;
		try {
			const answer = await streamChat({address: pickDaemon(cluster).callers, marker, tokens: options.tokens}); // eslint-disable-line no-await-in-loop -- the requests of a caller are sequential
			tally.stray += answer.unexpectedTokens;
			if (answer.isComplete) {
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

const runReservations = async (cluster: TestCluster, worker: number): Promise<void> => {
	const {reservations: tally} = cluster;
	for (let index = 0; !cluster.isOver; index++) {
		const key = `r${worker}-${index}`;
		tally.accepted++;
		try {
			const answer = await sendReservation({address: pickDaemon(cluster).callers, key, body: JSON.stringify({key})}); // eslint-disable-line no-await-in-loop -- reservations are sequential
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

const countLateArrivals = async (cluster: TestCluster, engines: readonly Engine[]): Promise<void> => {
	await sleep(Math.min(3000, cluster.options.noticeMs / 2));
	const before = engines.map(engine => engine.server.countRequests());
	await sleep(Math.max(0, cluster.options.noticeMs - Math.min(3000, cluster.options.noticeMs / 2)));
	for (const [index, engine] of engines.entries()) {
		cluster.lateArrivals += engine.server.countRequests() - before[index]!;
	}
};

const replaceEngines = async (cluster: TestCluster, engines: readonly Engine[]): Promise<void> => {
	for (const engine of engines) {
		cluster.platform.list.remove(engine.id);
		const replacement = await startEngine(cluster, `${engine.id}x`, engine.zone); // eslint-disable-line no-await-in-loop -- few engines
		cluster.engines[cluster.engines.indexOf(engine)] = replacement;
	}

	await sleep(800);
};

const reclaimWithNotice = async (cluster: TestCluster, engines: readonly Engine[]): Promise<void> => {
	const leavesAt = Date.now() + cluster.options.noticeMs;
	for (const engine of engines) {
		cluster.platform.cloud.announceReclaim(engine.id, leavesAt);
	}

	await countLateArrivals(cluster, engines);
	await Promise.all(engines.map(async engine => engine.server.close()));
	await replaceEngines(cluster, engines);
};

const terminateWithoutNotice = async (cluster: TestCluster, engines: readonly Engine[]): Promise<void> => {
	await Promise.all(engines.map(async engine => engine.server.close()));
	await sleep(500);
	await replaceEngines(cluster, engines);
};

const startDaemon = async (cluster: Pick<TestCluster, 'platform' | 'daemons'>, index: number): Promise<Daemon> => startFleetDaemon({
	id: `entry-${index}`, availabilityZone: `zone-${(index % 3) + 1}`, platform: cluster.platform, seeds: cluster.daemons.slice(0, 2).map(daemon => daemon.peers),
});

const reclaimDaemon = async (cluster: TestCluster, round: number): Promise<void> => {
	const leaving = cluster.daemons[0]!;
	cluster.platform.cloud.announceReclaim(leaving.environment.settings.instance.id, Date.now() + 10_000);
	// The load balancer removes a daemon when its readiness check fails.
	await waitFor('the daemon is not ready', () => !leaving.isReady());
	cluster.daemons = cluster.daemons.slice(1);
	await leaving.drain();
	const replacement = await startDaemon(cluster, round + 10);
	await waitFor('the new daemon is ready', () => replacement.isReady() && replacement.getVersion('default') >= 0);
	await sleep(600);
	cluster.daemons = [...cluster.daemons, replacement];
};

const startCluster = async (options: Options): Promise<TestCluster> => {
	const platform = await startPlatform();
	const services = await Promise.all(Array.from({length: 3}, async () => startPlainServiceStandIn()));
	for (const [index, service] of services.entries()) {
		platform.list.put({
			id: `reservations-${index}`, address: service.address, availabilityZone: `zone-${index + 1}`, role: 'backend', state: 'live', services: ['reservations'],
		});
	}

	const cluster: TestCluster = {
		options, platform, services, engines: [], daemons: [], streams: makeTally(), reservations: makeTally(), lateArrivals: 0, isOver: false, random: makeRandom(options.seed),
	};
	for (let zone = 1; zone <= options.zones; zone++) {
		for (let index = 0; index < options.enginesPerZone; index++) {
			cluster.engines.push(await startEngine(cluster, `engine-${zone}-${index}`, `zone-${zone}`)); // eslint-disable-line no-await-in-loop -- few engines
		}
	}

	for (let index = 0; index < 3; index++) {
		cluster.daemons.push(await startDaemon(cluster, index)); // eslint-disable-line no-await-in-loop -- earlier daemons are seeds of the next
	}

	await waitFor('all daemons know each other', () => cluster.daemons.every(daemon => daemon.listMembers().length === 3));
	await applyConfiguration(cluster.daemons[0]!, makeConfigurationText());
	await sleep(1500);
	return cluster;
};

const run = async (options: Options, printLine: (line: string) => void): Promise<Report> => {
	const cluster = await startCluster(options);
	const callers = Promise.all([
		...Array.from({length: options.streams}, async (_value, index) => runStreams(cluster, index)),
		...Array.from({length: 4}, async (_value, index) => runReservations(cluster, index)),
	]);
	const roundLatencies = makeLatencies();
	for (let round = 0; round < options.rounds; round++) {
		/* eslint-disable no-await-in-loop -- reclaims are sequential */
		const startedAt = performance.now();
		await reclaimWithNotice(cluster, cluster.engines.slice(0, 1));
		await reclaimWithNotice(cluster, cluster.engines.filter(engine => engine.zone === `zone-${(round % options.zones) + 1}`));
		await terminateWithoutNotice(cluster, cluster.engines.slice(-1));
		await terminateWithoutNotice(cluster, cluster.engines.filter(engine => engine.zone === `zone-${((round + 1) % options.zones) + 1}`));
		await reclaimDaemon(cluster, round);
		roundLatencies.record(performance.now() - startedAt);
		printLine(`round ${round + 1}: ${JSON.stringify(cluster.streams)}`);
		/* eslint-enable no-await-in-loop */
	}

	cluster.isOver = true;
	await callers;
	const counts = new Map<string, number>();
	for (const {body} of cluster.services.flatMap(service => service.executions)) {
		counts.set(body, (counts.get(body) ?? 0) + 1);
	}

	await Promise.all(cluster.daemons.map(async daemon => daemon.stop()));
	await Promise.all([...cluster.engines.map(engine => engine.server), ...cluster.services].map(async server => server.close()));
	await cluster.platform.close();
	return {
		experiment: 'reclaim',
		seed: options.seed,
		streams: cluster.streams,
		reservations: cluster.reservations,
		executionsMoreThanOnce: [...counts.values()].filter(count => count > 1).length,
		lateArrivals: cluster.lateArrivals,
		lost: cluster.streams.lost + cluster.reservations.lost,
		roundMs: getQuantiles(roundLatencies),
	};
};

export const reclaimExperiment: Experiment<typeof schema> = {name: 'reclaim', schema, run};
