/** Connections to backend servers: kept ones for calls that may repeat, one of its own for each that may not. */
import {Agent, Client, type Dispatcher} from 'undici';

const connectTimeoutMs = 2000;
const keepAliveMs = 4000;

/** Streams at one backend server at once, over which new ones wait. */
const mostConnections = 2048;

export type BackendConnections = {
	/** For calls that may run twice. */
	readonly shared: Dispatcher;
	/**
	 * A connection for one call. A kept connection may have been closed by the
	 * other end just before the call is written, and then nobody can tell whether
	 * the call ran; on a new one a failure to connect proves that it did not.
	 */
	readonly openSingle: (address: string) => Client;
	readonly close: () => Promise<void>;
};

export const makeBackendConnections = (): BackendConnections => {
	const shared = new Agent({
		connect: {timeout: connectTimeoutMs},
		connections: mostConnections,
		pipelining: 1,
		keepAliveTimeout: keepAliveMs,
		keepAliveMaxTimeout: keepAliveMs,
		headersTimeout: 0,
		bodyTimeout: 0,
	});
	return {
		shared,
		openSingle: address => new Client(`http://${address}`, {
			connect: {timeout: connectTimeoutMs},
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

/** Whether the failure proves that nothing was sent. */
export const isConnectFailure = (error: unknown): boolean => {
	if (typeof error !== 'object' || error === null) {
		return false;
	}

	if ('code' in error && typeof error.code === 'string' && connectFailureCodes.has(error.code)) {
		return true;
	}

	return 'errors' in error && Array.isArray(error.errors) && error.errors.length > 0 && error.errors.every(item => isConnectFailure(item));
};
