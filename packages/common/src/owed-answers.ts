/** Counts the answers that a process owes. Each request whose head was read is owed one whole answer, until it is delivered or the caller has left. */
import {type EventEmitter} from 'node:events';
import type http from 'node:http';
import type net from 'node:net';
import {watchConnection} from './watch-connection.js';

/** What ended an answer before it was delivered, if nobody stated a reason before closing the connection. */
export type UnfinishedReason = 'caller_closed' | 'caller_reset' | 'connection_closed' | 'process_ended';

export type UnfinishedAnswer = {
	readonly request: http.IncomingMessage;
	readonly response: http.ServerResponse;
	/** An `UnfinishedReason`, or what `stateReason` was told. */
	readonly reason: string;
	/** Whether the request was read whole. */
	readonly wasRead: boolean;
	/** Bytes that the connection took for this answer and those before it since the request was read. */
	readonly sentBytes: number;
	/** Bytes written to the connection that were still in this process. */
	readonly unsentBytes: number;
};

export type OwedAnswers = {
	/** Begins to owe the answer to a request. Returns false if nothing is owed, as the request was read behind the end of its connection. */
	readonly add: (request: http.IncomingMessage, response: http.ServerResponse) => boolean;
	readonly count: () => number;
	/** Counts the answers that are owed on a connection. */
	readonly countOn: (socket: net.Socket) => number;
	/**
	 * Ends the connection with the answer to this request, if nothing else is owed on it. Requests that are read later are not owed
	 * an answer. Returns whether it is the last one, which must be written whole at once.
	 */
	readonly endWith: (request: http.IncomingMessage) => boolean;
	/** Owes no answer to requests that are read from now on, as the connection is about to be ended. */
	readonly endOn: (socket: net.Socket) => void;
	/** Calls `listener` once when no answer is owed on the connection any more, or at once if none is. */
	readonly onSettled: (socket: net.Socket, listener: () => void) => void;
	/** The request on the connection that is being read: its head was, its end was not. It may have been answered. */
	readonly findUnread: (socket: net.Socket) => UnreadRequest | undefined;
	/** Lists the responses that are owed on a connection, in order. */
	readonly listOn: (socket: net.Socket) => http.ServerResponse[];
	/** Lists all that is owed. */
	readonly list: () => Iterable<{readonly socket: net.Socket; readonly response: http.ServerResponse}>;
	/** Whether requests that are read from now on are owed nothing. */
	readonly isEndingOn: (socket: net.Socket) => boolean;
	/** Calls `listener` each time that an answer on the connection is no longer owed. */
	readonly onEachSettled: (socket: net.Socket, listener: () => void) => void;
	/** How many heads of requests were read on the connection, and when the last answer was out. */
	readonly getProgress: (socket: net.Socket) => ConnectionProgress;
	/** States why a connection is about to be closed, so that the answers still owed on it are reported with this reason. */
	readonly stateReason: (socket: net.Socket, reason: string) => void;
	/** Called with each answer that ends before it was delivered whole. Set by the owner. */
	onUnfinished: (answer: UnfinishedAnswer) => void;
	/** Reports all answers that are still owed, as the process ends. */
	readonly reportAll: () => void;
};

export type UnreadRequest = Pick<UnfinishedAnswer, 'request' | 'response'>;

export type ConnectionProgress = {
	readonly heads: number;
	/** On the clock of `performance.now()`. Undefined before the first answer. */
	readonly lastSettledAt: number | undefined;
};

/** Event of a connection on which an answer is no longer owed. A listener that is kept beside it, by the connection, would keep both from being collected early. */
const settledEvent = Symbol('answer settled');

type Connection = {
	owed: number;
	/** Whether requests that are read from now on are owed nothing. */
	isEnding: boolean;
	heads: number;
	lastSettledAt: number | undefined;
	/** Not kept beyond the end of its answer if it was read whole. */
	newest: UnreadRequest | undefined;
	reason: string | undefined;
	/** Undefined while there was none, as most connections have none. */
	settledListeners: Array<() => void> | undefined;
};

