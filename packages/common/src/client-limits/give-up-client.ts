/** Ends connections of clients for which there is no room. */
import {closeGently} from '../close-gently.js';
import {type ClientAccount, countOwed} from './client-account.js';

/** Stated for answers that a client did not take. */
export const unreadAnswersReason = 'answers_unread';

/** How a connection was ended: a call was refused as not run, a half request was answered, answers were not taken, or nothing was under way. */
export type GiveUpKind = 'body_refused' | 'head_refused' | 'answers_unread' | 'idle_closed';

const lateHeadAnswer = 'HTTP/1.1 408 Request Timeout\r\nContent-Length: 0\r\nConnection: close\r\n\r\n';

/** What an answer to half a head may take. The connection is needed for another client. */
const closeBounds = {withinMs: 500, discardedBytes: 65_536};

/** Refuses truthfully where the client can still read it, and ends the connection. */
export const giveUpClient = (account: ClientAccount): GiveUpKind => {
	const {socket, answers, giveUpBody} = account;
	account.isGivenUp = true;
	if (giveUpBody !== undefined) {
		giveUpBody();
		return 'body_refused';
	}

	if (countOwed(account) > 0 || socket.writableLength > 0) {
		answers?.stateReason(socket, unreadAnswersReason);
		socket.destroy();
		return 'answers_unread';
	}

	if (account.fieldBytes > 0) {
		answers?.endOn(socket);
		socket.write(lateHeadAnswer);
		closeGently(socket, closeBounds);
		return 'head_refused';
	}

	socket.destroy();
	return 'idle_closed';
};
