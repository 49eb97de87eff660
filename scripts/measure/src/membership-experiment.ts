/** Measures the membership protocol by number of members: network traffic, CPU time, failure detection time and false suspicions with delayed messages. */
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
	/** Maximum number of members that use real sockets; larger groups exchange messages in memory. */
	mostWithSockets: z.int().positive(),
	probeEveryMs: z.int().positive(),
	suspectForMs: z.int().positive(),
	settleMs: z.int().positive(),
	runMs: z.int().positive(),
	deaths: z.int().positive(),
	/** Share of messages that are delayed, and the delay. */
	lateShare: z.number().min(0).max(1),
	lateMs: z.int().positive(),
});

type Options = z.output<typeof schema>;

type MemberNode = {
	readonly id: string;
	readonly membership: MembershipTask;
	readonly countBytes: () => number;
	readonly stop: () => Promise<void>;
};

/** Overhead of a message on the wire in addition to its JSON: code, id, method, and the TCP and IP headers of one segment. */
const frameOverheadBytes = 22 + 50 + 52;

type SimulatedNetwork = {
	readonly membersByAddress: Map<string, MembershipTask>;
	/** Returns the delay of the next message in milliseconds. */
	getDelayMs: () => number;
};

type NodeOptions = {
	readonly index: number;
	readonly options: Options;
	readonly network: SimulatedNetwork;
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

/** Makes a peer client that delivers requests in memory and counts the bytes that they would take on the wire. */
const makeMemoryClient = (id: string, network: SimulatedNetwork): MemoryClient => {
	const bytes = {sent: 0, received: 0};
	const client = {
		async call(address: string, method: string, parameters: unknown, deadline: number) {
			bytes.sent += JSON.stringify(parameters).length + frameOverheadBytes;
			await delay(network);
			const target = network.membersByAddress.get(address);
			if (target === undefined || Date.now() > deadline) {
				await sleep(Math.max(0, deadline - Date.now()));
				throw new Error('the peer did not respond');
			}

			const result = method === 'probe'
				? target.answerProbe(parameters as never, id)
				: await target.answerProbeFor((parameters as {id: string}).id);
			await delay(network);
			if (Date.now() > deadline) {
				throw new Error('the peer responded after the deadline');
			}

			bytes.received += JSON.stringify(result).length + frameOverheadBytes;
			return result as never;
		},
		disconnect() {/* no connections to close */},
		bytes,
	} as unknown as PeerClient;
	return {client, bytes};
};

/** Waits for the simulated delay of one message. */
const delay = async (network: SimulatedNetwork): Promise<void> => {
	const milliseconds = network.getDelayMs();
	if (milliseconds > 0) {
		await sleep(milliseconds);
	}
};

const startNode = async ({index, options, network, seeds, hasSockets}: NodeOptions): Promise<MemberNode> => {
	const id = `entry-${index}`;
	const abortController = new AbortController();
	setMaxListeners(0, abortController.signal);
	const environment = makeEnvironment(id, seeds, options, abortController.signal);
	const socketClient = hasSockets
		? makePeerClient({
			selfId: id, localAddress: '127.0.0.1', keys: [peerKey], now: Date.now, signal: abortController.signal,
		})
		: undefined;
	const memoryClient = makeMemoryClient(id, network);
	const membership = startMembershipTask({
		environment,
		client: socketClient ?? memoryClient.client,
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
			onRefused() {/* no refusals are expected */},
		});
	}

	const address = server?.address ?? `127.0.0.1:${index + 1}`;
	network.membersByAddress.set(address, membership);
	membership.start(address);
	return {
		id,
		membership,
		countBytes: () => socketClient === undefined
			// Only this member's own requests are counted; the requests that it receives take as many bytes on average.
			? 2 * (memoryClient.bytes.sent + memoryClient.bytes.received)
			: socketClient.bytes.sent + socketClient.bytes.received + server!.bytes.sent + server!.bytes.received,
		async stop() {
			network.membersByAddress.delete(address);
			abortController.abort();
			await server?.close();
		},
	};
};

const countSuspicions = (nodes: readonly MemberNode[]): number => {
	const members: MemberUpdate[] = nodes.flatMap(node => [...node.membership.getState().members.values()]);
	return members.filter(member => member.status === 'suspect' || member.status === 'dead').length;
};

const countReachable = (node: MemberNode): number => node.membership.listReachable().length;

