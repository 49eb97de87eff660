/** Reads a complete request body up to a size limit. */
import {Buffer} from 'node:buffer';
import {type IncomingMessage} from 'node:http';
import {waitForParser} from '@shallotpass/common/close-gently.js';
import {type InputError, UnreadableRequestError} from '@shallotpass/common/unreadable-request.js';

export type BodyResult =
	| {readonly kind: 'whole'; readonly body: Buffer}
	| {readonly kind: 'too_large'}
	/** `inputError` is undefined if the caller has left. */
	| {readonly kind: 'broken'; readonly inputError: InputError | undefined};

const describeBroken = ({errored}: IncomingMessage): BodyResult => ({kind: 'broken', inputError: errored instanceof UnreadableRequestError ? errored.inputError : undefined});

/**
 * Buffers the complete body before a call is sent. A call that no backend server has run can then be
 * sent to another one, and a slow caller does not occupy a backend server.
 */
export const readRequestBody = async (request: IncomingMessage, maxBytes: number): Promise<BodyResult> => new Promise(resolve => {
	// It may have broken off before it is read: no event tells of it any more.
	if (request.destroyed) {
		resolve(describeBroken(request));
		return;
	}

	const chunks: Buffer[] = [];
	let receivedBytes = 0;
	let isTooLarge = false;
	const refuseWhenParsed = async (): Promise<void> => {
		isTooLarge = true;
		request.off('data', onData);
		request.pause();
		await waitForParser();
		resolve({kind: 'too_large'});
	};

	const onData = (chunk: Buffer): void => {
		receivedBytes += chunk.length;
		if (receivedBytes > maxBytes) {
			void refuseWhenParsed();
			return;
		}

		chunks.push(chunk);
	};

	/** A body that is too large may end before that is told, and is not whole without its last chunk. */
	const finish = (result: BodyResult): void => {
		if (!isTooLarge) {
			resolve(result);
		}
	};

	request.on('data', onData);
	request.once('end', () => {
		finish({kind: 'whole', body: chunks.length === 1 ? chunks[0]! : Buffer.concat(chunks)});
	});
	request.once('error', () => {
		finish(describeBroken(request));
	});
	request.once('close', () => {
		finish(describeBroken(request));
	});
});
