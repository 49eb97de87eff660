/** Forwards a plain response to the caller: buffered if it is small, streamed if it is large. */
import {Buffer} from 'node:buffer';
import type http from 'node:http';
import {limitTimerMs} from '@shallotpass/common/value-bounds.js';
import {compareIntervalMs} from './compare-waits.js';
import {type IsComplete} from './backend-exchange.js';
import {breakOffAnswer} from './break-off-answer.js';
import {listEndToEndFields} from './end-to-end-fields.js';

/**
 * Responses up to this size are read completely before anything is sent to the caller, so that an
 * interrupted one can be replaced by a retry or an error response. A typical response has 800 bytes.
 */
const maxBufferedBytes = 131_072;

const noExcludedFields: ReadonlySet<string> = new Set();
const contentLengthField: ReadonlySet<string> = new Set(['content-length']);

export type ForwardResult =
	/** The caller got the complete response, or closed its connection first. */
	| 'passed'
	/** The response was interrupted before any of it was sent to the caller. */
	| 'broken_unseen'
	/** The response was interrupted after a part of it was sent to the caller, whose connection was closed. */
	| 'broken_midway';

const makeResponseFields = (response: http.IncomingMessage, length: number | undefined, isLastOnConnection: boolean): string[] => [
	...listEndToEndFields(response.rawHeaders, length === undefined ? noExcludedFields : contentLengthField),
	...(length === undefined ? [] : ['Content-Length', String(length)]),
	...(isLastOnConnection ? ['Connection', 'close'] : []),
];

export type ForwardOptions = {
	readonly response: http.IncomingMessage;
	readonly isComplete: IsComplete;
	readonly target: http.ServerResponse;
	readonly method: string;
	/** Time after which a body that is buffered may be late. Undefined for none, if the call cannot be repeated. */
	readonly bodyTimeoutMs?: number | undefined;
	/** Whether the body is late after that time. Asked again and again. */
	readonly isBodyLate?: () => boolean;
	/** Called once it is. `giveUp` gives the body up, if nothing of it was sent on. */
	readonly onBodyLate?: (giveUp: () => void) => void;
	/** Called once a part of the body is sent on, so that no other can take its place. */
	readonly onStreaming?: () => void;
	/** Called with the bytes of the body so far. */
	readonly onBytes?: (receivedBytes: number) => void;
	/** Whether the caller's connection is closed after this response. Asked when all of it is at hand. */
	readonly isLastOnConnection: () => boolean;
};

export const forwardPlainResponse = async ({response, isComplete, target, method, isLastOnConnection, bodyTimeoutMs, isBodyLate, onBodyLate, onStreaming, onBytes}: ForwardOptions): Promise<ForwardResult> => new Promise((resolve, reject) => {
	const buffered: Buffer[] = [];
	let receivedBytes = 0;
	let isStreaming = false;
	target.sendDate = false;

	const checkBodyTime = (): void => {
		if (isBodyLate?.() === true) {
			onBodyLate?.(() => {
				if (!isStreaming) {
					response.destroy();
				}
			});
			return;
		}

		bodyTimer = setTimeout(checkBodyTime, compareIntervalMs);
	};

	let bodyTimer = bodyTimeoutMs === undefined ? undefined : setTimeout(checkBodyTime, limitTimerMs(bodyTimeoutMs));

	const startStreaming = (): void => {
		isStreaming = true;
		clearTimeout(bodyTimer);
		onStreaming?.();
		target.writeHead(response.statusCode ?? 502, response.statusMessage, makeResponseFields(response, undefined, false));
		for (const chunk of buffered) {
			target.write(chunk);
		}

		buffered.length = 0;
	};

	response.on('data', (chunk: Buffer) => {
		receivedBytes += chunk.length;
		onBytes?.(receivedBytes);
		if (!isStreaming) {
			buffered.push(chunk);
			if (receivedBytes > maxBufferedBytes) {
				startStreaming();
			}

			return;
		}

		if (!target.write(chunk)) {
			response.pause();
			target.once('drain', () => {
				response.resume();
			});
		}
	});
	const finish = (isBodyComplete: boolean): void => {
		clearTimeout(bodyTimer);
		if (!isBodyComplete) {
			if (isStreaming) {
				breakOffAnswer(target);
			}

			resolve(isStreaming ? 'broken_midway' : 'broken_unseen');
			return;
		}

		if (isStreaming) {
			target.end();
			resolve('passed');
			return;
		}

		const body = Buffer.concat(buffered);
		const length = method === 'HEAD' ? undefined : body.length;
		target.writeHead(response.statusCode ?? 502, response.statusMessage, makeResponseFields(response, length, isLastOnConnection()));
		target.end(body);
		resolve('passed');
	};

	const onResponseClose = async (): Promise<void> => {
		// The proof of the end may take longer than the rest of the body.
		clearTimeout(bodyTimer);
		try {
			finish(await isComplete());
		} catch (error) {
			reject(error instanceof Error ? error : new Error(String(error)));
		}
	};

	// The call may have been given up while it was decided what becomes of its answer.
	if (response.closed) {
		void onResponseClose();
		return;
	}

	response.once('close', onResponseClose);
	response.on('error', () => {
		// Handled on 'close', which follows. Without this listener the error would end the process.
	});
	target.once('close', () => {
		clearTimeout(bodyTimer);
		resolve('passed');
	});
});
