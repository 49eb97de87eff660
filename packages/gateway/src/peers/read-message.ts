/** Reads messages between daemons. */
import {Buffer} from 'node:buffer';
import type http from 'node:http';
import {type HeldBytes} from '@shallotpass/common/client-limits/held-bytes.js';
import {readRequestBody} from '@shallotpass/common/client-limits/read-request-body.js';
import {isJsonTooLarge} from '@shallotpass/common/json-size.js';
import {maxMessageBytes} from '../read-bounds.js';

const checkMessage = (message: Buffer): string => {
	if (isJsonTooLarge(message)) {
		throw new Error('peer message has too many values');
	}

	return message.toString('utf8');
};

/** Reads the body of a peer's answer, JSON, as text. Throws if it is too large or breaks off. */
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

	return checkMessage(Buffer.concat(chunks));
};

/** Reads the body of a request, JSON, as text. Whoever sends it may not be a peer. Throws if it is too large, there is no room for it, or it breaks off. */
export const readRequestMessage = async (request: http.IncomingMessage, heldBytes: HeldBytes): Promise<string> => {
	const result = await readRequestBody(request, maxMessageBytes, heldBytes);
	if (result.kind !== 'whole') {
		throw new Error(`the message of a peer cannot be read: ${result.kind}`);
	}

	try {
		return checkMessage(result.body);
	} finally {
		result.hold.release();
	}
};
