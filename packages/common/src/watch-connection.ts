/** Watches connections of callers for their close. */
import type net from 'node:net';

/** What to call at the close, by connection. Several requests of one connection may be in flight. */
const watchersBySocket = new WeakMap<net.Socket, Set<() => void>>();

const openWatchers = (socket: net.Socket): Set<() => void> => {
	const watchers = new Set<() => void>();
	watchersBySocket.set(socket, watchers);
	const notify = (): void => {
		for (const onClosed of watchers) {
			onClosed();
		}
	};

	// A caller that sends its end gets no answer: Node's server then closes the connection.
	socket.once('end', notify);
	socket.once('close', notify);
	return watchers;
};

/**
 * Calls `onClosed` when the caller closes its connection, or at once if it has; possibly twice. The response does not tell:
 * that of a request behind another one has no connection until its turn comes. Returns a function that stops watching.
 */
export const watchConnection = (socket: net.Socket, onClosed: () => void): (() => void) => {
	const watchers = watchersBySocket.get(socket) ?? openWatchers(socket);
	watchers.add(onClosed);
	if (socket.destroyed || socket.readableEnded) {
		onClosed();
	}

	return () => {
		watchers.delete(onClosed);
	};
};
