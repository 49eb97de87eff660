/** Keep-alive connections to one backend server. */
import http from 'node:http';
import net from 'node:net';
import {isCloseDelimited} from './body-framing.js';
import {makeReadOptions} from './read-turns.js';

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
	/** Called when a connection begins to be opened. */
	readonly onOpen?: () => void;
	/** Called when one has closed. */
	readonly onClose?: () => void;
	/** Called when a new connection was opened. */
	readonly onConnected?: () => void;
	/** Whether an answer turns a call away without naming it, so that a second copy of it looks like the answer to the next call. */
	readonly isUnnamedRefusal?: (response: http.IncomingMessage) => boolean;
};

export type AgentRequestOptions = http.RequestOptions & {
	/** Whether the request may go out on a doubtful connection. */
	readonly acceptsDoubt?: boolean;
};

export type PooledSocket = net.Socket & {
	// Node's HTTP client stores the last request of the socket here.
	_httpMessage?: http.ClientRequest & {res?: http.IncomingMessage | null};
	onIdleData?: () => void;
	/** Number of the connection among those that its agent has established, from 1. Undefined before. */
	connectionNumber?: number;
	/** Whether an unnamed refusal came on it, of which a second copy may follow at any time. */
	isDoubtful?: boolean;
};

/** Whether the connection is doubtful. */
export const isConnectionDoubtful = (socket: PooledSocket | null | undefined): boolean => socket?.isDoubtful === true;

/** Requests that may go out on a doubtful connection. */
const acceptingRequests = new WeakSet<http.ClientRequest>();

/** Returns the number of an established connection of an agent. */
export const getConnectionNumber = (socket: PooledSocket | null | undefined): number | undefined => socket?.connectionNumber;

/** Connections that were reset or whose write failed. */
const failedSockets = new WeakSet<net.Socket>();

export const hasConnectionFailed = (socket: net.Socket | null): boolean => socket !== null && failedSockets.has(socket);

/** Whether a write was given up because this side closed the connection, which says nothing of the other side. */
const isClosedHere = (error: NodeJS.ErrnoException): boolean => error.code === 'ERR_STREAM_DESTROYED';

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
			// Node's HTTP client closes the connection at the end of an answer, also while a request is written.
			if (error && !isClosedHere(error)) {
				failedSockets.add(socket);
			}
		});
		return;
	}

	socket.end();
};

/**
 * Delays the end of the data while a request is written. A connection that was reset may read like one that ended in order, and only the write under way fails,
 * before the next turn. Node's HTTP client would close the connection first, at the end of the answer.
 */
const delayEndWhileWriting = (socket: net.Socket): void => {
	const push = socket.push.bind(socket);
	const endData = (): void => {
		if (!socket.destroyed) {
			push(null);
			socket.read(0);
		}
	};

	socket.push = (chunk: unknown, encoding) => {
		if (chunk !== null || socket.writableLength === 0) {
			return push(chunk, encoding);
		}

		setImmediate(endData);
		return false;
	};
};

/** Numbers of the first and the last connection of which it is known that they lead to a process. */
type ConnectionSpan = {readonly first: number; readonly last: number};

/** Processes at the address that are remembered beside the one of the directory. */
const maxLaterProcesses = 4;

type AddRequest = (this: http.Agent, request: http.ClientRequest, options: http.RequestOptions) => void;

/** Node's clients call this method of their agent, which its types leave out. */
const addToPool = (http.Agent.prototype as unknown as {readonly addRequest: AddRequest}).addRequest;

export class BackendAgent extends http.Agent {
	/** Number of open connections, in use or idle. */
	openConnections = 0;
	/** Number of the connection that was established last. */
	lastConnection = 0;
	/**
	 * Connections up to this number lead to the process that was found behind the address after they had been established, or to none: each ends with its
	 * process. That other connections look open says nothing of a new one, as the end of a process may not have been seen yet.
	 */
	confirmedConnection = 0;
	/** Connections of processes that started later, by the start that they told. */
	private readonly laterProcesses = new Map<number, ConnectionSpan>();

	constructor(private readonly connectionOptions: BackendAgentOptions = {}) {
		super({
			keepAlive: true, noDelay: true, scheduling: 'lifo', maxFreeSockets: 64, allowHalfOpen: true,
		} as http.AgentOptions);
	}

