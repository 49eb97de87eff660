/** What the daemon adds to a streamed answer, against the same engine called directly in the same run. */
import process from 'node:process';
import {setTimeout as sleep} from 'node:timers/promises';
import {Agent} from 'undici';
import {z} from 'zod';
import {makeRandom} from '@shallotpass/core/testing/make-random.js';
import {askStream} from './caller-client.js';
import {makeConfigurationText, makeSettings} from './local-fleet.js';
import {
	getQuantiles,
	makeLatencies,
	round,
	type Latencies,
	type Quantiles,
} from './latencies.js';
import {startWorker, type HostedWorker} from './worker-host.js';
import {type Experiment, type Report} from './experiment.js';

const schema = z.strictObject({
	experiment: z.literal('path'),
	seed: z.int(),
	streams: z.array(z.int().positive()),
	requestsPerStream: z.int().positive(),
	tokens: z.int().positive(),
	rounds: z.int().positive(),
	floodStreams: z.int().positive(),
	floodTokens: z.int().positive(),
	/** Requests of each of 100 streams before anything counts. */
	warmUpRequests: z.int().positive(),
	/** Pace of the engine in the comparison, in milliseconds; the flood goes as fast as it can. */
	tokenMs: z.number().positive(),
});

type Options = z.output<typeof schema>;

type LoadResult = {
	readonly firstToken: Latencies;
	readonly whole: Latencies;
	chunks: number;
	lost: number;
	stray: number;
	refused: number;
	milliseconds: number;
};

type LoadOptions = {
	readonly address: string;
	readonly streams: number;
	readonly requests: number;
	readonly tokens: number;
	readonly label: string;
	/** Longest pause of a stream between two questions, in milliseconds. */
	readonly pauseMs: number;
	readonly random: () => number;
};

const makeResult = (): LoadResult => ({
	firstToken: makeLatencies(), whole: makeLatencies(), chunks: 0, lost: 0, stray: 0, refused: 0, milliseconds: 0,
});

const runLoad = async (options: LoadOptions, into: LoadResult): Promise<void> => {
	const dispatcher = new Agent({connections: options.streams, pipelining: 1});
	const startedAt = performance.now();
	const runStream = async (stream: number): Promise<void> => {
		for (let index = 0; index < options.requests; index++) {
			await sleep(options.random() * options.pauseMs); // eslint-disable-line no-await-in-loop -- streams start apart
			const marker = `${options.label}-${stream}-${index}`;
			// eslint-disable-next-line no-await-in-loop -- one question after the other on each stream
			const result = await askStream({
				address: options.address, marker, tokens: options.tokens, dispatcher,
			});
			into.chunks += result.chunks;
			into.stray += result.strayTokens;
			into.refused += result.status === 200 ? 0 : 1;
			into.lost += result.isWhole ? 0 : 1;
			into.firstToken.record(result.firstTokenMs ?? result.endMs);
			into.whole.record(result.endMs);
		}
	};

	await Promise.all(Array.from({length: options.streams}, async (_value, stream) => runStream(stream)));
	into.milliseconds += performance.now() - startedAt;
	await dispatcher.close();
};

/** An engine whose own work costs nothing, so that what is measured is the daemon. */
const freeEngine = {
	stepMs: 1, sequenceMs: 0, prefillTokenMs: 0, mostRunning: 4096, prefillChunkTokens: 1_000_000,
};

const startDaemonWorker = async (engine: HostedWorker): Promise<HostedWorker> => {
	const configurationText = `${makeConfigurationText()}
[[backend]]
id = "engine-1"
address = "${engine.address}"
availability_zone = "zone-1"
services = ["assistant"]
`;
	const settings = makeSettings({
		id: 'entry-1', availabilityZone: 'zone-1', platform: undefined, limits: {maxRunningPerBackend: 4096},
	});
	return startWorker({kind: 'daemon', settings, configurationText});
};

type Way = {
	readonly name: 'direct' | 'bare' | 'daemon';
	readonly address: string;
	readonly result: LoadResult;
};

const subtractQuantiles = (one: Quantiles, other: Quantiles): Quantiles => ({
	p50: round(one.p50 - other.p50),
	p95: round(one.p95 - other.p95),
	p99: round(one.p99 - other.p99),
});

