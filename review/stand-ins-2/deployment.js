/** A small deployment on loopback addresses: the stand-ins of the platform, and daemons as the deploy file starts them. */
/* eslint-disable camelcase -- names of the platform's wire format */
import {fork, spawn} from 'node:child_process';
import {once} from 'node:events';
import {
	appendFileSync, createWriteStream, mkdirSync, mkdtempSync, rmSync, writeFileSync,
} from 'node:fs';
import http from 'node:http';
import os from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {setTimeout as sleep} from 'node:timers/promises';
import {startStore} from './store.js';

export const root = path.resolve(import.meta.dirname, '../..');

/** Addresses of one run, so that two runs on a machine do not meet. */
const network = `127.${20 + (process.pid % 50)}.${Math.floor(process.pid / 50) % 250}`;
let hosts = 1;

export const allocateHost = () => {
	hosts++;
	return `${network}.${hosts}`;
};

export const heartbeatMs = 1200;

/** Starts the stand-in of the API for duties, which accepts all calls and keeps them. */
const startCloud = async address => {
	const calls = [];
	const server = http.createServer(async (request, response) => {
		let text = '';
		for await (const chunk of request) {
			text += chunk;
		}

		calls.push({
			at: performance.now(), from: request.socket.remoteAddress, path: request.url, holder: request.headers['x-duty-holder'], fence: Number(request.headers['x-fencing-token']), body: text,
		});
		response.writeHead(200, {'Content-Type': 'application/json'}).end('{}');
	});
	const [host, port] = address.split(':');
	server.listen({host, port: Number(port)});
	await once(server, 'listening');
	return {
		address, calls, close() {
			server.close();
			server.closeAllConnections();
		},
	};
};

/** Settings as `platform/settings.toml.template` renders them for a small deployment. */
const renderSettings = ({name, host, zone, zones, isFirstStart, seeds, store, cloud}) => `[instance]
id = "${name}"
availability_zone = "${zone}"
link_mbps = 1000.0
max_open_files = 4100
memory_mb = 350
${isFirstStart ? 'first_start = true' : ''}
zones = [${zones.map(text => `"${text}"`).join(', ')}]

[listen]
callers = "${host}:18360"
ready = "${host}:18365"
peers = "${host}:17500"
metrics = "${host}:19464"

[peers]
seeds = [${seeds.map(text => `"${text}"`).join(', ')}]

[store]
address = "${store}"

[cloud]
address = "${cloud}"

[bounds]
drain_ms = 2000
grace_ms = 8000
configuration_ms = 2000
stable_ms = 3000
lease_ms = 3000
usage_window_ms = 5000
usage_late_ms = 10000
quota_window_ms = 8000
quota_overshoot = 0.1
quota_slack = 140000
repeat_ratio = 0.2
repeat_slack = 52
repeat_window_ms = 10000
`;

export const startDeployment = async ({recordPath, zones}) => {
	const folder = mkdtempSync(path.join(os.tmpdir(), 'review-'));
	writeFileSync(recordPath, '');
	const startedAt = performance.now();
	const note = text => {
		appendFileSync(recordPath, `${((performance.now() - startedAt) / 1000).toFixed(3)} ${text}\n`);
	};

	const store = await startStore(`${allocateHost()}:18361`);
	const cloud = await startCloud(`${allocateHost()}:18361`);
	const daemons = new Map();
	const engines = new Map();
	let isClosed = false;

	const startDaemon = ({name, zone, host = allocateHost(), isFirstStart = false}) => {
		const settingsPath = path.join(folder, `${name}.toml`);
		writeFileSync(settingsPath, renderSettings({
			name, host, zone, zones, isFirstStart, seeds: [], store: store.address, cloud: cloud.address,
		}));
		mkdirSync(path.join(folder, 'logs'), {recursive: true});
		const log = createWriteStream(path.join(folder, 'logs', `${name}.log`), {flags: 'a'});
		const child = keepTrack(spawn(process.execPath, ['--max-old-space-size=160', '--max-semi-space-size=2', 'target/shallotpassd.mjs'], {
			cwd: root, env: {PATH: process.env.PATH, HOME: process.env.HOME, SHALLOTPASS_CONFIG: settingsPath}, stdio: ['ignore', 'pipe', 'pipe'],
		}));
		child.stdout.pipe(log, {end: false});
		child.stderr.pipe(log, {end: false});
		const daemon = {
			name, zone, host, child, callers: `${host}:18360`, ready: `${host}:18365`, hasEnded: () => child.exitCode !== null || child.signalCode !== null,
		};
		daemons.set(name, daemon);
		note(`start ${name} at ${host}`);
		return daemon;
	};

	const endDaemon = async ({name, child, hasEnded}, signal = 'SIGKILL') => {
		note(`${signal} ${name}`);
		if (!hasEnded()) {
			const exited = once(child, 'exit');
			child.kill(signal);
			await exited;
		}

		daemons.delete(name);
	};

	const isReady = async ({ready}) => {
		try {
			const answer = await fetch(`http://${ready}/ready`, {signal: AbortSignal.timeout(1000)});
			return answer.status === 200;
		} catch {
			return false;
		}
	};

	const waitUntilReady = async (waiting, timeoutMs = 20_000) => {
		const end = performance.now() + timeoutMs;
		for (const daemon of waiting) {
			while (!await isReady(daemon)) { // eslint-disable-line no-await-in-loop -- a poll
				if (performance.now() > end) {
					throw new Error(`${daemon.name} is not ready`);
				}

				await sleep(50); // eslint-disable-line no-await-in-loop -- a poll
			}
		}
	};

	/** Starts an engine, which writes its entry and comes back some seconds after it has crashed. */
	const startEngine = ({id, zone, service, eventMs, events, poisonAfterMs, backAfterMs, onArrival, onCrash}) => {
		const host = allocateHost();
		const port = 18_400;
		let sequence = 0;
		const start = () => {
			const born = Date.now();
			const child = keepTrack(fork(path.join(import.meta.dirname, 'engine-process.js'), [JSON.stringify({
				id, host, port, born, eventMs, events, poisonAfterMs,
			})]));
			const announce = () => {
				sequence++;
				store.put('keyed.servers', id, {
					service, address: `${host}:${port}`, zone, version: 'v1', slots: 64, state: 'ready', cold_remaining_ms: 0, sequence, born,
				});
			};

			sequence = 0;
			let timer;
			child.on('message', message => {
				if (message.kind === 'listening') {
					announce();
					timer = setInterval(announce, heartbeatMs);
				} else {
					onArrival?.({...message, engine: id});
				}
			});
			child.once('exit', () => {
				clearInterval(timer);
				if (!isClosed) {
					onCrash?.(id);
					setTimeout(() => {
						if (!isClosed) {
							start();
						}
					}, backAfterMs);
				}
			});
			engines.set(id, child);
		};

		start();
	};

	return {
		note,
		folder,
		store,
		cloud,
		daemons,
		startDaemon,
		endDaemon,
		isReady,
		waitUntilReady,
		startEngine,
		async close() {
			isClosed = true;
			for (const child of [...engines.values(), ...[...daemons.values()].map(daemon => daemon.child)]) {
				child.kill('SIGKILL');
			}

			store.close();
			cloud.close();
			await sleep(200);
			if (process.env.KEEP_LOGS === undefined) {
				rmSync(folder, {recursive: true, force: true});
			}
		},
	};
};

