/** Closes connections so that their callers can read all that was written to them. */
import {type EventEmitter} from 'node:events';
import type http from 'node:http';
import type net from 'node:net';

/** For how long a connection that was closed on this side waits for its caller to close it. */
const closeWithinMs = 5000;

/** Bytes that are read from a connection and dropped. More are left unread. Larger than any body that is uploaded within `closeWithinMs`. */
const maxDiscardedBytes = 16_777_216;

export type CloseBounds = {
	readonly withinMs: number;
	readonly discardedBytes: number;
};

const defaultBounds: CloseBounds = {withinMs: closeWithinMs, discardedBytes: maxDiscardedBytes};

const discarded = new WeakSet<net.Socket>();

/** Event of a connection of which nothing more is parsed. */
const discardEvent = Symbol('input discarded');

/** Calls `listener` when nothing more of the connection is parsed. */
export const onInputDiscarded = (socket: EventEmitter, listener: () => void): void => {
	socket.once(discardEvent, listener);
};

const closing = new WeakSet<net.Socket>();

/** What Node's parser keeps of a head, or of trailers, that have not ended. */
type ParsingSocket = {readonly parser?: {_headers?: string[]}};

const dropFields = (socket: net.Socket): void => {
	const {parser} = socket as ParsingSocket;
	// Node sets it to null when it has none any more.
	if (parser?._headers !== undefined) {
		parser._headers = [];
	}
};

/**
 * Reads and drops what comes on the connection from now on; nothing more of it is parsed. It is read, within bounds, so that
 * the close of the caller is seen, and as a connection that is closed with unread bytes is reset.
 */
export const discardInput = (socket: net.Socket, {discardedBytes} = defaultBounds): void => {
	if (discarded.has(socket)) {
		return;
	}

	discarded.add(socket);
	dropFields(socket);
	const emitter: EventEmitter = socket;
	emitter.emit(discardEvent);
	let bytes = 0;
	// The parser reads as a listener of its own, or below the socket until another one is added.
	socket.removeAllListeners('data');
	socket.on('data', (chunk: Uint8Array) => {
		bytes += chunk.length;
		if (bytes > discardedBytes) {
			socket.pause();
		}
	});
	socket.resume();
};

/** Whether nothing more of the connection is parsed. */
export const isInputDiscarded = (socket: net.Socket): boolean => discarded.has(socket);

/** Resolves when all that came in the same read has been parsed. A request is handled while the parser still works on what follows. */
export const waitForParser = async (): Promise<void> => new Promise(resolve => {
	setImmediate(resolve);
});

/**
 * Reads no more of a request that is answered before its end was read. Returns whether the connection has to be closed behind
 * that answer, as the rest of it is not told from a request any more. A request that is read by iteration loses its own socket.
 * To be called after `waitForParser`.
 */
export const discardRest = (request: http.IncomingMessage, socket: net.Socket): boolean => {
	if (request.complete) {
		request.resume();
		return false;
	}

	discardInput(socket);
	return true;
};

/**
 * Sends the end of the connection behind all that was written, and closes it when the caller has closed its side or the time
 * is over. A caller that still sends would lose what it has not read if the connection were closed at once.
 */
export const closeGently = (socket: net.Socket, bounds = defaultBounds): void => {
	if (socket.destroyed || closing.has(socket)) {
		return;
	}

	closing.add(socket);
	// The timeout of idle connections would cut off what is still being read.
	socket.setTimeout(0);
	discardInput(socket, bounds);
	socket.end();
	const timer = setTimeout(() => {
		socket.destroy();
	}, bounds.withinMs);
	socket.once('close', () => {
		clearTimeout(timer);
	});
};
