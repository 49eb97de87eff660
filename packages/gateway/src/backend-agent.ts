/** Keep-alive connections to one backend server. */
import http from 'node:http';
import type net from 'node:net';

/**
 * A backend server that states no idle time may close within a second; a call sent at that
 * moment is lost without a word, and one that must not repeat cannot be sent again.
 */
const unstatedIdleMs = 300;

/** Part of a stated idle time that is used: the rest covers the way there and a busy processor. */
const usedPartOfIdle = 0.6;

const readStatedIdle = (response: http.IncomingMessage | undefined): number | undefined => {
	const match = /timeout=(?<seconds>\d+)/v.exec(String(response?.headers['keep-alive'] ?? ''));
	return match?.groups?.seconds === undefined ? undefined : Number(match.groups.seconds) * 1000;
};

type PooledSocket = net.Socket & {
	// Node's client keeps the request that used a socket last here.
	_httpMessage?: http.ClientRequest & {res?: http.IncomingMessage};
	unusableAt?: number;
	onIdleData?: () => void;
};

export class BackendAgent extends http.Agent {
	/** Connections in use or idle. */
	openConnections = 0;

	constructor() {
		super({
			keepAlive: true, noDelay: true, scheduling: 'lifo', maxFreeSockets: 64,
		});
	}

	override createConnection(...args: Parameters<http.Agent['createConnection']>): net.Socket {
		const socket = super.createConnection(...args) as net.Socket;
		this.openConnections++;
		socket.once('close', () => {
			this.openConnections--;
		});
		return socket;
	}

	/** Decides whether a connection is kept for another call. */
	override keepSocketAlive(socket: PooledSocket): boolean {
		const stated = readStatedIdle(socket._httpMessage?.res);
		const idleMs = stated === undefined ? unstatedIdleMs : stated * usedPartOfIdle;
		socket.setKeepAlive(true, 1000);
		socket.setTimeout(idleMs);
		// Bytes on an idle connection belong to no call; read with the next one they would be
		// taken for its answer, so the connection is not used again.
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
}
