/** What lies between two ends of the network: it passes bytes, loses track of connections, or is cut. */
import {connect, createServer, type Socket} from 'node:net';
import {listenAt} from '@shallotpass/common/listen.js';

export type RelayMode =
	| 'open'
	/** New connections are refused and open ones closed. */
	| 'cut'
	/** Open connections stay and carry nothing any more; new ones work. */
	| 'forgetful'
	/** Open connections are reset; new ones work. */
	| 'reset'
	/** What is asked gets through, and no answer comes back. */
	| 'one_way'
	/** Nothing gets through and nobody is told. */
	| 'silent';

export type Relay = {
	readonly address: string;
	readonly url: string;
	readonly setTarget: (target: string) => void;
	readonly setMode: (mode: RelayMode) => void;
	/** Cuts off whoever connects from one of these addresses, and nobody else. */
	readonly block: (remoteAddresses: readonly string[]) => void;
	readonly setDelay: (milliseconds: number) => void;
	/** Bytes passed in both directions. */
	readonly countBytes: () => number;
	readonly close: () => Promise<void>;
};

/** `firstTarget` may be left out and set later: the relay then keeps its own address while its target is started. */
export const startRelay = async (firstTarget?: string): Promise<Relay> => {
	let target = firstTarget;
	const sockets = new Set<Socket>();
	const forgotten = new WeakSet<Socket>();
	let mode: RelayMode = 'open';
	let blocked = new Set<string>();
	let delayMs = 0;
	let bytes = 0;

	const isMute = (socket: Socket): boolean => mode === 'silent' || forgotten.has(socket);

	const pass = (from: Socket, to: Socket, isAnswer: boolean): void => {
		from.on('data', chunk => {
			bytes += chunk.length;
			if (isMute(from) || (isAnswer && mode === 'one_way')) {
				return;
			}

			if (delayMs === 0) {
				to.write(chunk);
				return;
			}

			setTimeout(() => {
				to.write(chunk);
			}, delayMs);
		});
		from.on('error', () => {/* close follows */});
		from.on('close', () => {
			sockets.delete(from);
			if (!isMute(from)) {
				to.destroy();
			}
		});
	};

	/** What a mode does to connections that are open when it begins. */
	const strikes: Partial<Record<RelayMode, (socket: Socket) => void>> = {
		cut(socket) {
			socket.destroy();
		},
		reset(socket) {
			socket.resetAndDestroy();
		},
		forgetful(socket) {
			forgotten.add(socket);
		},
	};

	const server = createServer(near => {
		if (mode === 'cut' || blocked.has(near.remoteAddress ?? '')) {
			near.destroy();
			return;
		}

		sockets.add(near);
		if (mode === 'silent') {
			near.on('error', () => {/* nobody listens */});
			return;
		}

		const [host, port] = (target ?? '').split(':');
		if (host === undefined || port === undefined) {
			near.destroy();
			return;
		}

		const far = connect(Number(port), host);
		sockets.add(far);
		pass(near, far, false);
		pass(far, near, true);
	});
	const address = await listenAt(server, {host: '127.0.0.1', port: 0});
	return {
		address,
		url: `http://${address}`,
		setTarget(next) {
			target = next;
		},
		setMode(next) {
			mode = next === 'forgetful' || next === 'reset' ? 'open' : next;
			const strike = strikes[next];
			if (strike !== undefined) {
				for (const socket of sockets) {
					strike(socket);
				}
			}
		},
		block(remoteAddresses) {
			blocked = new Set(remoteAddresses);
			for (const socket of sockets) {
				if (blocked.has(socket.remoteAddress ?? '')) {
					socket.destroy();
				}
			}
		},
		setDelay(milliseconds) {
			delayMs = milliseconds;
		},
		countBytes: () => bytes,
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
