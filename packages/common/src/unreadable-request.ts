/** Breaks off requests whose rest cannot be read, without closing the connection on which they are answered. */
import type http from 'node:http';
import {type ErrorKind} from './error-kinds.js';

export type InputError = {
	readonly kind: Extract<ErrorKind, 'invalid_request' | 'headers_too_large' | 'request_timeout' | 'method_not_allowed'>;
	/** Code of the parser's error, or what ended the input. */
	readonly reason: string;
};

/** What readers of a request get that was broken off. */
export class UnreadableRequestError extends Error {
	constructor(readonly inputError: InputError) {
		super(`The request cannot be read: ${inputError.reason}.`);
	}
}

/** Fails the request for its readers, also for those that begin to read it later. */
export const breakOffRequest = (request: http.IncomingMessage, inputError: InputError): void => {
	// Without a listener an error ends the process.
	request.on('error', () => {/* told to its reader, if it has one */});
	// A request that is destroyed takes its connection with it, and the answers that are owed on that.
	request._destroy = (error, callback) => {
		callback(error);
	};

	request.destroy(new UnreadableRequestError(inputError));
};
