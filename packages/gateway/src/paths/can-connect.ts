/** Probe of a backend server by a new connection. */
import {parseHostAndPort} from '../host-and-port.js';
import {type OpenConnection} from '../calls/backend-agent.js';

/** Timeout of the connection attempt: a hundred times the latency between availability zones. */
const probeTimeoutMs = 300;

/** Whether a new connection to the address can be opened. */
export const canConnect = async (openConnection: OpenConnection, address: string): Promise<boolean> => new Promise(resolve => {
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
