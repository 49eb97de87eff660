/** Refuses requests of callers that are not passed to the program, because it has not been loaded or cannot start. */
import type http from 'node:http';
import {finished} from 'node:stream';
import {type Refusal, sendRefusal} from './refusal.js';

/** Returns the id that the caller gave its request. */
export type GetRequestId = (headers: http.IncomingHttpHeaders) => string | undefined;

export type RefuseOptions = {
	readonly request: http.IncomingMessage;
	readonly response: http.ServerResponse;
	readonly refusal: Refusal;
	readonly requestId: string | undefined;
	/** Whether no other answer is owed on the connection, which is closed after this one. */
	readonly isLastOnConnection: () => boolean;
};

/** Reads the request to its end and refuses it then. A connection that is closed with unread bytes is reset, which may destroy the answer. */
export const refuseWhenRead = ({request, response, refusal, requestId, isLastOnConnection}: RefuseOptions): void => {
	// The body may have broken off while its connection still waits for the answer.
	finished(request, () => {
		sendRefusal(response, refusal, requestId, isLastOnConnection);
	});
	request.resume();
};
