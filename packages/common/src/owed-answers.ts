/** Counts the answers that a process owes. Each request whose head was read is owed one whole answer, until it is delivered or the caller has left. */
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
	/** States why a connection is about to be closed, so that the answers still owed on it are reported with this reason. */
	readonly stateReason: (socket: net.Socket, reason: string) => void;
	/** Called with each answer that ends before it was delivered whole. Set by the owner. */
	onUnfinished: (answer: UnfinishedAnswer) => void;
	/** Reports all answers that are still owed, as the process ends. */
	readonly reportAll: () => void;
};

type Connection = {
	owed: number;
	isEnding: boolean;
	reason: string | undefined;
	readonly settledListeners: Array<() => void>;
};

type OwedAnswer = Pick<UnfinishedAnswer, 'request' | 'response'> & {readonly bytesBefore: number};

const findReason = ({errored, readableEnded}: net.Socket): UnfinishedReason => {
	if (errored !== null) {
		return 'caller_reset';
	}

	return readableEnded ? 'caller_closed' : 'connection_closed';
};

export const makeOwedAnswers = (): OwedAnswers => {
	const owed = new Set<OwedAnswer>();
	const connections = new WeakMap<net.Socket, Connection>();

	const getConnection = (socket: net.Socket): Connection => {
		const known = connections.get(socket);
		if (known !== undefined) {
			return known;
		}

		const connection = {
			owed: 0, isEnding: false, reason: undefined, settledListeners: [],
		};
		connections.set(socket, connection);
		return connection;
	};

	const describeUnfinished = ({request, response, bytesBefore}: OwedAnswer, reason: string): UnfinishedAnswer => ({
		request,
		response,
		reason,
		wasRead: request.complete,
		sentBytes: request.socket.bytesWritten - request.socket.writableLength - bytesBefore,
		unsentBytes: request.socket.writableLength,
	});

	const owedAnswers: OwedAnswers = {
		add(request, response) {
			const {socket} = request;
			const connection = getConnection(socket);
			if (connection.isEnding) {
				return false;
			}

			const answer: OwedAnswer = {request, response, bytesBefore: socket.bytesWritten - socket.writableLength};
			owed.add(answer);
			connection.owed++;
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
				if (connection.owed === 0) {
					for (const listener of connection.settledListeners.splice(0)) {
						listener();
					}
				}
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

			connection.settledListeners.push(listener);
		},
		stateReason(socket, reason) {
			getConnection(socket).reason = reason;
		},
		onUnfinished() {/* set by the owner */},
		reportAll() {
			for (const answer of owed) {
				owedAnswers.onUnfinished(describeUnfinished(answer, connections.get(answer.request.socket)?.reason ?? 'process_ended'));
			}
		},
	};
	return owedAnswers;
};
