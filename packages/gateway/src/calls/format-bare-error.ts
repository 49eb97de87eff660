/** Formats the response to what cannot be read as a request. */
import {STATUS_CODES} from 'node:http';
import {errorResponses} from '@shallotpass/common/error-kinds.js';
import {type InputError} from '@shallotpass/common/unreadable-request.js';

/** A response without a body, after which the connection is closed. */
export const formatBareError = ({kind}: InputError): string => {
	const {status} = errorResponses[kind];
	return `HTTP/1.1 ${status} ${STATUS_CODES[status] ?? 'Error'}\r\nContent-Length: 0\r\nConnection: close\r\n\r\n`;
};
