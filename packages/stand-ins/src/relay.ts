/** TCP relay that simulates network faults between two endpoints. */
import {connect, createServer, type Socket} from 'node:net';
import {listenAt} from '@shallotpass/common/listen.js';

export type RelayMode =
	| 'open'
	/** New connections are refused and open ones are closed. */
	| 'cut'
	/** Open connections stay open but drop all data, as with a NAT that has lost its entries. New connections work. */
	| 'forgetful'
	/** Open connections are reset. New connections work. */
	| 'reset'
	/** Requests are forwarded and responses are dropped. */
	| 'one_way'
	/** Requests on open connections are held back until the relay is open again, and responses are forwarded. A reset discards what is held, a regular end does not. */
	| 'held_requests'
	/** All data is dropped, and connections stay open. */
	| 'silent';

export type Relay = {
	readonly address: string;
	readonly url: string;
	readonly setTarget: (target: string) => void;
	readonly setMode: (mode: RelayMode) => void;
	/** Closes and refuses connections from these addresses only. Replaces the previous addresses. */
	readonly block: (remoteAddresses: readonly string[]) => void;
	readonly setDelay: (milliseconds: number) => void;
	/** Counts the bytes received in both directions, including those that were dropped. */
	readonly countBytes: () => number;
	readonly close: () => Promise<void>;
};

/** The target can be set later, so that the address of the relay is known before the target is started. */
export const startRelay = async (initialTarget?: string): Promise<Relay> => {
	let target = initialTarget;
	const sockets = new Set<Socket>();
	const silencedSockets = new WeakSet<Socket>();
	/** Called when the relay is open again. */
	const onRelease = new Set<() => void>();
	let mode: RelayMode = 'open';
	let blocked = new Set<string>();
	let delayMs = 0;
	let receivedBytes = 0;

	const isSilenced = (socket: Socket): boolean => mode === 'silent' || silencedSockets.has(socket);

	const forward = (from: Socket, to: Socket, isResponse: boolean): void => {
		/** When the last delayed bytes are delivered. */
		let heldUntil = 0;
		const held: Uint8Array[] = [];
		let hasEnded = false;
		const release = (): void => {
			onRelease.delete(release);
			for (const chunk of held.splice(0)) {
				to.write(chunk);
			}

			if (hasEnded) {
				to.destroySoon();
			}
		};

		from.on('data', chunk => {
			receivedBytes += chunk.length;
			if (mode === 'held_requests' && !isResponse) {
				held.push(chunk);
				onRelease.add(release);
				return;
			}

			if (isSilenced(from) || (isResponse && mode === 'one_way')) {
				return;
			}

			if (delayMs === 0) {
				to.write(chunk);
				return;
			}

			heldUntil = performance.now() + delayMs;
			setTimeout(() => {
				to.write(chunk);
			}, delayMs);
		});
		from.on('error', () => {/* handled by the close event */});
		from.on('close', hadError => {
			sockets.delete(from);
			if (isSilenced(from)) {
				return;
			}

			if (held.length > 0 && !hadError) {
				hasEnded = true;
				return;
			}

			onRelease.delete(release);
			// As in a network, what was sent before a regular end still arrives, and a reset discards it.
			const heldMs = heldUntil - performance.now();
			if (hadError) {
				to.resetAndDestroy();
				return;
			}

			if (heldMs <= 0) {
				to.destroy();
				return;
			}

			setTimeout(() => {
				to.destroySoon();
			}, heldMs + 1);
		});
	};

	/** Effects of modes on connections that are open when the mode is set. */
	const effectsOnOpenSockets: Partial<Record<RelayMode, (socket: Socket) => void>> = {
		cut(socket) {
			socket.destroy();
		},
		reset(socket) {
			socket.resetAndDestroy();
		},
		forgetful(socket) {
			silencedSockets.add(socket);
		},
	};

	const server = createServer(client => {
		if (mode === 'cut' || blocked.has(client.remoteAddress ?? '')) {
			client.destroy();
			return;
		}

		sockets.add(client);
		if (mode === 'silent') {
			client.on('error', () => {/* the connection is not forwarded */});
			return;
		}

		const [host, port] = (target ?? '').split(':');
		if (host === undefined || port === undefined) {
			client.destroy();
			return;
		}

		const upstream = connect(Number(port), host);
		sockets.add(upstream);
		forward(client, upstream, false);
		forward(upstream, client, true);
	});
	const address = await listenAt(server, {host: '127.0.0.1', port: 0});
	return {
		address,
		url: `http://${address}`,
		setTarget(newTarget) {
			target = newTarget;
		},
		setMode(newMode) {
			mode = newMode === 'forgetful' || newMode === 'reset' ? 'open' : newMode;
			if (mode === 'open') {
				for (const release of onRelease) {
					release();
				}
			}

			const applyEffect = effectsOnOpenSockets[newMode];
			if (applyEffect !== undefined) {
				for (const socket of sockets) {
					applyEffect(socket);
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
		countBytes: () => receivedBytes,
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
