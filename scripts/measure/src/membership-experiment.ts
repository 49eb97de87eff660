/** Bytes and processor time of membership by number of members, time to notice a death, false suspicions under delay. */
import {setMaxListeners} from 'node:events';
import process from 'node:process';
import {setTimeout as sleep} from 'node:timers/promises';
import {z} from 'zod';
import {systemClock} from '@shallotpass/common/clock.js';
import {makeRandom} from '@shallotpass/core/testing/make-random.js';
import {type MemberUpdate} from '@shallotpass/core/membership/types.js';
import {makePeerClient, type PeerClient} from '@shallotpass/peers/peer-client.js';
import {type PeerHandlers} from '@shallotpass/peers/peer-methods.js';
import {startPeerServer, type PeerServer} from '@shallotpass/peers/peer-server.js';
import {startMembershipTask, type MembershipTask} from '@shallotpass/tasks/membership-task.js';
import {makeLogger} from '@shallotpass/telemetry/logger.js';
import {makeMetrics} from '@shallotpass/telemetry/metrics.js';
import {makeSettings, peerKey, waitFor} from './local-fleet.js';
import {makeLatencies, round} from './latencies.js';
import {type Experiment, type Report} from './experiment.js';

const schema = z.strictObject({
	experiment: z.literal('membership'),
	seed: z.int(),
	members: z.array(z.int().positive()),
	/** Largest number of members that get sockets of their own; above, messages are handed over in memory. */
	mostWithSockets: z.int().positive(),
	probeEveryMs: z.int().positive(),
	suspectForMs: z.int().positive(),
	settleMs: z.int().positive(),
	runMs: z.int().positive(),
	deaths: z.int().positive(),
	/** Share of messages that are late, and by how much. */
	lateShare: z.number().min(0).max(1),
	lateMs: z.int().positive(),
});

type Options = z.output<typeof schema>;

type Node = {
	readonly id: string;
	readonly membership: MembershipTask;
	readonly countBytes: () => number;
	readonly stop: () => Promise<void>;
};

/** Framing of a line on the wire beside its JSON: code, id, method, and the TCP and IP header of one segment. */
const frameBytes = 22 + 50 + 52;

type Network = {
	readonly answer: Map<string, MembershipTask>;
	/** Milliseconds that the next message is held back. */
	getDelay: () => number;
};

type NodeOptions = {
	readonly index: number;
	readonly options: Options;
	readonly network: Network;
	readonly seeds: readonly string[];
	readonly hasSockets: boolean;
};

const makeEnvironment = (id: string, seeds: readonly string[], options: Options, signal: AbortSignal) => ({
	settings: makeSettings({
		id,
		availabilityZone: 'zone-1',
		platform: undefined,
		seeds,
		peers: {probeEveryMs: options.probeEveryMs, suspectForMs: options.suspectForMs},
	}),
	clock: systemClock,
	random: Math.random,
	metrics: makeMetrics(),
	makeLogger: (task: string) => makeLogger(task, id),
	signal,
});

type MemoryClient = {readonly client: PeerClient; readonly bytes: {sent: number; received: number}};

/** Hands questions over in memory and counts what they would be on the wire. */
const makeMemoryClient = (id: string, network: Network): MemoryClient => {
	const bytes = {sent: 0, received: 0};
	const client = {
		async ask(address: string, method: string, parameters: unknown, deadline: number) {
			bytes.sent += JSON.stringify(parameters).length + frameBytes;
			await delay(network);
			const target = network.answer.get(address);
			if (target === undefined || Date.now() > deadline) {
				await sleep(Math.max(0, deadline - Date.now()));
				throw new Error('no answer');
			}

			const result = method === 'probe'
				? target.answerProbe(parameters as never, id)
				: await target.answerProbeFor((parameters as {id: string}).id);
			await delay(network);
			if (Date.now() > deadline) {
				throw new Error('a late answer');
			}

			bytes.received += JSON.stringify(result).length + frameBytes;
			return result as never;
		},
		forget() {/* there are no connections */},
		bytes,
	} as unknown as PeerClient;
	return {client, bytes};
};

const delay = async (network: Network): Promise<void> => {
	const milliseconds = network.getDelay();
	if (milliseconds > 0) {
		await sleep(milliseconds);
	}
};

const startNode = async ({index, options, network, seeds, hasSockets}: NodeOptions): Promise<Node> => {
	const id = `entry-${index}`;
	const stopping = new AbortController();
	setMaxListeners(0, stopping.signal);
	const environment = makeEnvironment(id, seeds, options, stopping.signal);
	const socketClient = hasSockets
		? makePeerClient({
			selfId: id, localAddress: '127.0.0.1', keys: [peerKey], now: Date.now, signal: stopping.signal,
		})
		: undefined;
	const memory = makeMemoryClient(id, network);
	const membership = startMembershipTask({
		environment,
		client: socketClient ?? memory.client,
		epoch: Date.now(),
		makeVersionDigest: () => ({default: 1}),
		receiveVersions() {/* not measured here */},
	});
	let server: PeerServer | undefined;
	if (socketClient !== undefined) {
		server = await startPeerServer({
			listen: '127.0.0.1:0',
			selfId: id,
			keys: [peerKey],
			handlers: {
				async probe(parameters: Parameters<MembershipTask['answerProbe']>[0], from: string) {
					await delay(network);
					return membership.answerProbe(parameters, from);
				},
				probeFor: async (parameters: {id: string}) => membership.answerProbeFor(parameters.id),
			} as unknown as PeerHandlers,
			onRefused() {/* none is expected */},
		});
	}

	const address = server?.address ?? `127.0.0.1:${index + 1}`;
	network.answer.set(address, membership);
	membership.start(address);
	return {
		id,
		membership,
		countBytes: () => socketClient === undefined
			// What is asked of this member comes to as much as it asks.
			? 2 * (memory.bytes.sent + memory.bytes.received)
			: socketClient.bytes.sent + socketClient.bytes.received + server!.bytes.sent + server!.bytes.received,
		async stop() {
			network.answer.delete(address);
			stopping.abort();
			await server?.close();
		},
	};
};