/** Stops one member after the other and measures the time until a majority has detected the failure. */
const measureFailureDetection = async (nodes: MemberNode[], deaths: number) => {
	const detectionTimes = makeLatencies();
	for (let index = 0; index < deaths; index++) {
		const stoppedNode = nodes.pop()!;
		const startedAt = performance.now();
		await stoppedNode.stop(); // eslint-disable-line no-await-in-loop -- failures are sequential
		// eslint-disable-next-line no-await-in-loop -- failures are sequential
		await waitFor('a majority has detected the failure', () => {
			const count = nodes.filter(node => node.membership.getState().members.get(stoppedNode.id)?.status !== 'alive').length;
			return count * 2 > nodes.length;
		}, 120_000);
		detectionTimes.record(performance.now() - startedAt);
	}

	return {p50: detectionTimes.get(50), max: detectionTimes.get(100)};
};

const countFalseSuspicions = async (nodes: readonly MemberNode[], network: SimulatedNetwork, options: Options): Promise<number> => {
	const random = makeRandom(options.seed);
	network.getDelayMs = () => random() < options.lateShare ? options.lateMs : 0;
	let maxSuspected = 0;
	const endsAt = Date.now() + options.runMs;
	while (Date.now() < endsAt) {
		await sleep(20); // eslint-disable-line no-await-in-loop -- polls
		maxSuspected = Math.max(maxSuspected, countSuspicions(nodes));
	}

	network.getDelayMs = () => 0;
	return maxSuspected;
};

const measurePoint = async (count: number, options: Options) => {
	const network: SimulatedNetwork = {membersByAddress: new Map(), getDelayMs: () => 0};
	const hasSockets = count <= options.mostWithSockets;
	const nodes: MemberNode[] = [];
	const seeds: string[] = [];
	for (let index = 0; index < count; index++) {
		// eslint-disable-next-line no-await-in-loop -- earlier members are seeds of the next
		const node = await startNode({
			index, options, network, seeds: seeds.slice(0, 3), hasSockets,
		});
		nodes.push(node);
		seeds.push([...network.membersByAddress.keys()].at(-1)!);
	}

	await waitFor('every member knows all others', () => nodes.every(node => countReachable(node) === count), 180_000);
	// The membership updates of the startup must be disseminated before the steady state is measured.
	await waitFor('the membership updates of the startup are disseminated', () => nodes.every(node => node.membership.getState().rumors.length === 0), 400_000);
	await sleep(options.settleMs);
	const bytesBefore = nodes.map(node => node.countBytes());
	const cpuBefore = process.cpuUsage();
	const startedAt = performance.now();
	await sleep(options.runMs);
	const seconds = (performance.now() - startedAt) / 1000;
	const cpu = process.cpuUsage(cpuBefore);
	const bytes = nodes.map((node, index) => (node.countBytes() - bytesBefore[index]!) / seconds);
	const falseSuspicions = countSuspicions(nodes);
	const suspicionsWhenLate = await countFalseSuspicions(nodes, network, options);
	const deaths = await measureFailureDetection(nodes, options.deaths);
	await Promise.all(nodes.map(async node => node.stop()));
	return {
		members: count,
		sockets: hasSockets,
		bytesPerSecond: Math.round(bytes.reduce((sum, value) => sum + value, 0) / count),
		mostBytesPerSecond: Math.round(Math.max(...bytes)),
		corePercent: round(((cpu.user + cpu.system) / 1e6 / seconds / count) * 100, 3),
		falseSuspicions,
		falseSuspicionsWhenLate: suspicionsWhenLate,
		deathNoticedMs: deaths,
	};
};

const run = async (options: Options, printLine: (line: string) => void): Promise<Report> => {
	const points = [];
	for (const count of options.members) {
		const point = await measurePoint(count, options); // eslint-disable-line no-await-in-loop -- group sizes are measured sequentially
		points.push(point);
		printLine(`${count} members: ${point.bytesPerSecond} bytes/s, ${point.corePercent}% of a core, failure detected in ${point.deathNoticedMs.p50} ms, false suspicions ${point.falseSuspicions}, ${point.falseSuspicionsWhenLate} with delayed messages`);
	}

	return {
		experiment: 'membership', seed: options.seed, probeEveryMs: options.probeEveryMs, points,
	};
};

export const membershipExperiment: Experiment<typeof schema> = {name: 'membership', schema, run};
