/**
 * One stream of a model engine. It hands over the text to pass on, batch by
 * batch as it comes off the connection, within the event that brought it: a
 * promise for each chunk would cost more than all else that is done with it.
 */
import {StringDecoder} from 'node:string_decoder';
import {ServingError} from '@shallotpass/common/serving-error.js';
import {createParser} from 'eventsource-parser';
import {type Dispatcher} from 'undici';
import {BackendCallError} from './call-plain.js';
import {type BackendConnections, isConnectFailure} from './backend-connections.js';
import {
	makeChunkCollector, makeInvalidAnswer, type StreamBatch, type StreamPosition,
} from './collect-chunks.js';

type EngineCall = {
	readonly address: string;
	/** The caller's body, parsed; `resume` is added to it. */
	readonly body: Readonly<Record<string, unknown>>;
	readonly priority: number;
	readonly requestId: string;
	readonly traceparent?: string;
	readonly position: StreamPosition;
	readonly signal: AbortSignal;
};

/** Who gets the stream. */
export type StreamSink = {
	/** False when there is no room for more. */
	readonly take: (batch: StreamBatch) => boolean;
	/** Resolves when there is room again, or nobody left to need it. */
	readonly waitForRoom: () => Promise<void>;
};

/** An engine that sends so much without an event is not speaking SSE. */
const longestEventCharacters = 4 * 1024 * 1024;

/** Of the text of a refusal so much is kept. */
const keptRefusalCharacters = 200;

/** After its end mark a body may stay open for so long before its connection is closed. */
const endWithinMs = 1000;

const okStatus = 200;

const makeBody = (call: EngineCall): string => {
	const {position} = call;
	const resume = position.id === undefined || position.tokens === 0
		? {}
		: {resume: {id: position.id, after: position.tokens - 1}};
	return JSON.stringify({
		...call.body, stream: true, priority: call.priority, ...resume,
	});
};

const makeHeaders = (call: EngineCall): Record<string, string> => ({
	'content-type': 'application/json',
	accept: 'text/event-stream',
	'x-request-id': call.requestId,
	...(call.traceparent === undefined ? {} : {traceparent: call.traceparent}),
});

/** Status of a refusal that a different engine may not share. */
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
	/** Gives what the bytes complete; throws ServingError when they are no stream of this answer. */
	readonly read: (bytes: Uint8Array) => StreamBatch;
};

const makeChunkReader = (start: StreamPosition): ChunkReader => {
	const collector = makeChunkCollector(start);
	const decoder = new StringDecoder('utf8');
	let sinceEvent = 0;
	const parser = createParser({
		onEvent(event) {
			sinceEvent = 0;
			collector.push(event);
		},
		onError(error) {
			// Fields that SSE does not know are passed over, as its specification says.
			if (error.type !== 'unknown-field') {
				throw makeInvalidAnswer(`the engine sent broken SSE: ${error.message}`);
			}
		},
	});
	return {
		read(bytes) {
			sinceEvent += bytes.length;
			parser.feed(decoder.write(bytes));
			if (sinceEvent > longestEventCharacters) {
				throw makeInvalidAnswer('the engine sent an event that does not end');
			}

			return collector.take();
		},
	};
};

type Settle = {
	readonly resolve: () => void;
	readonly reject: (error: Error) => void;
};

/** Follows one request at the connection, from its first byte until its answer is whole or given up. */
const makeStreamHandler = (call: EngineCall, sink: StreamSink, settle: Settle): Dispatcher.DispatchHandler => {
	const reader = makeChunkReader(call.position);
	let controller: Dispatcher.DispatchController | undefined;
	let refusedWith: number | undefined;
	let refusal = '';
	let isSettled = false;
	let endTimer: NodeJS.Timeout | undefined;

	const settleOnce = (act: () => void): void => {
		if (isSettled) {
			return;
		}

		isSettled = true;
		call.signal.removeEventListener('abort', onAbort);
		act();
	};

	const fail = (error: Error): void => {
		settleOnce(() => {
			settle.reject(error);
			controller?.abort(error);
		});
	};

	const onAbort = (): void => {
		fail(new BackendCallError('the call was aborted', {cause: call.signal.reason, wasSent: true}));
	};

	/** The answer is whole; its body has a while to end, so that the connection can be kept. */
	const finish = (): void => {
		settleOnce(settle.resolve);
		endTimer = setTimeout(() => {
			controller?.abort(new Error('the stream did not end after its end mark'));
		}, endWithinMs).unref();
	};

	const waitForRoom = async (): Promise<void> => {
		controller?.pause();
		await sink.waitForRoom();
		controller?.resume();
	};

	const pass = (batch: StreamBatch): void => {
		if (batch.text !== '' && !sink.take(batch) && !batch.isDone) {
			void waitForRoom();
		}

		if (batch.isDone) {
			finish();
		}
	};

	const readRefusal = (status: number, bytes: Uint8Array): void => {
		refusal += new TextDecoder().decode(bytes);
		if (refusal.length >= keptRefusalCharacters) {
			fail(new EngineRefusal(status, refusal.slice(0, keptRefusalCharacters)));
		}
	};

	/** The body has ended, which is a fault unless the answer is whole; most are, and an error with its stack is dear. */
	const noteEnd = (detail: string, cause?: Error): void => {
		clearTimeout(endTimer);
		if (isSettled) {
			return;
		}

		fail(refusedWith === undefined
			? new BackendCallError(detail, {cause, wasSent: !isConnectFailure(cause)})
			: new EngineRefusal(refusedWith, refusal));
	};

	call.signal.addEventListener('abort', onAbort, {once: true});
	return {
		onRequestStart(started) {
			controller = started;
			if (isSettled) {
				started.abort(new Error('given up before it was sent'));
			}
		},
		onResponseStart(_controller, status, headers) {
			if (status < okStatus) {
				return;
			}

			const echoed = headers['x-request-id'];
			if (echoed !== undefined && echoed !== call.requestId) {
				fail(new ServingError('the engine answered with the id of a different request', {kind: 'mismatched_answer'}));
				return;
			}

			refusedWith = status === okStatus ? undefined : status;
		},
		onResponseData(_controller, bytes) {
			if (isSettled) {
				// Nothing comes after the end mark; what does is not of this answer.
				controller?.abort(new Error('data after the end mark'));
				return;
			}

			if (refusedWith !== undefined) {
				readRefusal(refusedWith, bytes);
				return;
			}

			try {
				pass(reader.read(bytes));
			} catch (error) {
				fail(error instanceof Error ? error : makeInvalidAnswer('the stream cannot be read'));
			}
		},
		onResponseEnd() {
			noteEnd('the stream ended before its end mark');
		},
		onResponseError(_controller, error) {
			noteEnd(error.message, error);
		},
	};
};

/**
 * Streams one answer from one engine into the sink, from `position` on.
 *
 * Throws BackendCallError when the engine cannot be reached or breaks off,
 * EngineRefusal when it refuses, and ServingError when what it sends is broken
 * or belongs to another request; the connection is then closed.
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
