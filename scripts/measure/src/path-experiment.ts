/** What the daemon adds to a streamed answer, against the same engine called directly in the same run. */
import process from 'node:process';
import {Agent} from 'undici';
import {z} from 'zod';
import {askStream} from './caller-client.js';
import {makeConfigurationText, makeSettings} from './local-fleet.js';
import {
	getQuantiles, makeLatencies, round, type Latencies,
} from './latencies.js';
import {startWorker, type HostedWorker} from './worker-host.js';
import {type Experiment, type Report} from './run-experiment.js';

const schema = z.strictObject({
	experiment: z.literal('path'),
	seed: z.int(),
	streams: z.array(z.int().positive()),
	requestsPerStream: z.int().positive(),
	tokens: z.int().positive(),
	rounds: z.int().positive(),
	floodStreams: z.int().positive(),
	floodTokens: z.int().positive(),
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
};

const makeResult = (): LoadResult => ({
	firstToken: makeLatencies(), whole: makeLatencies(), chunks: 0, lost: 0, stray: 0, refused: 0, milliseconds: 0,
});

const runLoad = async (options: LoadOptions, into: LoadResult): Promise<void> => {
	const dispatcher = new Agent({connections: options.streams, pipelining: 1});
	const startedAt = performance.now();
	const runStream = async (stream: number): Promise<void> => {
		for (let index = 0; index < options.requests; index++) {
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

const compare = async (options: Options, streams: number, engine: HostedWorker, daemon: HostedWorker) => {
	const direct = makeResult();
	const through = makeResult();
	for (let index = 0; index < options.rounds; index++) {
		const load = {streams, requests: options.requestsPerStream, tokens: options.tokens};
		/* eslint-disable no-await-in-loop -- in turn, so that drift of the machine strikes both */
		await runLoad({...load, address: engine.address, label: `d${index}`}, direct);
		await runLoad({...load, address: daemon.address, label: `t${index}`}, through);
		/* eslint-enable no-await-in-loop */
	}

	const directFirst = getQuantiles(direct.firstToken);
	const throughFirst = getQuantiles(through.firstToken);
	const perChunk = ((through.milliseconds - direct.milliseconds) * streams) / Math.max(1, through.chunks);
	return {
		streams,
		requests: through.whole.count(),
		directFirstTokenMs: directFirst,
		daemonFirstTokenMs: throughFirst,
		addedFirstTokenMs: {
			p50: round(throughFirst.p50 - directFirst.p50),
			p95: round(throughFirst.p95 - directFirst.p95),
			p99: round(throughFirst.p99 - directFirst.p99),
		},
		addedMsPerChunkOfOneStream: round(perChunk, 4),
		lost: through.lost + direct.lost,
		stray: through.stray + direct.stray,
		refused: through.refused + direct.refused,
	};
};

const flood = async (options: Options, address: string, daemon: HostedWorker | undefined) => {
	const result = makeResult();
	const before = await daemon?.readUsage();
	await runLoad({
		address, streams: options.floodStreams, requests: 2, tokens: options.floodTokens, label: 'f',
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
	const engine = await startWorker({kind: 'engine', parameters: {...freeEngine, stepMs: options.tokenMs}, models});
	const daemon = await startDaemonWorker(engine);
	const floodEngine = await startWorker({kind: 'engine', parameters: freeEngine, models});
	const floodDaemon = await startDaemonWorker(floodEngine);
	try {
		await runLoad({
			address: daemon.address, streams: 20, requests: 20, tokens: 20, label: 'w',
		}, makeResult());
		await runLoad({
			address: engine.address, streams: 20, requests: 20, tokens: 20, label: 'w',
		}, makeResult());
		const points = [];
		for (const streams of options.streams) {
			const point = await compare(options, streams, engine, daemon); // eslint-disable-line no-await-in-loop -- one after the other
			points.push(point);
			tell(`${streams} streams: first token p95 ${point.directFirstTokenMs.p95} ms direct, ${point.daemonFirstTokenMs.p95} ms through the daemon`);
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
		await Promise.all([daemon.close(), engine.close(), floodDaemon.close(), floodEngine.close()]);
	}
};

export const pathExperiment: Experiment<typeof schema> = {name: 'path', schema, run};