	override createConnection(...[options]: Parameters<http.Agent['createConnection']>): net.Socket {
		const {openConnection = net.connect, onOpen, onClose, onConnected} = this.connectionOptions;
		const socket: PooledSocket = openConnection({...options as unknown as net.TcpNetConnectOpts, onread: makeReadOptions(() => socket)});
		delayEndWhileWriting(socket);
		if (onConnected !== undefined) {
			socket.once('connect', onConnected);
		}

		this.openConnections++;
		onOpen?.();
		socket.once('connect', () => {
			this.lastConnection++;
			socket.connectionNumber = this.lastConnection;
		});
		socket.on('end', () => {
			handleRemoteEnd(socket);
		});
		// Node's HTTP client listens for errors only while a request is in flight.
		socket.on('error', () => {
			failedSockets.add(socket);
		});
		socket.once('close', () => {
			this.openConnections--;
			onClose?.();
		});
		return socket;
	}

	/** Gives the request an idle connection or a new one. Doubtful connections are left to requests that accept them. */
	addRequest(request: http.ClientRequest, options: AgentRequestOptions): void {
		if (options.acceptsDoubt === true) {
			acceptingRequests.add(request);
			addToPool.call(this, request, options);
			return;
		}

		const pools = this.freeSockets as Record<string, PooledSocket[] | undefined>;
		const doubtful = Object.entries(pools).map(([name, sockets = []]) => {
			const hidden = sockets.filter(socket => isConnectionDoubtful(socket));
			sockets.splice(0, sockets.length, ...sockets.filter(socket => !isConnectionDoubtful(socket)));
			return [name, hidden] as const;
		});
		addToPool.call(this, request, options);
		for (const [name, hidden] of doubtful) {
			if (hidden.length > 0) {
				pools[name] = [...pools[name] ?? [], ...hidden];
			}
		}
	}

	/** Prepares a connection for reuse and sets its idle timeout. A doubtful one is kept if its last call accepted that, as others like it come. */
	override keepSocketAlive(socket: PooledSocket): boolean {
		const {_httpMessage: request} = socket;
		if (request?.res && this.connectionOptions.isUnnamedRefusal?.(request.res) === true) {
			socket.isDoubtful = true;
		}

		if (isConnectionDoubtful(socket) && (request === undefined || !acceptingRequests.has(request))) {
			return false;
		}

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

	/** Counts the connections that no request uses. */
	countIdle(): number {
		let count = 0;
		for (const sockets of Object.values(this.freeSockets)) {
			count += sockets?.length ?? 0;
		}

		return count;
	}

	/** Whether the connection leads to the process that was confirmed, or to none. */
	isConfirmed(connection: number | undefined): boolean {
		return connection !== undefined && connection <= this.confirmedConnection;
	}

	/** Records that the process was found after all connections up to this one had been established. */
	confirmUpTo(connection: number): void {
		this.confirmedConnection = Math.max(this.confirmedConnection, connection);
	}

	/** Records that a process that started later answered on a connection, to a question that was written when another one had been established last. */
	recordLaterProcess(startedAt: number, answeredOn: number, lastConnection: number): void {
		const known = this.laterProcesses.get(startedAt) ?? {first: answeredOn, last: lastConnection};
		this.laterProcesses.set(startedAt, {first: Math.min(known.first, answeredOn), last: Math.max(known.last, lastConnection)});
		if (this.laterProcesses.size > maxLaterProcesses) {
			this.laterProcesses.delete(this.laterProcesses.keys().next().value!);
		}
	}

	/** Returns the start of the later process to which the connection leads: it lived before the connection was established, and after it. */
	findLaterProcess(connection: number | undefined): number | undefined {
		const isWithin = ({first, last}: ConnectionSpan): boolean => connection !== undefined && first <= connection && connection <= last;
		return [...this.laterProcesses].find(([, span]) => isWithin(span))?.[0];
	}

	/** Returns the number of the idle connection that the next request gets, if it accepts no doubtful one. Undefined if it gets a new one. */
	findNextConnection(): number | undefined {
		const idle = Object.values(this.freeSockets).flatMap(sockets => sockets ?? []);
		return getConnectionNumber(idle.findLast(socket => !socket.destroyed && !isConnectionDoubtful(socket)));
	}
}
