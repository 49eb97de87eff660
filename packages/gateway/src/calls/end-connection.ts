/** Ends connections of callers so that they can read all that was sent to them. */
import type net from 'node:net';

/** Time for which a caller may keep its side of an ended connection open. */
const maxHalfOpenMs = 8000;

/**
 * Sends what is written, then the end of the connection, and discards what is still read until the caller closes its side.
 * A connection that is closed with bytes unread is reset, which destroys what its caller has not read yet.
 */
export const endConnection = (socket: net.Socket): void => {
	socket.end();
	// Node's parser must not see what follows: it would dispatch it, or close the connection for an error in it.
	socket.removeAllListeners('data');
	socket.on('data', () => {/* Discarded. */});
	socket.resume();
	const timer = setTimeout(() => {
		socket.destroy();
	}, maxHalfOpenMs);
	timer.unref();
	socket.once('close', () => {
		clearTimeout(timer);
	});
};
