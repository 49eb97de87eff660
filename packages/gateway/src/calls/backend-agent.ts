/** Keep-alive connections to one backend server. */
import http from 'node:http';
import net from 'node:net';

/**
 * Idle timeout for backend servers that send no Keep-Alive timeout, in milliseconds. Such a server may
 * close an idle connection within a second. A call sent at that moment is lost without an error, and
 * cannot be sent again if it must run at most once.
 */
const defaultIdleTimeoutMs = 300;

/** Share of the server's Keep-Alive timeout that is used. The rest allows for network latency and a busy processor. */
const usedIdleTimeoutShare = 0.6;

const readKeepAliveTimeoutMs = (response: http.IncomingMessage | null | undefined): number | undefined => {
	const match = /timeout=(?<seconds>\d+)/v.exec(String(response?.headers['keep-alive'] ?? ''));
	return match?.groups?.seconds === undefined ? undefined : Number(match.groups.seconds) * 1000;
};

/** Opens a connection to a backend server. */
export type OpenConnection = (options: net.TcpNetConnectOpts) => net.Socket;

export type BackendAgentOptions = {
	readonly openConnection?: OpenConnection;
	/** Called when a new connection was opened. */
	readonly onConnected?: () => void;
};

export type PooledSocket = net.Socket & {
	// Node's HTTP client stores the last request of the socket here.
	_httpMessage?: http.ClientRequest & {res?: http.IncomingMessage | null};
	onIdleData?: () => void;
};

/** Connections that were reset or whose write failed. */
const failedSockets = new WeakSet<net.Socket>();

export const hasConnectionFailed = (socket: net.Socket | null): boolean => socket !== null && failedSockets.has(socket);

/** Whether the body ends when the connection closes, as it has neither a Content-Length nor a transfer coding. */
export const isCloseDelimited = (response: http.IncomingMessage): boolean =>
	response.headers['content-length'] === undefined && response.headers['transfer-encoding'] === undefined;

/**
 * Handles the end of the data from the backend server. For a close-delimited response this is either
 * the regular end or a reset: when a reset arrives with the last bytes, Node reports both as the same end of file,
 * and the caller would get a partial body as a complete one. A write distinguishes them, as it fails
 * immediately on a connection that was reset. HTTP servers ignore the empty line, and this one has
 * already closed its side.
 */
const handleRemoteEnd = (socket: PooledSocket): void => {
	const response = socket._httpMessage?.res;
	if (response && isCloseDelimited(response)) {
		socket.write('\r\n', error => {
			if (error) {
				failedSockets.add(socket);
			}
		});
		return;
	}

	socket.end();
};

export class BackendAgent extends http.Agent {
	/** Number of open connections, in use or idle. */
	openConnections = 0;
	/**
	 * Number of the period in which at least one established connection has been open. Within it the process at the other
	 * end is the same, as its end would close all of them.
	 */
	contactPeriod = 0;
	/** Number of connections that are established. */
	establishedConnections = 0;

	constructor(private readonly connectionOptions: BackendAgentOptions = {}) {
		super({
			keepAlive: true, noDelay: true, scheduling: 'lifo', maxFreeSockets: 64, allowHalfOpen: true,
		} as http.AgentOptions);
	}

	override createConnection(...[options]: Parameters<http.Agent['createConnection']>): net.Socket {
		const {openConnection = net.connect, onConnected} = this.connectionOptions;
		const socket = openConnection(options as unknown as net.TcpNetConnectOpts) as PooledSocket;
		if (onConnected !== undefined) {
			socket.once('connect', onConnected);
		}

		this.openConnections++;
		this.trackContact(socket);
		socket.on('end', () => {
			handleRemoteEnd(socket);
		});
		// Node's HTTP client listens for errors only while a request is in flight.
		socket.on('error', () => {
			failedSockets.add(socket);
		});
		socket.once('close', () => {
			this.openConnections--;
		});
		return socket;
	}

	/** Prepares a connection for reuse and sets its idle timeout. */
	override keepSocketAlive(socket: PooledSocket): boolean {
		const keepAliveTimeoutMs = readKeepAliveTimeoutMs(socket._httpMessage?.res);
		const idleTimeoutMs = keepAliveTimeoutMs === undefined ? defaultIdleTimeoutMs : keepAliveTimeoutMs * usedIdleTimeoutShare;
		socket.setKeepAlive(true, 1000);
		socket.setTimeout(idleTimeoutMs);
		// Data on an idle connection belongs to no call and would be read as the response to the
		// next one, so the connection is closed.
		const destroy = (): void => {
			socket.destroy();
		};

		socket.onIdleData = destroy;
		socket.on('data', destroy);
		return true;
	}

	override reuseSocket(socket: PooledSocket, request: http.ClientRequest): void {
		if (socket.onIdleData) {
			socket.off('data', socket.onIdleData);
			socket.onIdleData = undefined;
		}

		socket.setTimeout(0);
		super.reuseSocket(socket, request);
	}

	/** Counts the connection while it is established. */
	private trackContact(socket: PooledSocket): void {
		socket.once('connect', () => {
			if (this.establishedConnections === 0) {
				this.contactPeriod++;
			}

			this.establishedConnections++;
			socket.once('close', () => {
				this.establishedConnections--;
			});
		});
	}
}