/** Sends one request on a connection of its own. Never rejects. */
export const sendRequest = async ({address, method = 'POST', host, target, id, key, deadlineMs, headers = {}, body}) => new Promise(resolve => {
	const [ip, port] = address.split(':');
	let status = 0;
	let text = '';
	let isComplete = false;
	let receivedHeaders = {};
	const finish = reason => {
		clearTimeout(timer);
		resolve({
			status, text, isComplete, headers: receivedHeaders, reason,
		});
	};

	const request = http.request({
		host: ip, port: Number(port), method, path: target, agent: false, headers: {
			Host: host, 'X-Request-Id': id, 'X-Deadline-Ms': String(deadlineMs), Authorization: `Bearer ${key}`, ...headers,
		},
	}, response => {
		status = response.statusCode;
		receivedHeaders = response.headers;
		response.setEncoding('utf8');
		response.on('data', chunk => {
			text += chunk;
		});
		response.on('error', () => {/* 'close' follows */});
		response.once('close', () => {
			isComplete = response.complete;
			finish(isComplete ? 'whole' : 'cut');
		});
	});
	const timer = setTimeout(() => {
		request.destroy();
		finish('deadline');
	}, deadlineMs);
	request.once('error', error => {
		if (status === 0) {
			finish(error.code);
		}
	});
	request.end(body);
});

export const host = 'letters.example';
export const key = 'key-of-the-shop';

/** Returns a configuration like that of a small deployment: one route of streams that may run once, one service, one tenant. */
export const makeConfiguration = ({perSecond, burst}) => ({
	version: 1,
	routes: [{
		name: 'draft', hostname: host, path_prefix: '/draft/', route_type: 'streaming', timeout_ms: 15_000, target_latency_ms: 1200, gap_aim_ms: 400,
		priority: 1, max_attempts: 1, service: 'llm', session_affinity: true,
	}],
	services: [{
		name: 'llm', health_path: '/health', max_connections: 360, engine: {slots: 64, kv_capacity_tokens: 600_000, moves: false},
	}],
	tenants: [{
		name: 'shop', api_keys: [key], unit: 'tokens', plain_tokens: 200, rate_per_s: perSecond, burst,
	}],
	limits: {
		max_header_bytes: 16_384, max_body_bytes: 4_194_304, header_timeout_ms: 3000, idle_timeout_ms: 15_000,
	},
});

/** Processes that were started, so that none outlives the case. */
const children = new Set();
const maxRunMs = 118_000;

const endAll = () => {
	for (const child of children) {
		child.kill('SIGKILL');
	}
};

const keepTrack = child => {
	children.add(child);
	child.once('exit', () => {
		children.delete(child);
	});
	return child;
};

/** A case that cannot go on tells nothing of the rule: it ends what it started, and exits with 2. */
const giveUp = error => {
	console.error(error);
	endAll();
	process.exit(2); // eslint-disable-line unicorn/no-process-exit -- the state of the case is not known
};

/** Runs the case, and ends the process with what it returns, or with 2 if it fails. */
export const runCase = async run => {
	process.on('uncaughtException', giveUp);
	process.on('unhandledRejection', giveUp);
	for (const signal of ['SIGTERM', 'SIGINT', 'SIGHUP']) {
		process.on(signal, giveUp);
	}

	setTimeout(giveUp, maxRunMs, new Error('The case takes too long')).unref();
	try {
		process.exitCode = await run();
	} catch (error) {
		console.error(error);
		process.exitCode = 2;
	}

	const timer = setTimeout(() => {
		// eslint-disable-next-line unicorn/no-process-exit -- a connection may still be open
		process.exit();
	}, 1000);
	timer.unref();
};
