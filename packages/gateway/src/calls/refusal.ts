/** Error responses that the daemon itself sends. */
import {Buffer} from 'node:buffer';
import {type ServerResponse} from 'node:http';
import {discardRest} from '@shallotpass/common/close-gently.js';
import {type ErrorKind, errorResponses} from '@shallotpass/common/error-kinds.js';
import {breakOffAnswer} from './break-off-answer.js';

export type Refusal = {
	readonly kind: ErrorKind;
	readonly detail: string;
	/** Seconds after which the caller may retry; set only if the call has not run. */
	readonly retryAfterS?: number;
	/** Whether the body was read in part only, so that nothing more can be read from the connection. */
	readonly isReadInPart?: boolean;
};

/** Sends the error response. `isLastOnConnection` tells whether the connection is closed after it. If the response has already started, closes the connection instead. */
export const sendRefusal = (response: ServerResponse, refusal: Refusal, requestId: string | undefined, isLastOnConnection: () => boolean): void => {
	if (response.headersSent || response.destroyed) {
		breakOffAnswer(response);
		return;
	}

	const {status, title, executed} = errorResponses[refusal.kind];
	const isLast = isLastOnConnection() || (refusal.isReadInPart === true && discardRest(response.req, response.req.socket));
	const body = JSON.stringify({
		kind: refusal.kind, title, detail: refusal.detail, executed,
	});
	response.writeHead(status, [
		'Content-Type',
		'application/problem+json',
		'Content-Length',
		String(Buffer.byteLength(body)),
		...(requestId === undefined ? [] : ['X-Request-Id', requestId]),
		...(refusal.retryAfterS === undefined ? [] : ['Retry-After', refusal.retryAfterS.toFixed(2)]),
		...(isLast ? ['Connection', 'close'] : []),
	]);
	response.end(body);
};
