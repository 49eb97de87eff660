/** Connections to backend servers: pooled for repeatable calls, and a new one for each call that must not run twice. */
import {type Socket} from 'node:net';
import {
	Agent, buildConnector, Client, type Dispatcher,
} from 'undici';

const connectTimeoutMs = 2000;
const keepAliveMs = 4000;

/** Maximum number of concurrent connections to one backend server. Further requests wait for a free connection. */
const maxConnectionsPerBackend = 2048;

export type BackendConnections = {
	/** Connection pool for calls that may run twice. */
	readonly shared: Dispatcher;
	/**
	 * Opens a connection for a single call. The backend server may close a pooled connection just before
	 * the call is written, and then it is unknown whether the call ran. With a new connection, a failure to
	 * connect proves that it did not run.
	 */
	readonly openSingleUse: (address: string) => Client;
	/**
	 * Number of connections to the backend server that were reset so far. The client reports an answer that ends with its connection as whole when that is reset,
	 * and does not tell on which connection an answer came.
	 */
	readonly countResets: (address: string) => number;
	readonly close: () => Promise<void>;
};

/**
 * Calls `onReset` before the client ends an answer with the connection. A reset that arrives with the last bytes looks like a regular end; a write fails at once on a
 * connection that was reset, and HTTP servers ignore an empty line.
 */
const watchForReset = (socket: Socket, onReset: () => void): void => {
	socket.once('end', () => {
		socket.write('\r\n');
		if (socket.errored !== null) {
			onReset();
		}
	});
	socket.once('error', ({code}: NodeJS.ErrnoException) => {
		// The client itself ends the socket with an error of its own when the other side has closed it.
		if (code === 'ECONNRESET') {
			onReset();
		}
	});
};

export const makeBackendConnections = (): BackendConnections => {
	const resets = new Map<string, number>();
	const connectTo = buildConnector({timeout: connectTimeoutMs, allowHalfOpen: true});
	const connect: buildConnector.connector = (options, callback) => {
		connectTo(options, (...result) => {
			const [error, socket] = result;
			if (error === null) {
				watchForReset(socket, () => {
					const address = `${options.hostname}:${options.port}`;
					resets.set(address, (resets.get(address) ?? 0) + 1);
				});
			}

			callback(...result);
		});
	};

	const shared = new Agent({
		connect,
		connections: maxConnectionsPerBackend,
		pipelining: 1,
		keepAliveTimeout: keepAliveMs,
		keepAliveMaxTimeout: keepAliveMs,
		headersTimeout: 0,
		bodyTimeout: 0,
	});
	return {
		shared,
		openSingleUse: address => new Client(`http://${address}`, {
			connect,
			pipelining: 1,
			headersTimeout: 0,
			bodyTimeout: 0,
		}),
		countResets: address => resets.get(address) ?? 0,
		async close() {
			await shared.destroy();
		},
	};
};

const connectFailureCodes = new Set([
	'ECONNREFUSED',
	'EHOSTUNREACH',
	'ENETUNREACH',
	'EADDRNOTAVAIL',
	'ENOTFOUND',
	'UND_ERR_CONNECT_TIMEOUT',
]);

/** Whether the error proves that no connection was established, so that nothing was sent. */
export const isConnectFailure = (error: unknown): boolean => {
	if (typeof error !== 'object' || error === null) {
		return false;
	}

	if ('code' in error && typeof error.code === 'string' && connectFailureCodes.has(error.code)) {
		return true;
	}

	return 'errors' in error && Array.isArray(error.errors) && error.errors.length > 0 && error.errors.every(item => isConnectFailure(item));
};
