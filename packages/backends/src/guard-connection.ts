/** Makes the client fail an answer whose connection failed. By itself it takes a reset for the end of an answer that ends with its connection. */
import {type Socket} from 'node:net';
import {errors} from 'undici';

/** The client completes the answer on ECONNRESET, and fails it on this error. A request that waits for the connection goes to a new one. */
const makeResetError = (cause: Error): Error => Object.assign(new errors.SocketError('the connection was reset'), {cause});

const isReset = (error: Error | undefined): error is NodeJS.ErrnoException => error !== undefined && 'code' in error && error.code === 'ECONNRESET';

const failOnReset = (socket: Socket): void => {
	const destroy = socket.destroy.bind(socket);
	socket.destroy = error => destroy(isReset(error) ? makeResetError(error) : error);
};

/**
 * Checks the end of the data before it is passed on. A reset that arrives with the last bytes reads like a regular end, but a write fails then. HTTP servers ignore an
 * empty line.
 */
const checkDataEnd = (socket: Socket): void => {
	const push = socket.push.bind(socket);
	const endData = (): boolean => !socket.destroyed && push(null);
	socket.push = (chunk: unknown, encoding) => {
		if (chunk !== null) {
			return push(chunk, encoding);
		}

		const isWriting = socket.writableLength > 0;
		socket.write('\r\n');
		if (isWriting) {
			// The error of the write under way comes before the next turn. The client would close the connection first, at the end of the answer.
			setImmediate(endData);
			return false;
		}

		return socket.errored === null && endData();
	};
};

/** Guards a connection before the client gets it. */
export const guardConnection = (socket: Socket): void => {
	failOnReset(socket);
	checkDataEnd(socket);
};