type OwedAnswer = UnreadRequest & {
	/** A request that is read by iteration loses its own. */
	readonly socket: net.Socket;
	readonly bytesBefore: number;
};

const findReason = ({errored, readableEnded}: net.Socket): UnfinishedReason => {
	if (errored !== null) {
		return 'caller_reset';
	}

	return readableEnded ? 'caller_closed' : 'connection_closed';
};

const notifySettled = ({owed, settledListeners}: Connection): void => {
	if (owed > 0) {
		return;
	}

	for (const listener of settledListeners?.splice(0) ?? []) {
		listener();
	}
};

export const makeOwedAnswers = (): OwedAnswers => {
	const owed = new Set<OwedAnswer>();
	const connections = new WeakMap<net.Socket, Connection>();

	const getConnection = (socket: net.Socket): Connection => {
		const known = connections.get(socket);
		if (known !== undefined) {
			return known;
		}

		const connection: Connection = {
			owed: 0, isEnding: false, heads: 0, lastSettledAt: undefined, newest: undefined, reason: undefined, settledListeners: undefined,
		};
		connections.set(socket, connection);
		return connection;
	};

	const describeUnfinished = ({request, response, socket, bytesBefore}: OwedAnswer, reason: string): UnfinishedAnswer => ({
		request,
		response,
		reason,
		wasRead: request.complete,
		sentBytes: socket.bytesWritten - socket.writableLength - bytesBefore,
		unsentBytes: socket.writableLength,
	});

	const owedAnswers: OwedAnswers = {
		add(request, response) {
			const {socket} = request;
			const connection = getConnection(socket);
			if (connection.isEnding) {
				return false;
			}

			const answer: OwedAnswer = {
				request, response, socket, bytesBefore: socket.bytesWritten - socket.writableLength,
			};
			owed.add(answer);
			connection.owed++;
			connection.heads++;
			connection.newest = answer;
			let stopWatching = (): void => {/* A connection that has closed already calls back before it is watched. */};
			const settle = (isDelivered: boolean): void => {
				if (!owed.delete(answer)) {
					return;
				}

				stopWatching();
				if (!isDelivered) {
					owedAnswers.onUnfinished(describeUnfinished(answer, connection.reason ?? findReason(socket)));
				}

				connection.owed--;
				connection.lastSettledAt = performance.now();
				if (request.complete && connection.newest === answer) {
					connection.newest = undefined;
				}

				notifySettled(connection);
				const emitter: EventEmitter = socket;
				emitter.emit(settledEvent);
			};

			stopWatching = watchConnection(socket, () => {
				settle(response.writableFinished);
			});
			response.once('finish', () => {
				settle(true);
			});
			response.once('close', () => {
				settle(response.writableFinished);
			});
			return true;
		},
		count: () => owed.size,
		countOn: socket => connections.get(socket)?.owed ?? 0,
		endWith({socket}) {
			const connection = getConnection(socket);
			if (connection.owed > 1) {
				return false;
			}

			connection.isEnding = true;
			return true;
		},
		endOn(socket) {
			getConnection(socket).isEnding = true;
		},
		onSettled(socket, listener) {
			const connection = getConnection(socket);
			if (connection.owed === 0) {
				listener();
				return;
			}

			connection.settledListeners ??= [];
			connection.settledListeners.push(listener);
		},
		findUnread(socket) {
			const newest = connections.get(socket)?.newest;
			return newest?.request.complete === false ? newest : undefined;
		},
		listOn: socket => [...owed].filter(answer => answer.socket === socket).map(({response}) => response),
		list: () => owed,
		isEndingOn: socket => connections.get(socket)?.isEnding === true,
		onEachSettled(socket, listener) {
			const emitter: EventEmitter = socket;
			emitter.on(settledEvent, listener);
		},
		getProgress: socket => getConnection(socket),
		stateReason(socket, reason) {
			getConnection(socket).reason = reason;
		},
		onUnfinished() {/* set by the owner */},
		reportAll() {
			for (const answer of owed) {
				owedAnswers.onUnfinished(describeUnfinished(answer, connections.get(answer.socket)?.reason ?? 'process_ended'));
			}
		},
	};
	return owedAnswers;
};
