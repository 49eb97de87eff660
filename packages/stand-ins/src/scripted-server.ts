/** Stand-in for a backend server that answers with given bytes, and may break off at any of them. */
import {Buffer} from 'node:buffer';
import net from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';
import {listenAt} from '@shallotpass/common/listen.js';

export type ScriptedRequest = {
	readonly method: string;
	readonly path: string;
	/** Names in lower case. */
	readonly headers: Readonly<Record<string, string>>;
	readonly body: string;
	/** Number of its connection, from 1. */
	readonly connection: number;
	/** Sends bytes on its connection at any time, also after its answer. Does nothing once the connection is closed. */
	readonly write: (bytes: string) => void;
};

export type ScriptStep =
	| {readonly kind: 'bytes'; readonly text: string}
	/** `until`: a moment on the clock of `performance.now()`. */
	| {readonly kind: 'pause'; readonly until: number}
	/** Ends the script. */
	| {readonly kind: 'close'}
	| {readonly kind: 'reset'};

/** Returns the bytes of an answer, as Latin-1 text, and how its connection ends. Without an end the connection is kept. */
export type AnswerScript = (request: ScriptedRequest) => readonly ScriptStep[] | Promise<readonly ScriptStep[]>;

export type ScriptedServer = {
	readonly address: string;
	/** Connections on which a request came. */
	readonly countConnections: () => number;
	readonly close: () => Promise<void>;
};

const parseRequest = (head: string): Pick<ScriptedRequest, 'method' | 'path' | 'headers'> => {
	const [requestLine = '', ...lines] = head.split('\r\n');
	const [method = '', path = ''] = requestLine.split(' ');
	const headers = Object.fromEntries(lines.map(line => {
		const colon = line.indexOf(':');
		return [line.slice(0, colon).toLowerCase(), line.slice(colon + 1).trim()];
	}));
	return {method, path, headers};
};

type ReadRequest = Omit<ScriptedRequest, 'connection' | 'write'>;

/** Reads the requests of a connection one after the other. All of them state the length of their body, or have none. */
const readRequests = async function * (socket: net.Socket): AsyncGenerator<ReadRequest> {
	let bytes = '';
	for await (const chunk of socket as AsyncIterable<Uint8Array>) {
		bytes += Buffer.from(chunk).toString('latin1');
		for (;;) {
			// The empty line that asks whether a connection was reset may follow a request.
			bytes = bytes.replace(/^(?:\r\n)+/v, '');
			const headEnd = bytes.indexOf('\r\n\r\n');
			const request = parseRequest(bytes.slice(0, Math.max(0, headEnd)));
			const bodyAt = headEnd + 4;
			const end = bodyAt + Number(request.headers['content-length'] ?? 0);
			if (headEnd === -1 || bytes.length < end) {
				break;
			}

			const body = bytes.slice(bodyAt, end);
			bytes = bytes.slice(end);
			yield {...request, body};
		}
	}
};

/** Sends the steps. Returns whether the connection is kept. */
const playScript = async (socket: net.Socket, steps: readonly ScriptStep[]): Promise<boolean> => {
	for (const step of steps) {
		switch (step.kind) {
			case 'bytes': {
				// eslint-disable-next-line no-await-in-loop -- one step after the other
				await new Promise<void>(resolve => {
					socket.write(Buffer.from(step.text, 'latin1'), () => {
						resolve();
					});
				});
				break;
			}

			case 'pause': {
				await sleep(Math.max(0, step.until - performance.now())); // eslint-disable-line no-await-in-loop -- one step after the other
				break;
			}

			case 'close': {
				socket.end();
				return false;
			}

			case 'reset': {
				socket.resetAndDestroy();
				return false;
			}
		}
	}

	return true;
};

const serveConnection = async (socket: net.Socket, answer: AnswerScript, connection: () => number): Promise<void> => {
	let number: number | undefined;
	for await (const request of readRequests(socket)) {
		number ??= connection();
		const steps = await answer({
			...request, connection: number, write(bytes) {
				if (socket.writable) {
					socket.write(Buffer.from(bytes, 'latin1'));
				}
			},
		});
		if (!await playScript(socket, steps)) {
			return;
		}
	}
};

/** Starts the stand-in on a free port. */
export const startScriptedServer = async (answer: AnswerScript): Promise<ScriptedServer> => {
	const sockets = new Set<net.Socket>();
	let connections = 0;
	const server = net.createServer({noDelay: true}, async socket => {
		sockets.add(socket);
		socket.on('error', () => {/* The daemon may reset the connection. */});
		socket.once('close', () => {
			sockets.delete(socket);
		});
		try {
			await serveConnection(socket, answer, () => ++connections);
		} catch {
			// The connection was closed while a request was read or answered.
		}
	});
	const address = await listenAt(server, {host: '127.0.0.1', port: 0});
	return {
		address,
		countConnections: () => connections,
		async close() {
			for (const socket of sockets) {
				socket.destroy();
			}

			await new Promise<void>(resolve => {
				server.close(() => {
					resolve();
				});
			});
		},
	};
};