const compare = async (options: Options, streams: number, addresses: ReadonlyArray<Pick<Way, 'name' | 'address'>>) => {
	const ways: Way[] = addresses.map(way => ({...way, result: makeResult()}));
	for (let index = 0; index < options.rounds; index++) {
		for (const {name, address, result} of ways) {
			// eslint-disable-next-line no-await-in-loop -- in turn, so that drift of the machine strikes all
			await runLoad({
				streams,
				requests: options.requestsPerStream,
				tokens: options.tokens,
				pauseMs: options.tokenMs * 4,
				random: makeRandom(options.seed + index),
				address,
				label: `${name}${index}`,
			}, result);
		}
	}

	const [direct, bare, daemon] = ways.map(way => getQuantiles(way.result.firstToken));
	const results = ways.map(way => way.result);
	return {
		streams,
		requests: results.reduce((sum, result) => sum + result.whole.count(), 0),
		directFirstTokenMs: direct!,
		bareFirstTokenMs: bare!,
		daemonFirstTokenMs: daemon!,
		addedByBareMs: subtractQuantiles(bare!, direct!),
		addedByDaemonMs: subtractQuantiles(daemon!, direct!),
		lost: results.reduce((sum, result) => sum + result.lost, 0),
		stray: results.reduce((sum, result) => sum + result.stray, 0),
		refused: results.reduce((sum, result) => sum + result.refused, 0),
	};
};

const flood = async (options: Options, address: string, daemon: HostedWorker | undefined) => {
	const result = makeResult();
	const before = await daemon?.readUsage();
	await runLoad({
		address, streams: options.floodStreams, requests: 2, tokens: options.floodTokens, label: 'f', pauseMs: 0, random: Math.random,
	}, result);
	const after = await daemon?.readUsage();
	const busyMs = after === undefined || before === undefined ? undefined : after.activeMs - before.activeMs;
	return {
		chunksPerSecond: Math.round((result.chunks / result.milliseconds) * 1000),
		daemonBusyShare: busyMs === undefined ? undefined : round(busyMs / result.milliseconds),
		daemonMicrosecondsPerChunk: busyMs === undefined ? undefined : round((busyMs * 1000) / result.chunks, 2),
		lost: result.lost,
		stray: result.stray,
	};
};

const run = async (options: Options, tell: (line: string) => void): Promise<Report> => {
	const models = ['assistant-7b'];
	const engine = await startWorker({kind: 'engine', parameters: {...freeEngine, paceMs: options.tokenMs}, models});
	const daemon = await startDaemonWorker(engine);
	const bare = await startWorker({kind: 'bare', target: engine.address});
	const floodEngine = await startWorker({kind: 'engine', parameters: freeEngine, models});
	const floodDaemon = await startDaemonWorker(floodEngine);
	try {
		const ways = [
			{name: 'direct', address: engine.address},
			{name: 'bare', address: bare.address},
			{name: 'daemon', address: daemon.address},
		] as const;
		for (const {address} of [...ways, {address: floodDaemon.address}, {address: floodEngine.address}]) {
			// eslint-disable-next-line no-await-in-loop -- compiled code first, or the first requests are all that is seen
			await runLoad({
				address, streams: 100, requests: options.warmUpRequests, tokens: 5, label: 'w', pauseMs: 20, random: Math.random,
			}, makeResult());
		}

		const points = [];
		for (const streams of options.streams) {
			const point = await compare(options, streams, ways); // eslint-disable-line no-await-in-loop -- one after the other
			points.push(point);
			tell(`${streams} streams: first token p95 ${point.directFirstTokenMs.p95} ms direct, ${point.bareFirstTokenMs.p95} bare, ${point.daemonFirstTokenMs.p95} through the daemon`);
		}

		const direct = await flood(options, floodEngine.address, undefined);
		const through = await flood(options, floodDaemon.address, floodDaemon);
		tell(`flood: ${direct.chunksPerSecond} chunks/s direct, ${through.chunksPerSecond} through the daemon`);
		const usage = await floodDaemon.readUsage();
		return {
			experiment: 'path',
			seed: options.seed,
			points,
			flood: {direct, through},
			daemonHeapMb: round(usage.heapMb, 1),
			peakRssMbOfAll: round(process.resourceUsage().maxRSS / 1024, 1),
		};
	} finally {
		await Promise.all([bare.close(), daemon.close(), engine.close(), floodDaemon.close(), floodEngine.close()]);
	}
};

export const pathExperiment: Experiment<typeof schema> = {name: 'path', schema, run};
