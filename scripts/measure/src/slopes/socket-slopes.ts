/** Measures how the costs of daemons that run with real sockets grow: requests, tokens, open streams, load reports, log polls, idle traffic and claims. */
import {setMaxListeners} from 'node:events';
import {setTimeout as sleep} from 'node:timers/promises';
import {Agent} from 'undici';
import {type Daemon} from '@shallotpass/daemon/start-daemon.js';
import {readLoad} from '@shallotpass/backends/engine-load.js';
import {startEngineStandIn} from '@shallotpass/stand-ins/engine-stand-in.js';
import {startLogStandIn} from '@shallotpass/stand-ins/log-stand-in.js';
import {startRelay} from '@shallotpass/stand-ins/relay.js';
import {makeHttpLog} from '@shallotpass/provider/http-log.js';
import {type Deadline, type LogOffset} from '@shallotpass/common/types.js';
import {streamChat, sendReservation} from '../caller-client.js';
import {
	makeConfigurationText, makeSettings, startFleetDaemon, startPlatform, waitFor,
} from '../local-fleet.js';
import {startWorker, type HostedWorker} from '../worker-host.js';
import {measureSlope, type Slope} from './slope.js';

/** Minimum time between two tokens of a stream. */
const paceMs = 28;
const models = ['assistant-7b'];

const startEngine = async (): Promise<HostedWorker> => startWorker({
	kind: 'engine',
	models,
	parameters: {
		stepMs: 1, sequenceMs: 0, prefillTokenMs: 0, mostRunning: 4096, prefillChunkTokens: 1_000_000, paceMs,
	},
});

const startDaemon = async (engine: HostedWorker): Promise<HostedWorker> => startWorker({
	kind: 'daemon',
	settings: makeSettings({
		id: 'entry-1', availabilityZone: 'zone-1', platform: undefined, limits: {maxRunningPerBackend: 4096},
	}),
	configurationText: `${makeConfigurationText()}\n[[backend]]\nid = "engine-1"\naddress = "${engine.address}"\navailability_zone = "zone-1"\nservices = ["assistant"]\n`,
});

/** Sends requests on concurrent streams, one after the other in each stream. */
const sendRequests = async (address: string, streams: number, requests: number, tokens: number): Promise<void> => {
	const dispatcher = new Agent({connections: streams, pipelining: 1});
	await Promise.all(Array.from({length: streams}, async (_value, stream) => {
		for (let index = 0; index < requests; index++) {
			// eslint-disable-next-line no-await-in-loop -- a stream sends one request at a time
			await streamChat({
				address, marker: `m${stream}-${index}`, tokens, dispatcher,
			});
		}
	}));
	await dispatcher.close();
};

/** Measures the time that the daemon's event loop is busy with a request of this many tokens, in milliseconds. */
const measureRequest = async (daemon: HostedWorker, tokens: number): Promise<number> => {
	const streams = 40;
	const requests = Math.max(3, Math.ceil(60 / tokens));
	const before = await daemon.readUsage();
	await sendRequests(daemon.address, streams, requests, tokens);
	const after = await daemon.readUsage();
	return (after.activeMs - before.activeMs) / (streams * requests);
};

/** Measures the daemon's heap while this many streams are open, in MB. */
const measureOpenStreams = async (daemon: HostedWorker, streams: number): Promise<number> => {
	const abortController = new AbortController();
	setMaxListeners(0, abortController.signal);
	const openRequests = Array.from({length: streams}, async (_value, stream) => {
		try {
			await streamChat({
				address: daemon.address, marker: `o${stream}`, tokens: 100_000, signal: abortController.signal,
			});
		} catch {
			// The requests are aborted below.
		}
	});
	await sleep(1500);
	const samples: number[] = [];
	for (let index = 0; index < 10; index++) {
		const usage = await daemon.readUsage(); // eslint-disable-line no-await-in-loop -- samples are taken at intervals
		samples.push(usage.heapMb);
		await sleep(100); // eslint-disable-line no-await-in-loop -- samples are taken at intervals
	}

	abortController.abort();
	await Promise.all(openRequests);
	await sleep(300);
	// The lowest sample contains the least garbage that has not been collected yet.
	return Math.min(...samples);
};

const measureDaemonSlopes = async (): Promise<Slope[]> => {
	const engine = await startEngine();
	const daemon = await startDaemon(engine);
	// Warms up the daemon, so that the first measurements aren't slower than the others.
	await sendRequests(daemon.address, 50, 60, 5);
	const slopes = [
		await measureSlope({
			name: 'daemon\'s busy time of one streamed request', with: 'tokens', unit: 'ms', sizes: [1, 20, 60, 120], repeats: 3, measure: async size => measureRequest(daemon, size),
		}),
		await measureSlope({
			name: 'daemon\'s heap', with: 'open streams', unit: 'MB', sizes: [50, 200, 400, 800], repeats: 2, measure: async size => measureOpenStreams(daemon, size),
		}),
	];
	await Promise.all([daemon.close(), engine.close()]);
	return slopes;
};

