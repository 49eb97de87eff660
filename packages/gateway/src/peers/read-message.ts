/** Reads messages between daemons. */
import {Buffer} from 'node:buffer';
import type http from 'node:http';

/** Largest message accepted from a peer. A configuration of 350 routes has 100 kB. */
const maxMessageBytes = 16_777_216;

/** Reads a body as text. Throws if it is too large or breaks off. */
export const readMessage = async (stream: http.IncomingMessage): Promise<string> => {
	const chunks: Buffer[] = [];
	let bytes = 0;
	for await (const chunk of stream as AsyncIterable<Buffer>) {
		bytes += chunk.length;
		if (bytes > maxMessageBytes) {
			throw new Error('peer message exceeds the size limit');
		}

		chunks.push(chunk);
	}

	return Buffer.concat(chunks).toString('utf8');
};
