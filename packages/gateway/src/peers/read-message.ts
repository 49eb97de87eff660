/** Reads messages between daemons. */
import {Buffer} from 'node:buffer';
import type http from 'node:http';
import {isJsonTooLarge} from '@shallotpass/common/json-size.js';
import {maxMessageBytes} from '../read-bounds.js';

/** Reads a body of JSON as text. Throws if it is too large or breaks off. */
export const readMessage = async (stream: http.IncomingMessage, maxBytes = maxMessageBytes): Promise<string> => {
	const chunks: Buffer[] = [];
	let bytes = 0;
	for await (const chunk of stream as AsyncIterable<Buffer>) {
		bytes += chunk.length;
		if (bytes > maxBytes) {
			throw new Error('peer message exceeds the size limit');
		}

		chunks.push(chunk);
	}

	const message = Buffer.concat(chunks);
	if (isJsonTooLarge(message)) {
		throw new Error('peer message has too many values');
	}

	return message.toString('utf8');
};