/** Measures the bytes of this many load reports, including HTTP but without TCP and IP headers. */
const measureReportBytes = async (reports: number): Promise<number> => {
	const engine = await startEngineStandIn({models});
	const relay = await startRelay(engine.address);
	const dispatcher = new Agent({pipelining: 1});
	const signal = AbortSignal.timeout(60_000);
	for (let index = 0; index < reports; index++) {
		await readLoad(relay.address, dispatcher, signal); // eslint-disable-line no-await-in-loop -- reports are read sequentially
	}

	const bytes = relay.countBytes();
	await dispatcher.close();
	await Promise.all([relay.close(), engine.close()]);
	return bytes;
};

/** Measures the bytes of this many polls of an idle log, including HTTP but without TCP and IP headers. */
const measurePollBytes = async (polls: number): Promise<number> => {
	const server = await startLogStandIn();
	const relay = await startRelay(server.address);
	const log = makeHttpLog({baseUrl: relay.url, makeDispatcher: () => new Agent({pipelining: 1}), now: Date.now});
	for (let index = 0; index < polls; index++) {
		// eslint-disable-next-line no-await-in-loop -- polls are sequential
		await log.read({
			stream: 'configuration', from: 0 as LogOffset, limit: 500, waitUntil: (Date.now() + 5) as Deadline,
		});
	}

	const bytes = relay.countBytes();
	await log.close();
	await Promise.all([relay.close(), server.close()]);
	return bytes;
};

/** Measures the control traffic that a daemon sends and receives in an idle fleet of this many members, in bytes per second. */
const measureIdleTraffic = async (members: number): Promise<number> => {
	const platform = await startPlatform();
	const relay = await startRelay(platform.log.address);
	const daemons: Daemon[] = [];
	for (let index = 0; index < members; index++) {
		// eslint-disable-next-line no-await-in-loop -- later members use earlier ones as seeds
		const daemon = await startFleetDaemon({
			id: `entry-${index}`, availabilityZone: 'zone-1', platform, logUrl: relay.url, seeds: daemons.slice(0, 2).map(other => other.peers), peers: {probeEveryMs: 1000, suspectForMs: 4000},
		});
		daemons.push(daemon);
	}

	await waitFor('every daemon lists all members', () => daemons.every(daemon => daemon.listMembers().length === members), 60_000);
	await sleep(4000);
	const countBytes = (): number => relay.countBytes() + daemons.map(daemon => daemon.countPeerBytes()).reduce((left, right) => left + right);
	const before = countBytes();
	const seconds = 10;
	await sleep(seconds * 1000);
	const bytes = countBytes() - before;
	await Promise.all(daemons.map(async daemon => daemon.stop()));
	await relay.close();
	await platform.close();
	return bytes / seconds / members;
};

/** Measures the log appends per call that needs a claim, by the number of concurrent callers. */
const measureClaimAppends = async (callers: number): Promise<number> => {
	const platform = await startWorker({kind: 'platform'});
	const settings = makeSettings({
		id: 'entry-1', availabilityZone: 'zone-1', platform: undefined, platformUrls: {log: platform.addresses.log!, instances: platform.addresses.list!},
	});
	const daemon = await startWorker({kind: 'daemon', settings, configurationText: makeConfigurationText()});
	await waitFor('the daemon serves requests', async () => {
		const response = await sendReservation({address: daemon.address, key: `ready-${Math.random()}`, body: '{}'});
		return response.status === 200;
	});
	const before = await platform.control({kind: 'count_appends'}) as number;
	const calls = 400;
	let next = 0;
	await Promise.all(Array.from({length: callers}, async () => {
		while (next < calls) {
			next++;
			await sendReservation({address: daemon.address, key: `k${next}`, body: '{}'}); // eslint-disable-line no-await-in-loop -- a caller waits for each response
		}
	}));
	const appends = await platform.control({kind: 'count_appends'}) as number - before;
	await Promise.all([daemon.close(), platform.close()]);
	return appends / calls;
};

export const measureSocketSlopes = async (): Promise<Slope[]> => [
	...await measureDaemonSlopes(),
	await measureSlope({
		name: 'load reports', with: 'reports', unit: 'bytes', sizes: [10, 50, 200], repeats: 2, measure: measureReportBytes,
	}),
	await measureSlope({
		name: 'polls of an idle log', with: 'polls', unit: 'bytes', sizes: [10, 50, 200], repeats: 2, measure: measurePollBytes,
	}),
	await measureSlope({
		name: 'idle control of one daemon, sockets', with: 'members of a zone', unit: 'bytes/s', sizes: [2, 4, 8, 16], repeats: 1, measure: measureIdleTraffic,
	}),
	await measureSlope({
		name: 'appends of one claimed call', with: 'callers at once', unit: 'appends', sizes: [1, 10, 40, 100], repeats: 1, measure: measureClaimAppends,
	}),
];
