/**
 * Streams a response from a model engine to a sink. Batches are forwarded synchronously in the event
 * that received them, because a promise per chunk would cost more than all other processing of the chunk.
 */
import {StringDecoder} from 'node:string_decoder';
import {hasTooManyHeads} from '@shallotpass/core/retries/informational-heads.js';
import {ServingError} from '@shallotpass/common/serving-error.js';
import {createParser} from 'eventsource-parser';
import {type Dispatcher} from 'undici';
import {BackendCallError} from './call-plain.js';
import {type BackendConnections, isConnectFailure} from './backend-connections.js';
import {checkStatus} from './check-status.js';
import {
	makeChunkCollector, makeInvalidResponseError, type StreamBatch, type StreamPosition,
} from './collect-chunks.js';
import {maxBytesWithoutEvent} from './read-bounds.js';

type EngineCall = {
	readonly address: string;
	/** The caller's parsed request body, to which `resume` is added. */
	readonly body: Readonly<Record<string, unknown>>;
	readonly priority: number;
	readonly requestId: string;
	readonly traceparent?: string;
	readonly position: StreamPosition;
	readonly signal: AbortSignal;
};

/** Receiver of the stream, with backpressure. */
export type StreamSink = {
	/** Returns false if its buffer is full. */
	readonly write: (batch: StreamBatch) => boolean;
	/** Resolves when the buffer has drained or the receiver is gone. */
	readonly waitForDrain: () => Promise<void>;
};

/** Maximum length of the text kept from an error response. */
const maxErrorTextCharacters = 200;

/** If the body does not end within this time after the final event, the connection is closed. */
const bodyEndTimeoutMs = 1000;

const okStatus = 200;

/** Status of an engine whose software has another version than the request expects. It has not run the request. */
export const otherVersionStatus = 421;

const isContinued = ({position}: EngineCall): boolean => position.id !== undefined && position.tokens > 0;

const makeBody = (call: EngineCall): string => {
	const {position} = call;
	const resumeFields = isContinued(call) ? {resume: {id: position.id, after: position.tokens - 1}} : {};
	return JSON.stringify({
		...call.body, stream: true, priority: call.priority, ...resumeFields,
	});
};

const makeHeaders = (call: EngineCall): Record<string, string> => ({
	'content-type': 'application/json',
	accept: 'text/event-stream',
	'x-request-id': call.requestId,
	...(call.traceparent === undefined ? {} : {traceparent: call.traceparent}),
	...(isContinued(call) && call.position.softwareVersion !== undefined ? {'x-expect-software-version': call.position.softwareVersion} : {}),
});

/** Error response of an engine. Another engine may still accept the request. */
export class EngineRefusal extends Error {
	override readonly name = 'EngineRefusal';
	readonly status: number;
	readonly text: string;

	constructor(status: number, text: string) {
		super(`the engine answered with status ${status}`);
		this.status = status;
		this.text = text;
	}
}

type ChunkReader = {
	/** Returns the events that the bytes complete. Throws a ServingError if they are not valid events of this stream. */
	readonly read: (bytes: Uint8Array) => StreamBatch;
};

const makeChunkReader = (start: StreamPosition): ChunkReader => {
	const collector = makeChunkCollector(start);
	const decoder = new StringDecoder('utf8');
	let bytesSinceEvent = 0;
	const parser = createParser({
		onEvent(event) {
			bytesSinceEvent = 0;
			collector.push(event);
		},
		onError(error) {
			// The SSE specification requires that unknown fields are ignored.
			if (error.type !== 'unknown-field') {
				throw makeInvalidResponseError(`the engine sent broken SSE: ${error.message}`);
			}
		},
	});
	return {
		read(bytes) {
			bytesSinceEvent += bytes.length;
			parser.feed(decoder.write(bytes));
			if (bytesSinceEvent > maxBytesWithoutEvent) {
				throw makeInvalidResponseError('the engine sent an event that does not end');
			}

			return collector.takeBatch();
		},
	};
};

type StreamCompletion = {
	readonly resolve: () => void;
	readonly reject: (error: Error) => void;
};

