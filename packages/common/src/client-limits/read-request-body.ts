/** Reads a complete request body up to a size limit. */
import {type Buffer} from 'node:buffer';
import {type IncomingMessage} from 'node:http';
import {waitForParser} from '../close-gently.js';
import {type InputError, UnreadableRequestError} from '../unreadable-request.js';
import {makeBodyBlocks} from './body-blocks.js';
import {type BodyHold, type HeldBytes} from './held-bytes.js';

export type BodyResult =
	/** `hold` is to be released when nobody needs the body any more. */
	| {readonly kind: 'whole'; readonly body: Buffer; readonly hold: BodyHold}
	| {readonly kind: 'too_large'}
	/** The bodies of all calls together leave no room for it. */
	| {readonly kind: 'no_room'}
	/** `inputError` is undefined if the caller has left. */
	| {readonly kind: 'broken'; readonly inputError: InputError | undefined};

const describeBroken = ({errored}: IncomingMessage): BodyResult => ({kind: 'broken', inputError: errored instanceof UnreadableRequestError ? errored.inputError : undefined});

/** Returns the length that the request states. Undefined if it states none, or more than may be read. */
const readContentLength = ({headers}: IncomingMessage, maxBytes: number): number | undefined => {
	const length = Number(headers['content-length']);
	return length <= maxBytes ? length : undefined;
};

/**
 * Buffers the complete body before a call is sent. A call that no backend server has run can then be
 * sent to another one, and a slow caller does not occupy a backend server.
 */
export const readRequestBody = async (request: IncomingMessage, maxBytes: number, heldBytes: HeldBytes): Promise<BodyResult> => new Promise(resolve => {
	// It may have broken off before it is read: no event tells of it any more.
	if (request.destroyed) {
		resolve(describeBroken(request));
		return;
	}

	const hold = heldBytes.begin(request.socket, () => {
		if (!isRefused && !isWhole) {
			void refuseWhenParsed('no_room');
		}
	});
	const blocks = makeBodyBlocks(readContentLength(request, maxBytes));
	let receivedBytes = 0;
	let isRefused = false;
	let isWhole = false;
	const refuseWhenParsed = async (kind: 'too_large' | 'no_room'): Promise<void> => {
		isRefused = true;
		hold.release();
		blocks.take();
		request.off('data', onData);
		// What came in the same read is parsed, so that a request behind the body is not lost.
		request.resume();
		await waitForParser();
		resolve({kind});
	};

	const onData = (chunk: Buffer): void => {
		receivedBytes += chunk.length;
		if (receivedBytes > maxBytes) {
			void refuseWhenParsed('too_large');
			return;
		}

		if (!hold.add(blocks.measure(chunk))) {
			// Making room for it may have given it up.
			if (!isRefused) {
				void refuseWhenParsed('no_room');
			}

			return;
		}

		blocks.add(chunk);
	};

	/** A body that is refused may end before that is told, and is not whole without its last chunk. */
	const finish = (result: BodyResult): void => {
		if (!isRefused) {
			resolve(result);
		}
	};

	const finishBroken = (): void => {
		// After the end of a whole body this changes nothing, and what it holds is still needed.
		if (!isWhole) {
			hold.release();
			finish(describeBroken(request));
		}
	};

	if (!heldBytes.hasRoomFor(Math.min(maxBytes, Number(request.headers['content-length'] ?? 0)))) {
		void refuseWhenParsed('no_room');
		return;
	}

	request.on('data', onData);
	request.once('end', () => {
		isWhole = true;
		hold.keep();
		finish({kind: 'whole', body: blocks.take(), hold});
	});
	request.once('error', finishBroken);
	request.once('close', finishBroken);
});
