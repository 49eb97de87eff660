/** Slopes of a daemon with sockets: what a request, a chunk, an open stream, a report and a poll cost. */
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
import {askStream, reserve} from '../caller-client.js';
import {
	makeConfigurationText, makeSettings, startMember, startPlatform, waitFor,
} from '../local-fleet.js';
import {startWorker, type HostedWorker} from '../worker-host.js';
import {measureSlope, type Slope} from './slope.js';

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

const askMany = async (address: string, streams: number, requests: number, tokens: number): Promise<void> => {
	const dispatcher = new Agent({connections: streams, pipelining: 1});
	await Promise.all(Array.from({length: streams}, async (_value, stream) => {
		for (let index = 0; index < requests; index++) {
			// eslint-disable-next-line no-await-in-loop -- one question after the other
			await askStream({
				address, marker: `m${stream}-${index}`, tokens, dispatcher,
			});
		}
	}));
	await dispatcher.close();
};

/** Busy milliseconds of the daemon's event loop for one request with so many tokens. */
const measureRequest = async (daemon: HostedWorker, tokens: number): Promise<number> => {
	const streams = 40;
	const requests = Math.max(3, Math.ceil(60 / tokens));
	const before = await daemon.readUsage();
	await askMany(daemon.address, streams, requests, tokens);
	const after = await daemon.readUsage();
	return (after.activeMs - before.activeMs) / (streams * requests);
};

/** Heap in MB while so many streams are open. */
const measureOpenStreams = async (daemon: HostedWorker, streams: number): Promise<number> => {
	const stopping = new AbortController();
	setMaxListeners(0, stopping.signal);
	const asking = Array.from({length: streams}, async (_value, stream) => {
		try {
			await askStream({
				address: daemon.address, marker: `o${stream}`, tokens: 100_000, signal: stopping.signal,
			});
		} catch {
			// They are broken off below.
		}
	});
	await sleep(1500);
	const samples: number[] = [];
	for (let index = 0; index < 10; index++) {
		const usage = await daemon.readUsage(); // eslint-disable-line no-await-in-loop -- samples in time
		samples.push(usage.heapMb);
		await sleep(100); // eslint-disable-line no-await-in-loop -- samples in time
	}

	stopping.abort();
	await Promise.all(asking);
	await sleep(300);
	// The lowest sample is nearest to what is held rather than waiting for collection.
	return Math.min(...samples);
};

const measureDaemonSlopes = async (): Promise<Slope[]> => {
	const engine = await startEngine();
	const daemon = await startDaemon(engine);
	await askMany(daemon.address, 50, 60, 5);
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

/** Bytes of so many load reports, HTTP and all, without the headers of TCP and IP. */
const measureReportBytes = async (reports: number): Promise<number> => {
	const engine = await startEngineStandIn({models});
	const relay = await startRelay(engine.address);
	const dispatcher = new Agent({pipelining: 1});
	const signal = AbortSignal.timeout(60_000);
	for (let index = 0; index < reports; index++) {
		await readLoad(relay.address, dispatcher, signal); // eslint-disable-line no-await-in-loop -- one after the other
	}

	const bytes = relay.countBytes();
	await dispatcher.close();
	await Promise.all([relay.close(), engine.close()]);
	return bytes;
};

const measurePollBytes = async (polls: number): Promise<number> => {
	const server = await startLogStandIn();
	const relay = await startRelay(server.address);
	const log = makeHttpLog({baseUrl: relay.url, makeDispatcher: () => new Agent({pipelining: 1}), now: Date.now});
	for (let index = 0; index < polls; index++) {
		// eslint-disable-next-line no-await-in-loop -- one after the other
		await log.read({
			stream: 'configuration', from: 0 as LogOffset, limit: 500, waitUntil: (Date.now() + 5) as Deadline,
		});
	}

	const bytes = relay.countBytes();
	await log.close();
	await Promise.all([relay.close(), server.close()]);
	return bytes;
};

/** Bytes of control that a daemon of a small fleet sends and receives in a second, with nothing going on, by members. */
const measureIdleControl = async (members: number): Promise<number> => {
	const platform = await startPlatform();
	const relay = await startRelay(platform.log.address);
	const daemons: Daemon[] = [];
	for (let index = 0; index < members; index++) {
		// eslint-disable-next-line no-await-in-loop -- each seeds the next
		const daemon = await startMember({
			id: `entry-${index}`, availabilityZone: 'zone-1', platform, logUrl: relay.url, seeds: daemons.slice(0, 2).map(other => other.peers), peers: {probeEveryMs: 1000, suspectForMs: 4000},
		});
		daemons.push(daemon);
	}

	await waitFor('all know all', () => daemons.every(daemon => daemon.listMembers().length === members), 60_000);
	await sleep(4000);
	const count = (): number => relay.countBytes() + daemons.map(daemon => daemon.countPeerBytes()).reduce((left, right) => left + right);
	const before = count();
	const seconds = 10;
	await sleep(seconds * 1000);
	const bytes = count() - before;
	await Promise.all(daemons.map(async daemon => daemon.stop()));
	await relay.close();
	await platform.close();
	return bytes / seconds / members;
};

const measureClaimAppends = async (callers: number): Promise<number> => {
	const platform = await startWorker({kind: 'platform'});
	const settings = makeSettings({
		id: 'entry-1', availabilityZone: 'zone-1', platform: undefined, platformUrls: {log: platform.addresses.log!, instances: platform.addresses.list!},
	});
	const daemon = await startWorker({kind: 'daemon', settings, configurationText: makeConfigurationText()});
	await waitFor('it serves', async () => {
		const answer = await reserve({address: daemon.address, key: `ready-${Math.random()}`, body: '{}'});
		return answer.status === 200;
	});
	const before = await platform.control({kind: 'count_appends'}) as number;
	const calls = 400;
	let next = 0;
	await Promise.all(Array.from({length: callers}, async () => {
		while (next < calls) {
			next++;
			await reserve({address: daemon.address, key: `k${next}`, body: '{}'}); // eslint-disable-line no-await-in-loop -- a caller waits for its answer
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
		name: 'idle control of one daemon, sockets', with: 'members of a zone', unit: 'bytes/s', sizes: [2, 4, 8, 16], repeats: 1, measure: measureIdleControl,
	}),
	await measureSlope({
		name: 'appends of one claimed call', with: 'callers at once', unit: 'appends', sizes: [1, 10, 40, 100], repeats: 1, measure: measureClaimAppends,
	}),
];
