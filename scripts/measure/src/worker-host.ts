/**
 * Runs a daemon or stand-ins in a thread of its own, so that a measurement does
 * not make them share one event loop with the load.
 */
import {createServer, type IncomingMessage, type ServerResponse} from 'node:http';
import {type AddressInfo} from 'node:net';
import process from 'node:process';
import {pipeline} from 'node:stream/promises';
import {parentPort, Worker, workerData} from 'node:worker_threads';
import {fileURLToPath} from 'node:url';
import {startEngineStandIn} from '@shallotpass/stand-ins/engine-stand-in.js';
import {startDaemon} from '@shallotpass/daemon/start-daemon.js';
import {type Settings} from '@shallotpass/common/settings-schema.js';
import {type EngineParameters} from '@shallotpass/stand-ins/engine-core.js';
import {Agent, type Dispatcher, request} from 'undici';

type WorkerJob =
	| {readonly kind: 'engine'; readonly parameters: Partial<EngineParameters>; readonly models: readonly string[]}
	| {readonly kind: 'bare'; readonly target: string}
	| {readonly kind: 'daemon'; readonly settings: Settings; readonly configurationText: string};

export type HostedWorker = {
	/** Address of the engine, or of the daemon's callers' listener. */
	readonly address: string;
	readonly admin: string | undefined;
	/** Processor seconds of the thread's event loop that were busy, and its heap. */
	readonly readUsage: () => Promise<WorkerUsage>;
	readonly close: () => Promise<void>;
};

export type WorkerUsage = {
	readonly activeMs: number;
	readonly heapMb: number;
};

type Ready = {readonly address: string; readonly admin?: string};

export const startWorker = async (job: WorkerJob): Promise<HostedWorker> => {
	const worker = new Worker(fileURLToPath(import.meta.url), {workerData: job});
	const ready = await new Promise<Ready>((resolve, reject) => {
		worker.once('message', resolve);
		worker.once('error', reject);
	});
	return {
		address: ready.address,
		admin: ready.admin,
		async readUsage() {
			return new Promise(resolve => {
				worker.once('message', resolve);
				worker.postMessage('usage');
			});
		},
		async close() {
			await worker.terminate();
		},
	};
};

/** The least that any daemon in between can do: Node's server and a client, piped together. The floor of the comparison. */
const startBare = async (target: string): Promise<Ready> => {
	const dispatcher = new Agent({connections: 2048, pipelining: 1});
	const server = createServer((incoming, outgoing) => {
		void pass(incoming, outgoing, target, dispatcher);
	});
	await new Promise<void>(resolve => {
		server.listen(0, '127.0.0.1', resolve);
	});
	const {port} = server.address() as AddressInfo;
	return {address: `127.0.0.1:${port}`};
};

const pass = async (incoming: IncomingMessage, outgoing: ServerResponse, target: string, dispatcher: Dispatcher): Promise<void> => {
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

const bytesInMb = 1_048_576;

const runJob = async (job: WorkerJob): Promise<Ready> => {
	if (job.kind === 'engine') {
		const engine = await startEngineStandIn({parameters: job.parameters, models: job.models});
		return {address: engine.address};
	}

	if (job.kind === 'bare') {
		return startBare(job.target);
	}

	const daemon = await startDaemon({settings: job.settings, configurationText: job.configurationText});
	return {address: daemon.callers, admin: daemon.admin};
};

if (parentPort !== null && (workerData as WorkerJob | undefined)?.kind !== undefined) {
	const port = parentPort;
	const ready = await runJob(workerData as WorkerJob);
	port.on('message', () => {
		const usage: WorkerUsage = {
			activeMs: performance.eventLoopUtilization().active,
			heapMb: process.memoryUsage().heapUsed / bytesInMb,
		};
		port.postMessage(usage);
	});
	port.postMessage(ready);
}
