/** Handles requests from peers. Closes connections whose handshake does not prove a shared key. */
import {createServer, type Socket} from 'node:net';
import {listenAt} from '@shallotpass/common/listen.js';
import {JSONRPCServer} from 'json-rpc-2.0';
import {makeServerHandshake, type PeerSession} from './handshake.js';
import {makeLineReader} from './line-reader.js';
import {type ByteCounts, splitAddress} from './peer-connection.js';
import {peerMethods, type PeerHandlers, type PeerMethod} from './peer-methods.js';

export type PeerServer = {
	readonly address: string;
	readonly bytes: Readonly<ByteCounts>;
	/** Returns the number of connections refused since the start. */
	readonly countRefusals: () => number;
	readonly close: () => Promise<void>;
};

type PeerServerOptions = {
	readonly listen: string;
	readonly selfId: string;
	readonly keys: readonly string[];
	readonly handlers: PeerHandlers;
	readonly onRefused: (reason: string, remote: string) => void;
};

/** A connection is closed if its handshake takes longer. */
const handshakeTimeoutMs = 5000;

/** Bytes that are read of a connection before its other end has proven that it is a peer. */
const maxHandshakeBytes = 16_384;

const makeRpcServer = (handlers: PeerHandlers): JSONRPCServer<string> => {
	const server = new JSONRPCServer<string>({errorListener() {/* the error is sent to the peer */}});
	for (const method of Object.keys(peerMethods) as PeerMethod[]) {
		server.addMethod(method, async (parameters: unknown, from) => {
			const validated = peerMethods[method].parameters.parse(parameters);
			return handlers[method](validated as never, from);
		});
	}

	return server;
};

export const startPeerServer = async (options: PeerServerOptions): Promise<PeerServer> => {
	const rpcServer = makeRpcServer(options.handlers);
	const bytes: ByteCounts = {sent: 0, received: 0};
	const sockets = new Set<Socket>();
	let refusalCount = 0;

	const writeLine = (socket: Socket, line: string): void => {
		if (!socket.destroyed) {
			bytes.sent += line.length;
			socket.write(line);
		}
	};

	const handleRequest = async (socket: Socket, session: PeerSession, payload: string): Promise<void> => {
		const response = await rpcServer.receiveJSON(payload, session.peerId);
		if (response !== null) {
			writeLine(socket, session.sign(JSON.stringify(response)));
		}
	};

	const handleConnection = (socket: Socket): void => {
		const handshake = makeServerHandshake(options.selfId, options.keys);
		let session: PeerSession | undefined;
		let unprovenBytes = 0;
		const refuse = (reason: string): void => {
			refusalCount++;
			options.onRefused(reason, socket.remoteAddress ?? 'unknown');
			socket.destroy();
		};

		const timer = setTimeout(() => {
			refuse('the handshake timed out');
		}, handshakeTimeoutMs);
		const handleHandshakeLine = (line: string): void => {
			const step = handshake.receive(line);
			if (step.kind === 'refused') {
				refuse(step.reason);
				return;
			}

			if (step.kind === 'reply') {
				writeLine(socket, step.line);
				return;
			}

			clearTimeout(timer);
			session = step.session;
		};

		const readLines = makeLineReader(line => {
			if (socket.destroyed) {
				return;
			}

			if (session === undefined) {
				handleHandshakeLine(line);
				return;
			}

			const payload = session.verify(line);
			if (payload === undefined) {
				refuse('a line was altered, repeated or belongs to another connection');
				return;
			}

			void handleRequest(socket, session, payload);
		});
		sockets.add(socket);
		socket.setNoDelay(true);
		socket.on('error', () => {
			socket.destroy();
		});
		socket.once('close', () => {
			clearTimeout(timer);
			sockets.delete(socket);
		});
		socket.on('data', chunk => {
			bytes.received += chunk.length;
			unprovenBytes += chunk.length;
			if (session === undefined && unprovenBytes > maxHandshakeBytes) {
				refuse('the handshake is too long');
				return;
			}

			try {
				readLines(chunk);
			} catch (error) {
				refuse(error instanceof Error ? error.message : 'the data cannot be parsed');
			}
		});
	};

	const server = createServer(handleConnection);
	const address = await listenAt(server, splitAddress(options.listen));
	return {
		address,
		bytes,
		countRefusals: () => refusalCount,
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
