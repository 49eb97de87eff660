/** The open connections of callers, to end them in a drain. */
import type http from 'node:http';
import type net from 'node:net';
import {type OwedAnswers} from '@shallotpass/common/owed-answers.js';
import {endConnection} from './end-connection.js';

type Connection = {
	/** When an answer on it was last handed to the system, on the steady clock. Undefined before the first one. */
	answeredAt: number | undefined;
	isEnded: boolean;
};

export type CallerConnections = {
	readonly countAccepted: () => number;
	readonly countOpen: () => number;
	/** Counts the open connections on which an answer was sent since that moment, so that callers may still be reading. */
	readonly countAnsweredSince: (moment: number) => number;
	/** Ends the connections on which nothing is owed. `isAnswered`: only those that had an answer already. */
	readonly endSettled: (options: {readonly isAnswered: boolean}) => void;
};

/** Follows the connections of a server, which must not have any yet. */
export const followConnections = (server: http.Server, answers: OwedAnswers, steady: () => number): CallerConnections => {
	const connections = new Map<net.Socket, Connection>();
	let accepted = 0;
	server.on('connection', (socket: net.Socket) => {
		const connection: Connection = {answeredAt: undefined, isEnded: false};
		accepted++;
		connections.set(socket, connection);
		socket.once('close', () => {
			connections.delete(socket);
		});
		// Node calls it behind an answer that says close, and closes the connection whether or not all was read.
		socket.destroySoon = () => {
			if (!connection.isEnded) {
				connection.isEnded = true;
				answers.endOn(socket);
				endConnection(socket);
			}
		};
	});
	for (const event of ['request', 'checkContinue']) {
		server.on(event, ({socket}: http.IncomingMessage, response: http.ServerResponse) => {
			response.once('finish', () => {
				const connection = connections.get(socket);
				if (connection !== undefined) {
					connection.answeredAt = steady();
				}
			});
		});
	}

	return {
		countAccepted: () => accepted,
		countOpen: () => connections.size,
		countAnsweredSince: moment => [...connections.values()].filter(({answeredAt}) => answeredAt !== undefined && answeredAt >= moment).length,
		endSettled({isAnswered}) {
			for (const [socket, {answeredAt, isEnded}] of connections) {
				if (!isEnded && answers.countOn(socket) === 0 && (answeredAt !== undefined || !isAnswered)) {
					socket.destroySoon();
				}
			}
		},
	};
};
