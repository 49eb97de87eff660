/** Answers peers. A peer that does not prove a shared key is cut off before it can ask anything. */
import {createServer, type Socket} from 'node:net';
import {listenAt} from '@shallotpass/common/listen.js';
import {JSONRPCServer} from 'json-rpc-2.0';
import {makeServerHandshake, type SecureSession} from './handshake.js';
import {makeLineReader} from './line-reader.js';
import {type ByteCount, splitAddress} from './peer-connection.js';
import {peerMethods, type PeerHandlers, type PeerMethod} from './peer-methods.js';

export type PeerServer = {
	readonly address: string;
	readonly bytes: Readonly<ByteCount>;
	/** Connections refused since the start, by reason. */
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

/** A connection that has not shaken hands by then is cut. */
const handshakeWithinMs = 5000;

const makeRpcServer = (handlers: PeerHandlers): JSONRPCServer<string> => {
	const server = new JSONRPCServer<string>({errorListener() {/* the asking peer gets the error */}});
	for (const method of Object.keys(peerMethods) as PeerMethod[]) {
		server.addMethod(method, async (parameters: unknown, from) => {
			const checked = peerMethods[method].parameters.parse(parameters);
			return handlers[method](checked as never, from);
		});
	}

	return server;
};

export const startPeerServer = async (options: PeerServerOptions): Promise<PeerServer> => {
	const rpc = makeRpcServer(options.handlers);
	const bytes: ByteCount = {sent: 0, received: 0};
	const sockets = new Set<Socket>();
	let refusals = 0;

	const write = (socket: Socket, line: string): void => {
		if (!socket.destroyed) {
			bytes.sent += line.length;
			socket.write(line);
		}
	};

	const answer = async (socket: Socket, session: SecureSession, payload: string): Promise<void> => {
		const response = await rpc.receiveJSON(payload, session.peerId);
		if (response !== null) {
			write(socket, session.seal(JSON.stringify(response)));
		}
	};

	const serve = (socket: Socket): void => {
		const handshake = makeServerHandshake(options.selfId, options.keys);
		let session: SecureSession | undefined;
		const refuse = (reason: string): void => {
			refusals++;
			options.onRefused(reason, socket.remoteAddress ?? 'unknown');
			socket.destroy();
		};

		const timer = setTimeout(() => {
			refuse('no handshake in time');
		}, handshakeWithinMs);
		const shakeHands = (line: string): void => {
			const step = handshake.receive(line);
			if (step.kind === 'refused') {
				refuse(step.reason);
				return;
			}

			if (step.kind === 'reply') {
				write(socket, step.line);
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
				shakeHands(line);
				return;
			}

			const payload = session.open(line);
			if (payload === undefined) {
				refuse('a line that is altered, repeated or of another connection');
				return;
			}

			void answer(socket, session, payload);
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
			try {
				readLines(chunk);
			} catch (error) {
				refuse(error instanceof Error ? error.message : 'what cannot be read');
			}
		});
	};

	const server = createServer(serve);
	const address = await listenAt(server, splitAddress(options.listen));
	return {
		address,
		bytes,
		countRefusals: () => refusals,
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
