/** Shared functions of the HTTP stand-ins: starting a server, JSON bodies, and fault injection. */
import {Buffer} from 'node:buffer';
import {createServer, type IncomingMessage, type ServerResponse} from 'node:http';
import {setTimeout as sleep} from 'node:timers/promises';
import {listenAt} from '@shallotpass/common/listen.js';
import {type FaultTable} from './faults.js';

export type StandInServer = {
	readonly address: string;
	readonly url: string;
	/** Closes the listener and all connections immediately, as in a crash. */
	readonly close: () => Promise<void>;
};

export type JsonReply = {
	readonly status: number;
	readonly body?: unknown;
	readonly headers?: Readonly<Record<string, string>>;
};

export type StandInHandler = (request: IncomingMessage, response: ServerResponse) => Promise<void> | void;

/** Starts an HTTP server on the port, or on a free port if it is 0. */
export const startStandIn = async (handler: StandInHandler, port = 0): Promise<StandInServer> => {
	const server = createServer({keepAliveTimeout: 60_000, maxHeaderSize: 65_536}, (request, response) => {
		(async () => {
			try {
				await handler(request, response);
			} catch (error) {
				if (!response.headersSent) {
					sendJson(response, {status: 400, body: {error: String(error)}});
				}
			}
		})();
	});
	const address = await listenAt(server, {host: '127.0.0.1', port});
	return {
		address,
		url: `http://${address}`,
		async close() {
			server.closeAllConnections();
			await new Promise<void>(resolve => {
				server.close(() => {
					resolve();
				});
			});
		},
	};
};

export const readBody = async (request: IncomingMessage): Promise<Uint8Array> => {
	const chunks: Uint8Array[] = [];
	for await (const chunk of request) {
		chunks.push(chunk as Uint8Array);
	}

	return Buffer.concat(chunks);
};

export const readJson = async (request: IncomingMessage): Promise<unknown> => {
	const body = await readBody(request);
	return body.length === 0 ? undefined : JSON.parse(new TextDecoder().decode(body));
};

export const sendJson = (response: ServerResponse, reply: JsonReply): void => {
	const text = JSON.stringify(reply.body ?? {});
	response.writeHead(reply.status, {'content-type': 'application/json', 'content-length': Buffer.byteLength(text), ...reply.headers});
	response.end(text);
};

/** Responds to an operation, subject to its faults. `execute` performs the operation and returns the reply. */
export const answerWithFaults = async (
	response: ServerResponse,
	faults: FaultTable,
	operation: string,
	execute: () => JsonReply | Promise<JsonReply>,
): Promise<void> => {
	const fault = faults.take(operation);
	switch (fault?.kind) {
		case undefined: {
			sendJson(response, await execute());
			return;
		}

		case 'refuse': {
			sendJson(response, {status: 503, headers: {'retry-after': '1'}});
			return;
		}

		case 'silent': {
			return;
		}

		case 'lose_reply':
		case 'cut': {
			await execute();
			response.destroy();
			return;
		}

		case 'pause':
		case 'delay': {
			const reply = await execute();
			await sleep(fault.delayMs ?? 100);
			sendJson(response, reply);
			return;
		}

		case 'break':
		case 'mismatch': {
			await execute();
			response.end('{"not": "what was asked');
		}
	}
};
