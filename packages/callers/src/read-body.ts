import {Buffer} from 'node:buffer';
import {type IncomingMessage} from 'node:http';
import {type Executed} from '@shallotpass/common/error-kinds.js';
import {ServingError} from '@shallotpass/common/serving-error.js';
import {UnreadableRequestError} from '@shallotpass/common/unreadable-request.js';

const throwTooLarge = (maxBytes: number): never => {
	throw new ServingError(`the body is larger than ${maxBytes} bytes`, {kind: 'payload_too_large'});
};

/** Rejects a request whose Content-Length exceeds the maximum, before its body is read. */
export const checkBodyLength = (request: IncomingMessage, maxBytes: number): void => {
	if (Number(request.headers['content-length'] ?? 0) > maxBytes) {
		throwTooLarge(maxBytes);
	}
};

/** Makes the error for a request that broke off while its body was read. */
export const makeBrokenBodyError = (error: unknown, executed?: Executed): ServingError => new ServingError('the body was not sent whole', {
	kind: error instanceof UnreadableRequestError ? error.inputError.kind : 'invalid_request', cause: error, ...(executed !== undefined && {executed}),
});

/** Reads the whole body; throws if it exceeds the maximum size. */
export const readCallerBody = async (request: IncomingMessage, maxBytes: number): Promise<Uint8Array> => {
	checkBodyLength(request, maxBytes);
	const chunks: Uint8Array[] = [];
	let length = 0;
	try {
		for await (const chunk of request.iterator({destroyOnReturn: false}) as AsyncIterable<Uint8Array>) {
			length += chunk.length;
			if (length > maxBytes) {
				throwTooLarge(maxBytes);
			}

			chunks.push(chunk);
		}
	} catch (error) {
		if (error instanceof ServingError) {
			throw error;
		}

		throw makeBrokenBodyError(error);
	}

	return Buffer.concat(chunks);
};
