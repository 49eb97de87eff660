/** Ends answers that cannot be completed. */
import type http from 'node:http';

/**
 * Ends an answer of which a part was sent, so that the part does not look whole. To a caller of HTTP/1.0, who cannot read chunks, the close of the connection
 * would be the end of the body; only a reset tells it from one.
 */
export const breakOffAnswer = (response: http.ServerResponse): void => {
	if (response.headersSent && response.req.httpVersion === '1.0') {
		response.socket?.resetAndDestroy();
	}

	response.destroy();
};
