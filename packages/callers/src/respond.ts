/** Sends errors as RFC 9457 problem details, before or within a response. */
import {STATUS_CODES, type ServerResponse} from 'node:http';
import {type Socket} from 'node:net';
import {Buffer} from 'node:buffer';
import {discardRest} from '@shallotpass/common/close-gently.js';
import {type ErrorKind, errorResponses} from '@shallotpass/common/error-kinds.js';
import {computeRetryAfterSeconds, makeProblem} from '@shallotpass/common/problem.js';
import {ServingError} from '@shallotpass/common/serving-error.js';

type Exchange = {
	readonly response: ServerResponse;
	/** Connection of the caller. */
	readonly socket: Socket;
};

/** Sends an error response. If an event stream has already begun, ends it with an error event and without the end marker. */
export const sendProblem = ({response, socket}: Exchange, error: ServingError, requestId: string, now: number): void => {
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
		...(shouldCloseConnection(error.kind, {response, socket}) ? {connection: 'close'} : {}),
	});
	response.end(text);
};

/** Whether the connection is closed after the error, because reading the rest of the request would be useless. */
const shouldCloseConnection = (kind: ErrorKind, {response, socket}: Exchange): boolean =>
	isReadInPart(kind) ? discardRest(response.req, socket) : kind === 'request_timeout';

/** Whether an error of this kind may come while the body is read. */
export const isReadInPart = (kind: ErrorKind): boolean => kind === 'payload_too_large' || kind === 'over_capacity';

const unavailableStatus = 503;

/** Retry-After for refused connections. Another connection has usually ended by then. */
const rawRetryAfterSeconds = 1;

/** Formats an error response to what could not be read as a request, behind which the connection is closed. */
export const formatRawProblem = (kind: ErrorKind, detail: string, requestId: string): string => {
	const text = JSON.stringify(makeProblem(new ServingError(detail, {kind}), requestId));
	const {status} = errorResponses[kind];
	return [
		`HTTP/1.1 ${status} ${STATUS_CODES[status] ?? 'Error'}`,
		'Content-Type: application/problem+json',
		`Content-Length: ${Buffer.byteLength(text)}`,
		`X-Request-Id: ${requestId}`,
		'Connection: close',
		...(errorResponses[kind].status === unavailableStatus ? [`Retry-After: ${rawRetryAfterSeconds}`] : []),
		'',
		text,
	].join('\r\n');
};
