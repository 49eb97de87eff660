/** Sends errors as RFC 9457 problem details, before or within a response. */
import {STATUS_CODES, type ServerResponse} from 'node:http';
import {type Duplex} from 'node:stream';
import {Buffer} from 'node:buffer';
import {type ErrorKind, errorResponses} from '@shallotpass/common/error-kinds.js';
import {computeRetryAfterSeconds, makeProblem} from '@shallotpass/common/problem.js';
import {ServingError} from '@shallotpass/common/serving-error.js';

/** Sends an error response. If an event stream has already begun, ends it with an error event and without the end marker. */
export const sendProblem = (response: ServerResponse, error: ServingError, requestId: string, now: number): void => {
	if (response.destroyed || response.writableEnded) {
		return;
	}

	const problem = makeProblem(error, requestId);
	if (response.headersSent) {
		const isStream = String(response.getHeader('content-type') ?? '').startsWith('text/event-stream');
		if (isStream) {
			response.end(`event: error\ndata: ${JSON.stringify(problem)}\n\n`);
		} else {
			// The headers announced a complete body, so closing the connection is the only way to signal the error.
			response.destroy();
		}

		return;
	}

	const text = JSON.stringify(problem);
	const retryAfter = computeRetryAfterSeconds(error, now);
	response.writeHead(problem.status, {
		'content-type': 'application/problem+json',
		'content-length': Buffer.byteLength(text),
		'x-request-id': requestId,
		...(retryAfter === undefined ? {} : {'retry-after': String(retryAfter)}),
		...(shouldCloseConnection(error.kind) ? {connection: 'close'} : {}),
	});
	response.end(text);
};

/** Whether the connection is closed after the error, because reading the rest of the request would be useless. */
const shouldCloseConnection = (kind: ErrorKind): boolean => kind === 'payload_too_large' || kind === 'draining' || kind === 'request_timeout';

const unavailableStatus = 503;

/** Retry-After for refused connections. Another connection has usually ended by then. */
const rawRetryAfterSeconds = 1;

/** Writes an error response directly to a socket, for example if its request could not be parsed. */
export const sendRawProblem = (socket: Duplex, kind: ErrorKind, detail: string, requestId: string): void => {
	if (!socket.writable) {
		socket.destroy();
		return;
	}

	const text = JSON.stringify(makeProblem(new ServingError(detail, {kind}), requestId));
	const {status} = errorResponses[kind];
	socket.end([
		`HTTP/1.1 ${status} ${STATUS_CODES[status] ?? 'Error'}`,
		'Content-Type: application/problem+json',
		`Content-Length: ${Buffer.byteLength(text)}`,
		`X-Request-Id: ${requestId}`,
		'Connection: close',
		...(errorResponses[kind].status === unavailableStatus ? [`Retry-After: ${rawRetryAfterSeconds}`] : []),
		'',
		text,
	].join('\r\n'));
};
