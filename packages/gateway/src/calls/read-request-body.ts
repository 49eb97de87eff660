/** Reads a complete request body up to a size limit. */
import {Buffer} from 'node:buffer';
import {type IncomingMessage} from 'node:http';

export type BodyResult =
	| {readonly kind: 'whole'; readonly body: Buffer}
	| {readonly kind: 'too_large'}
	| {readonly kind: 'broken'};

/**
 * Buffers the complete body before a call is sent. A call that no backend server has run can then be
 * sent to another one, and a slow caller does not occupy a backend server.
 */
export const readRequestBody = async (request: IncomingMessage, maxBytes: number): Promise<BodyResult> => new Promise(resolve => {
	// Its caller may have left before it is read: no event tells of it any more.
	if (request.destroyed) {
		resolve({kind: 'broken'});
		return;
	}

	const chunks: Buffer[] = [];
	let receivedBytes = 0;
	request.on('data', (chunk: Buffer) => {
		receivedBytes += chunk.length;
		if (receivedBytes > maxBytes) {
			request.pause();
			resolve({kind: 'too_large'});
			return;
		}

		chunks.push(chunk);
	});
	request.once('end', () => {
		resolve({kind: 'whole', body: chunks.length === 1 ? chunks[0]! : Buffer.concat(chunks)});
	});
	request.once('error', () => {
		resolve({kind: 'broken'});
	});
	request.once('close', () => {
		resolve({kind: 'broken'});
	});
});
