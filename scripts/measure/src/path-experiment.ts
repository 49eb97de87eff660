/** Measures the latency that the daemon adds to a streamed answer, compared with direct requests to the same engine and a minimal proxy. */
import process from 'node:process';
import {setTimeout as sleep} from 'node:timers/promises';
import {Agent} from 'undici';
import {z} from 'zod';
import {makeRandom} from '@shallotpass/core/testing/make-random.js';
import {streamChat} from './caller-client.js';
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
	/** Requests of each of 100 streams before the measurement. */
	warmUpRequests: z.int().positive(),
	/** Time between tokens of the engine in the latency comparison; the throughput test has no pacing. */
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
	/** Maximum pause of a stream before each request. */
	readonly pauseMs: number;
	readonly random: () => number;
};

const makeResult = (): LoadResult => ({
	firstToken: makeLatencies(), whole: makeLatencies(), chunks: 0, lost: 0, stray: 0, refused: 0, milliseconds: 0,
});

const runLoad = async (options: LoadOptions, totals: LoadResult): Promise<void> => {
	const dispatcher = new Agent({connections: options.streams, pipelining: 1});
	const startedAt = performance.now();
	const runStream = async (stream: number): Promise<void> => {
		for (let index = 0; index < options.requests; index++) {
			await sleep(options.random() * options.pauseMs); // eslint-disable-line no-await-in-loop -- staggers the requests
			const marker = `${options.label}-${stream}-${index}`;
			// eslint-disable-next-line no-await-in-loop -- the requests of a stream are sequential
			const result = await streamChat({
				address: options.address, marker, tokens: options.tokens, dispatcher,
			});
			totals.chunks += result.chunks;
			totals.stray += result.unexpectedTokens;
			totals.refused += result.status === 200 ? 0 : 1;
			totals.lost += result.isComplete ? 0 : 1;
			totals.firstToken.record(result.firstTokenMs ?? result.endMs);
			totals.whole.record(result.endMs);
		}
	};

	await Promise.all(Array.from({length: options.streams}, async (_value, stream) => runStream(stream)));
	totals.milliseconds += performance.now() - startedAt;
	await dispatcher.close();
};

/** An engine with almost no processing time, so that the measurement shows the daemon's overhead. */
const zeroCostEngine = {
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

type MeasuredPath = {
	/** `bare` is the minimal proxy of worker-host.ts. */
	readonly name: 'direct' | 'bare' | 'daemon';
	readonly address: string;
	readonly result: LoadResult;
};

const subtractQuantiles = (left: Quantiles, right: Quantiles): Quantiles => ({
	p50: round(left.p50 - right.p50),
	p95: round(left.p95 - right.p95),
	p99: round(left.p99 - right.p99),
});

const comparePaths = async (options: Options, streams: number, addresses: ReadonlyArray<Pick<MeasuredPath, 'name' | 'address'>>) => {
	const paths: MeasuredPath[] = addresses.map(path => ({...path, result: makeResult()}));
	for (let index = 0; index < options.rounds; index++) {
		for (const {name, address, result} of paths) {
			// eslint-disable-next-line no-await-in-loop -- paths alternate, so that drift of the machine affects all of them
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

	const [direct, bare, daemon] = paths.map(path => getQuantiles(path.result.firstToken));
	const results = paths.map(path => path.result);
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

const measureThroughput = async (options: Options, address: string, daemon: HostedWorker | undefined) => {
	const result = makeResult();
	const usageBefore = await daemon?.readUsage();
	await runLoad({
		address, streams: options.floodStreams, requests: 2, tokens: options.floodTokens, label: 'f', pauseMs: 0, random: Math.random,
	}, result);
	const usageAfter = await daemon?.readUsage();
	const busyMs = usageAfter === undefined || usageBefore === undefined ? undefined : usageAfter.activeMs - usageBefore.activeMs;
	return {
		chunksPerSecond: Math.round((result.chunks / result.milliseconds) * 1000),
		daemonBusyShare: busyMs === undefined ? undefined : round(busyMs / result.milliseconds),
		daemonMicrosecondsPerChunk: busyMs === undefined ? undefined : round((busyMs * 1000) / result.chunks, 2),
		lost: result.lost,
		stray: result.stray,
	};
};

const run = async (options: Options, printLine: (line: string) => void): Promise<Report> => {
	const models = ['assistant-7b'];
	const engine = await startWorker({kind: 'engine', parameters: {...zeroCostEngine, paceMs: options.tokenMs}, models});
	const daemon = await startDaemonWorker(engine);
	const bare = await startWorker({kind: 'bare', target: engine.address});
	const floodEngine = await startWorker({kind: 'engine', parameters: zeroCostEngine, models});
	const floodDaemon = await startDaemonWorker(floodEngine);
	try {
		const paths = [
			{name: 'direct', address: engine.address},
			{name: 'bare', address: bare.address},
			{name: 'daemon', address: daemon.address},
		] as const;
		for (const {address} of [...paths, {address: floodDaemon.address}, {address: floodEngine.address}]) {
			// eslint-disable-next-line no-await-in-loop -- warms up the JIT compiler, whose cost would dominate the first requests
			await runLoad({
				address, streams: 100, requests: options.warmUpRequests, tokens: 5, label: 'w', pauseMs: 20, random: Math.random,
			}, makeResult());
		}

		const points = [];
		for (const streams of options.streams) {
			const point = await comparePaths(options, streams, paths); // eslint-disable-line no-await-in-loop -- points are measured sequentially
			points.push(point);
			printLine(`${streams} streams: first token p95 ${point.directFirstTokenMs.p95} ms direct, ${point.bareFirstTokenMs.p95} bare, ${point.daemonFirstTokenMs.p95} through the daemon`);
		}

		const direct = await measureThroughput(options, floodEngine.address, undefined);
		const through = await measureThroughput(options, floodDaemon.address, floodDaemon);
		printLine(`throughput: ${direct.chunksPerSecond} chunks/s direct, ${through.chunksPerSecond} through the daemon`);
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