const countSuspected = (nodes: readonly Node[]): number => {
	const members: MemberUpdate[] = nodes.flatMap(node => [...node.membership.getState().members.values()]);
	return members.filter(member => member.status === 'suspect' || member.status === 'dead').length;
};

const countKnown = (node: Node): number => node.membership.listReachable().length;

/** Kills one member after the other and waits until a majority has noticed. */
const measureDeaths = async (nodes: Node[], deaths: number) => {
	const noticed = makeLatencies();
	for (let index = 0; index < deaths; index++) {
		const victim = nodes.pop()!;
		const startedAt = performance.now();
		await victim.stop(); // eslint-disable-line no-await-in-loop -- one death after the other
		// eslint-disable-next-line no-await-in-loop -- one death after the other
		await waitFor('the death is noticed', () => {
			const count = nodes.filter(node => node.membership.getState().members.get(victim.id)?.status !== 'alive').length;
			return count * 2 > nodes.length;
		}, 120_000);
		noticed.record(performance.now() - startedAt);
	}

	return {p50: noticed.get(50), max: noticed.get(100)};
};

const countFalseSuspicions = async (nodes: readonly Node[], network: Network, options: Options): Promise<number> => {
	const random = makeRandom(options.seed);
	network.getDelay = () => random() < options.lateShare ? options.lateMs : 0;
	let most = 0;
	const endAt = Date.now() + options.runMs;
	while (Date.now() < endAt) {
		await sleep(20); // eslint-disable-line no-await-in-loop -- watches
		most = Math.max(most, countSuspected(nodes));
	}

	network.getDelay = () => 0;
	return most;
};

const measurePoint = async (count: number, options: Options) => {
	const network: Network = {answer: new Map(), getDelay: () => 0};
	const hasSockets = count <= options.mostWithSockets;
	const nodes: Node[] = [];
	const seeds: string[] = [];
	for (let index = 0; index < count; index++) {
		// eslint-disable-next-line no-await-in-loop -- each seeds the next
		const node = await startNode({
			index, options, network, seeds: seeds.slice(0, 3), hasSockets,
		});
		nodes.push(node);
		seeds.push([...network.answer.keys()].at(-1)!);
	}

	await waitFor('all know all', () => nodes.every(node => countKnown(node) === count), 180_000);
	// The start of the fleet is news that must have been passed on before the steady state is seen.
	await waitFor('old news is told', () => nodes.every(node => node.membership.getState().rumors.length === 0), 400_000);
	await sleep(options.settleMs);
	const bytesBefore = nodes.map(node => node.countBytes());
	const cpuBefore = process.cpuUsage();
	const startedAt = performance.now();
	await sleep(options.runMs);
	const seconds = (performance.now() - startedAt) / 1000;
	const cpu = process.cpuUsage(cpuBefore);
	const bytes = nodes.map((node, index) => (node.countBytes() - bytesBefore[index]!) / seconds);
	const falseSuspicions = countSuspected(nodes);
	const lateSuspicions = await countFalseSuspicions(nodes, network, options);
	const deaths = await measureDeaths(nodes, options.deaths);
	await Promise.all(nodes.map(async node => node.stop()));
	return {
		members: count,
		sockets: hasSockets,
		bytesPerSecond: Math.round(bytes.reduce((sum, value) => sum + value, 0) / count),
		mostBytesPerSecond: Math.round(Math.max(...bytes)),
		corePercent: round(((cpu.user + cpu.system) / 1e6 / seconds / count) * 100, 3),
		falseSuspicions,
		falseSuspicionsWhenLate: lateSuspicions,
		deathNoticedMs: deaths,
	};
};

const run = async (options: Options, tell: (line: string) => void): Promise<Report> => {
	const points = [];
	for (const count of options.members) {
		const point = await measurePoint(count, options); // eslint-disable-line no-await-in-loop -- one after the other
		points.push(point);
		tell(`${count} members: ${point.bytesPerSecond} bytes/s, ${point.corePercent}% of a core, death noticed in ${point.deathNoticedMs.p50} ms, false suspicions ${point.falseSuspicions}, ${point.falseSuspicionsWhenLate} when late`);
	}

	return {
		experiment: 'membership', seed: options.seed, probeEveryMs: options.probeEveryMs, points,
	};
};

export const membershipExperiment: Experiment<typeof schema> = {name: 'membership', schema, run};
