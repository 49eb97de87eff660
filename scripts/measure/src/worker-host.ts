/** Runs a daemon or stand-ins in a worker thread, so that they do not share an event loop with the load generator. */
import {createServer, type IncomingMessage, type ServerResponse} from 'node:http';
import {type AddressInfo} from 'node:net';
import process from 'node:process';
import {pipeline} from 'node:stream/promises';
import {parentPort, Worker, workerData} from 'node:worker_threads';
import {fileURLToPath} from 'node:url';
import {type Fault} from '@shallotpass/stand-ins/faults.js';
import {startPlainServiceStandIn} from '@shallotpass/stand-ins/plain-service-stand-in.js';
import {startEngineStandIn} from '@shallotpass/stand-ins/engine-stand-in.js';
import {startDaemon} from '@shallotpass/daemon/start-daemon.js';
import {type Settings} from '@shallotpass/common/settings-schema.js';
import {type EngineParameters} from '@shallotpass/stand-ins/engine-core.js';
import {Agent, type Dispatcher, request} from 'undici';
import {startPlatform} from './local-fleet.js';

type WorkerJob =
	| {readonly kind: 'engine'; readonly parameters: Partial<EngineParameters>; readonly models: readonly string[]}
	| {readonly kind: 'platform'}
	| {readonly kind: 'bare'; readonly target: string}
	| {readonly kind: 'daemon'; readonly settings: Settings; readonly configurationText: string | undefined};

export type HostedWorker = {
	/** Address of the engine, or of the daemon's callers' listener. */
	readonly address: string;
	readonly admin: string | undefined;
	readonly peers: string | undefined;
	/** URLs of the hosted platform stand-ins, by name. */
	readonly addresses: Readonly<Record<string, string>>;
	/** Sends a request to the worker and resolves to its response. */
	readonly control: (request: ControlRequest) => Promise<unknown>;
	/** Reads the time that the thread's event loop was active, and the size of the used heap. */
	readonly readUsage: () => Promise<WorkerUsage>;
	readonly close: () => Promise<void>;
};

export type WorkerUsage = {
	readonly activeMs: number;
	readonly heapMb: number;
};

type Ready = {
	readonly address: string;
	readonly admin?: string;
	readonly peers?: string;
	readonly addresses?: Readonly<Record<string, string>>;
};

export type ControlRequest =
	| {readonly kind: 'usage'}
	| {readonly kind: 'fault'; readonly target: 'log' | 'service'; readonly fault: Fault}
	| {readonly kind: 'count_appends'}
	/** Counts the executions of each request body by the hosted service. */
	| {readonly kind: 'count_executions'};

type Control = (request: ControlRequest) => unknown;

export const startWorker = async (job: WorkerJob): Promise<HostedWorker> => {
	const worker = new Worker(fileURLToPath(import.meta.url), {workerData: job});
	const ready = await new Promise<Ready>((resolve, reject) => {
		worker.once('message', resolve);
		worker.once('error', reject);
	});
	// Responses carry no id, so only one request may be pending at a time.
	let lastRequest: Promise<unknown> = Promise.resolve();
	const control = async (request: ControlRequest): Promise<unknown> => {
		const previousRequest = lastRequest;
		const answer = (async () => {
			await previousRequest;
			return new Promise<unknown>(resolve => {
				worker.once('message', resolve);
				worker.postMessage(request);
			});
		})();
		lastRequest = answer;
		return answer;
	};

	return {
		address: ready.address,
		admin: ready.admin,
		peers: ready.peers,
		addresses: ready.addresses ?? {},
		control,
		readUsage: async () => await control({kind: 'usage'}) as WorkerUsage,
		async close() {
			await worker.terminate();
		},
	};
};

/** Starts a minimal proxy, a Node.js server piped to a client. It is the lower bound for the overhead of any proxy. */
const startBareProxy = async (target: string): Promise<Ready> => {
	const dispatcher = new Agent({connections: 2048, pipelining: 1});
	const server = createServer((incoming, outgoing) => {
		void proxyRequest(incoming, outgoing, target, dispatcher);
	});
	await new Promise<void>(resolve => {
		server.listen(0, '127.0.0.1', resolve);
	});
	const {port} = server.address() as AddressInfo;
	return {address: `127.0.0.1:${port}`};
};

const proxyRequest = async (incoming: IncomingMessage, outgoing: ServerResponse, target: string, dispatcher: Dispatcher): Promise<void> => {
	try {
		const answer = await request(`http://${target}${incoming.url}`, {
			method: incoming.method as Dispatcher.HttpMethod,
			headers: {'content-type': 'application/json'},
			body: incoming,
			dispatcher,
		});
		outgoing.writeHead(answer.statusCode, {'content-type': String(answer.headers['content-type'])});
		await pipeline(answer.body, outgoing);
	} catch {
		outgoing.destroy();
	}
};

const bytesPerMb = 1_048_576;

type HostedJob = {readonly ready: Ready; readonly control?: Control};

const startPlatformHost = async (): Promise<HostedJob> => {
	const platform = await startPlatform();
	const service = await startPlainServiceStandIn();
	platform.list.put({
		id: 'reservations-1',
		address: service.address,
		availabilityZone: 'zone-1',
		role: 'backend',
		state: 'live',
		services: ['reservations', 'catalogue'],
	});
	const countExecutions = (): Map<string, number> => {
		const counts = new Map<string, number>();
		for (const {body} of service.executions) {
			counts.set(body, (counts.get(body) ?? 0) + 1);
		}

		return counts;
	};

	return {
		ready: {
			address: service.address,
			addresses: {log: platform.log.url, list: platform.list.url, cloud: platform.cloud.url},
		},
		control(request) {
			switch (request.kind) {
				case 'fault': {
					(request.target === 'log' ? platform.log : service).faults.add(request.fault);
					return true;
				}

				case 'count_appends': {
					return platform.log.log.countAppends();
				}

				case 'count_executions': {
					return countExecutions();
				}

				case 'usage': {
					return readUsage();
				}
			}
		},
	};
};

const startDaemonHost = async (job: WorkerJob & {kind: 'daemon'}): Promise<HostedJob> => {
	const daemon = await startDaemon({settings: job.settings, configurationText: job.configurationText});
	return {ready: {address: daemon.callers, admin: daemon.admin, peers: daemon.peers}};
};

const runJob = async (job: WorkerJob): Promise<HostedJob> => {
	switch (job.kind) {
		case 'engine': {
			const engine = await startEngineStandIn({parameters: job.parameters, models: job.models});
			return {ready: {address: engine.address}};
		}

		case 'bare': {
			return {ready: await startBareProxy(job.target)};
		}

		case 'platform': {
			return startPlatformHost();
		}

		case 'daemon': {
			return startDaemonHost(job);
		}
	}
};

const readUsage = (): WorkerUsage => ({
	activeMs: performance.eventLoopUtilization().active,
	heapMb: process.memoryUsage().heapUsed / bytesPerMb,
});

if (parentPort !== null && (workerData as WorkerJob | undefined)?.kind !== undefined) {
	const port = parentPort;
	const {ready, control} = await runJob(workerData as WorkerJob);
	port.on('message', (request: ControlRequest) => {
		port.postMessage(request.kind === 'usage' || control === undefined ? readUsage() : control(request));
	});
	port.postMessage(ready);
}