/** Makes the handler of a streaming request, which settles `completion` when the response is complete or has failed. */
const makeStreamHandler = (call: EngineCall, sink: StreamSink, completion: StreamCompletion): Dispatcher.DispatchHandler => {
	let reader = makeChunkReader(call.position);
	let controller: Dispatcher.DispatchController | undefined;
	let errorStatus: number | undefined;
	let errorText = '';
	const startedAt = performance.now();
	let informationalHeads = 0;
	let isSettled = false;
	let endTimer: NodeJS.Timeout | undefined;

	const settle = (complete: () => void): void => {
		if (isSettled) {
			return;
		}

		isSettled = true;
		call.signal.removeEventListener('abort', onAbort);
		complete();
	};

	const fail = (error: Error): void => {
		settle(() => {
			completion.reject(error);
			controller?.abort(error);
		});
	};

	const onAbort = (): void => {
		fail(new BackendCallError('the call was aborted', {cause: call.signal.reason, wasSent: true}));
	};

	/** Called when the response is complete. The body gets some time to end, so that the connection can be reused. */
	const finishStream = (): void => {
		settle(completion.resolve);
		endTimer = setTimeout(() => {
			controller?.abort(new Error('the body did not end after the final event'));
		}, bodyEndTimeoutMs).unref();
	};

	const pauseUntilDrained = async (): Promise<void> => {
		controller?.pause();
		await sink.waitForDrain();
		controller?.resume();
	};

	const forwardBatch = (batch: StreamBatch): void => {
		if (batch.text !== '' && !sink.write(batch) && !batch.isDone) {
			void pauseUntilDrained();
		}

		if (batch.isDone) {
			finishStream();
		}
	};

	const readErrorText = (status: number, bytes: Uint8Array): void => {
		errorText += new TextDecoder().decode(bytes);
		if (errorText.length >= maxErrorTextCharacters) {
			fail(new EngineRefusal(status, errorText.slice(0, maxErrorTextCharacters)));
		}
	};

	/**
	 * Called when the body ends, which is an error unless the response is complete. The error is created only then,
	 * because capturing its stack is expensive and most responses are complete.
	 */
	const handleResponseEnd = (detail: string, cause?: Error): void => {
		clearTimeout(endTimer);
		if (isSettled) {
			return;
		}

		fail(errorStatus === undefined
			? new BackendCallError(detail, {cause, wasSent: !isConnectFailure(cause)})
			: new EngineRefusal(errorStatus, errorText));
	};

	call.signal.addEventListener('abort', onAbort, {once: true});
	return {
		onRequestStart(requestController) {
			controller = requestController;
			if (isSettled) {
				requestController.abort(new Error('aborted before the request was sent'));
			}
		},
		onResponseStart(_controller, status, headers) {
			if (status < okStatus) {
				informationalHeads++;
				if (hasTooManyHeads(informationalHeads, performance.now() - startedAt)) {
					fail(makeInvalidResponseError('the engine sent informational heads that do not end'));
				}

				return;
			}

			checkStatus(status);
			const echoedRequestId = headers['x-request-id'];
			if (echoedRequestId !== undefined && echoedRequestId !== call.requestId) {
				fail(new ServingError('the engine answered with the id of a different request', {kind: 'mismatched_answer'}));
				return;
			}

			const softwareVersion = headers['x-software-version']?.toString();
			if (status === okStatus && isContinued(call) && softwareVersion !== call.position.softwareVersion) {
				// An engine of an earlier version continues any stream, but what two versions write doesn't fit together.
				fail(new EngineRefusal(otherVersionStatus, 'the engine has another software version than the one that began the stream'));
				return;
			}

			errorStatus = status === okStatus ? undefined : status;
			reader = makeChunkReader({...call.position, softwareVersion});
		},
		onResponseData(_controller, bytes) {
			if (isSettled) {
				// The final event has been received, so this data does not belong to the response.
				controller?.abort(new Error('received data after the final event'));
				return;
			}

			if (errorStatus !== undefined) {
				readErrorText(errorStatus, bytes);
				return;
			}

			try {
				forwardBatch(reader.read(bytes));
			} catch (error) {
				fail(error instanceof Error ? error : makeInvalidResponseError('the stream cannot be read'));
			}
		},
		onResponseEnd() {
			handleResponseEnd('the stream ended before its end mark');
		},
		onResponseError(_controller, error) {
			handleResponseEnd(error.message, error);
		},
	};
};

/**
 * Streams one response from one engine into the sink, starting after `position`.
 *
 * Throws a BackendCallError if the engine cannot be reached or the stream is interrupted, an EngineRefusal
 * if the engine responds with an error status, and a ServingError if the response is malformed or belongs
 * to another request. The connection is closed in these cases.
 */
export const streamEngine = async (call: EngineCall, connections: BackendConnections, sink: StreamSink): Promise<void> => new Promise((resolve, reject) => {
	if (call.signal.aborted) {
		reject(new BackendCallError('the call was aborted', {cause: call.signal.reason, wasSent: true}));
		return;
	}

	connections.shared.dispatch({
		origin: `http://${call.address}`,
		method: 'POST',
		path: '/v1/chat/completions',
		headers: makeHeaders(call),
		body: makeBody(call),
	}, makeStreamHandler(call, sink, {resolve, reject}));
});
