/** How the end of a body is marked. */
import type http from 'node:http';

/** `connection`: neither by a length nor by chunks, so it ends when its connection closes, wherever that is. */
export type BodyFraming = 'length' | 'chunks' | 'connection';

/** Of the transfer codings only chunks show the end of a body. */
const chunkedPattern = /(?:^|,)\s*chunked\s*$/iv;

/** Returns the framing that the head of an answer states. */
export const getBodyFraming = ({headers}: Pick<http.IncomingMessage, 'headers'>): BodyFraming => {
	if (chunkedPattern.test(headers['transfer-encoding'] ?? '')) {
		return 'chunks';
	}

	return headers['content-length'] === undefined ? 'connection' : 'length';
};

export const isCloseDelimited = (response: Pick<http.IncomingMessage, 'headers'>): boolean => getBodyFraming(response) === 'connection';
