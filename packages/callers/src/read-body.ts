import {Buffer} from 'node:buffer';
import {type IncomingMessage} from 'node:http';
import {ServingError} from '@shallotpass/common/serving-error.js';

const refuseTooLarge = (mostBytes: number): never => {
	throw new ServingError(`the body is larger than ${mostBytes} bytes`, {kind: 'payload_too_large'});
};

/** Refuses a body that says it is too large before reading it. */
export const checkBodyLength = (request: IncomingMessage, mostBytes: number): void => {
	if (Number(request.headers['content-length'] ?? 0) > mostBytes) {
		refuseTooLarge(mostBytes);
	}
};

/** Reads the whole body; refuses one that grows past the bound. */
export const readCallerBody = async (request: IncomingMessage, mostBytes: number): Promise<Uint8Array> => {
	checkBodyLength(request, mostBytes);
	const chunks: Uint8Array[] = [];
	let length = 0;
	try {
		for await (const chunk of request as AsyncIterable<Uint8Array>) {
			length += chunk.length;
			if (length > mostBytes) {
				refuseTooLarge(mostBytes);
			}

			chunks.push(chunk);
		}
	} catch (error) {
		if (error instanceof ServingError) {
			throw error;
		}

		throw new ServingError('the body was not sent whole', {kind: 'invalid_request', cause: error});
	}

	return Buffer.concat(chunks);
};
