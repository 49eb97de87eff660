/** Connections to backend servers: pooled for repeatable calls, and a new one for each call that must not run twice. */
import {
	Agent, buildConnector, Client, type Dispatcher,
} from 'undici';
import {guardConnection} from './guard-connection.js';

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
	readonly close: () => Promise<void>;
};

export const makeBackendConnections = (): BackendConnections => {
	const connectTo = buildConnector({timeout: connectTimeoutMs, allowHalfOpen: true});
	const connect: buildConnector.connector = (options, callback) => {
		connectTo(options, (...result) => {
			const [error, socket] = result;
			if (error === null) {
				guardConnection(socket);
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
