/** The open connections of callers, to end them in a drain. */
import type http from 'node:http';
import type net from 'node:net';
import {closeGently} from '@shallotpass/common/close-gently.js';
import {type OwedAnswers} from '@shallotpass/common/owed-answers.js';

export type CallerConnections = {
	readonly countAccepted: () => number;
	readonly countOpen: () => number;
	/** Counts the open connections on which an answer was sent since that moment, on the steady clock, so that callers may still be reading. */
	readonly countAnsweredSince: (moment: number) => number;
	/** Ends the connections on which nothing is owed. `isAnswered`: only those that had an answer already. */
	readonly endSettled: (options: {readonly isAnswered: boolean}) => void;
};

/** Follows the connections of a server, which must not have any yet. */
export const followConnections = (server: http.Server, answers: OwedAnswers): CallerConnections => {
	const sockets = new Set<net.Socket>();
	let accepted = 0;
	server.on('connection', (socket: net.Socket) => {
		accepted++;
		sockets.add(socket);
		socket.once('close', () => {
			sockets.delete(socket);
		});
	});
	const wasAnsweredSince = (socket: net.Socket, moment: number): boolean => (answers.getProgress(socket).lastSettledAt ?? Number.NEGATIVE_INFINITY) >= moment;

	return {
		countAccepted: () => accepted,
		countOpen: () => sockets.size,
		countAnsweredSince: moment => [...sockets].filter(socket => wasAnsweredSince(socket, moment)).length,
		endSettled({isAnswered}) {
			for (const socket of sockets) {
				if (answers.countOn(socket) === 0 && (!isAnswered || wasAnsweredSince(socket, 0))) {
					answers.endOn(socket);
					closeGently(socket);
				}
			}
		},
	};
};
