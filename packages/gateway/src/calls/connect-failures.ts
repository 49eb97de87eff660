/** Records failed and broken connections to backend servers. */
import {recordCrash} from '@shallotpass/core/retries/crash-register.js';
import {type GatewayState} from '../gateway-state.js';
import {parseHostAndPort} from '../host-and-port.js';
import {type OpenConnection} from './backend-agent.js';
import {type BackendState} from './backend-registry.js';

/** Bounds of the exponential backoff after failed connections to a backend server. */
const initialBackoffMs = 250;
const maxBackoffMs = 2000;

/** Sends no calls to the backend server for a while, which doubles with each consecutive failure. */
export const recordConnectFailure = (gateway: GatewayState, state: BackendState, reason: string): void => {
	const pauseMs = Math.min(maxBackoffMs, initialBackoffMs * (2 ** state.failedConnects));
	state.failedConnects++;
	state.suspendedUntil = gateway.clocks.steady() + pauseMs;
	gateway.log.write('state', 'backend_unreachable', {
		backend: state.entry.id, address: state.entry.address, reason, failures: state.failedConnects, pauseMs,
	});
};

/** Timeout of the connection attempt that checks whether a backend server still runs. */
const probeTimeoutMs = 300;

/** Whether a new connection to the backend server can be opened. */
const canConnect = async (openConnection: OpenConnection, address: string): Promise<boolean> => new Promise(resolve => {
	const socket = openConnection(parseHostAndPort(address));
	const finish = (isOpen: boolean): void => {
		socket.destroy();
		resolve(isOpen);
	};

	socket.setTimeout(probeTimeoutMs, () => {
		finish(false);
	});
	socket.once('connect', () => {
		finish(true);
	});
	socket.once('error', () => {
		finish(false);
	});
});

/**
 * Handles a connection that broke during a call. If no new connection can be opened, the backend
 * server has crashed and the call may be the cause, so its digest is recorded.
 */
export const recordBrokenConnection = async (gateway: GatewayState, state: BackendState, digest: string): Promise<void> => {
	if (await canConnect(gateway.registry.openConnection, state.entry.address)) {
		return;
	}

	recordConnectFailure(gateway, state, 'ended_during_a_call');
	gateway.crashes = recordCrash(gateway.crashes, digest, state.incarnation, gateway.clocks.steady());
	gateway.log.write('state', 'call_suspected', {digest, backend: state.entry.id, ends: gateway.crashes.crashedIncarnations.get(digest)?.length});
};
