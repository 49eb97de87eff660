/** Refusals as RFC 9457 problems, before and within an answer. */
import {STATUS_CODES, type ServerResponse} from 'node:http';
import {type Duplex} from 'node:stream';
import {Buffer} from 'node:buffer';
import {type ErrorKind, errorAnswers} from '@shallotpass/common/error-kinds.js';
import {computeRetryAfterSeconds, makeProblem} from '@shallotpass/common/problem.js';
import {ServingError} from '@shallotpass/common/serving-error.js';

/** Sends a refusal; in an answer that has begun, ends the stream with an error event and no end mark. */
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
			// The caller was promised a whole body; cutting the connection is the only truthful end.
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
		...(mustClose(error.kind) ? {connection: 'close'} : {}),
	});
	response.end(text);
};

/** Refusals after which the rest of the request would be read in vain. */
const mustClose = (kind: ErrorKind): boolean => kind === 'payload_too_large' || kind === 'draining' || kind === 'request_timeout';

const unavailableStatus = 503;

/** A caller that could not even connect tries again after so many seconds; another connection has ended by then, as a rule. */
const rawRetryAfterSeconds = 1;

/** Refuses on a socket whose request could not be parsed. */
export const sendRawProblem = (socket: Duplex, kind: ErrorKind, detail: string, requestId: string): void => {
	if (!socket.writable) {
		socket.destroy();
		return;
	}

	const text = JSON.stringify(makeProblem(new ServingError(detail, {kind}), requestId));
	const {status} = errorAnswers[kind];
	socket.end([
		`HTTP/1.1 ${status} ${STATUS_CODES[status] ?? 'Error'}`,
		'Content-Type: application/problem+json',
		`Content-Length: ${Buffer.byteLength(text)}`,
		`X-Request-Id: ${requestId}`,
		'Connection: close',
		...(errorAnswers[kind].status === unavailableStatus ? [`Retry-After: ${rawRetryAfterSeconds}`] : []),
		'',
		text,
	].join('\r\n'));
};
