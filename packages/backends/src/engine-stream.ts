/**
 * One stream of a model engine. It gives the text to pass on, batch by batch as
 * it comes off the connection, and keeps what is needed to go on elsewhere.
 */
import {StringDecoder} from 'node:string_decoder';
import {ServingError} from '@shallotpass/common/serving-error.js';
import {createParser, type EventSourceMessage} from 'eventsource-parser';
import {type Dispatcher} from 'undici';
import {BackendCallError} from './call-plain.js';
import {type BackendConnections, isConnectFailure} from './backend-connections.js';
import {isChatChunk, isFinishChunk, isTokenChunk} from './openai-format.js';

/** Where a stream stands; enough to resume it at any engine of the model. */
export type StreamPosition = {
	/** Id that the engine gave its chunks; undefined before the first. */
	readonly id: string | undefined;
	/** Token chunks passed on. */
	readonly tokens: number;
	/** Whether anything at all was passed on. */
	readonly hasStarted: boolean;
	readonly isFinished: boolean;
};

export const startOfStream: StreamPosition = {
	id: undefined, tokens: 0, hasStarted: false, isFinished: false,
};

export type StreamBatch = {
	/** SSE text for the caller. */
	readonly text: string;
	readonly tokens: number;
	readonly position: StreamPosition;
	readonly isDone: boolean;
};

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

/** An engine that sends so much without an event is not speaking SSE. */
const longestEventCharacters = 4 * 1024 * 1024;

const invalid = (detail: string): ServingError => new ServingError(detail, {kind: 'invalid_backend_answer'});

const makeBody = (call: EngineCall): string => {
	const {position} = call;
	const resume = position.id === undefined || position.tokens === 0
		? {}
		: {resume: {id: position.id, after: position.tokens - 1}};
	return JSON.stringify({
		...call.body, stream: true, priority: call.priority, ...resume,
	});
};

const readProblem = async (response: Dispatcher.ResponseData): Promise<string> => {
	try {
		const text = await response.body.text();
		return text.slice(0, 200);
	} catch {
		return '';
	}
};

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

const openStream = async (call: EngineCall, connections: BackendConnections): Promise<Dispatcher.ResponseData> => {
	const headers: Record<string, string> = {
		'content-type': 'application/json',
		accept: 'text/event-stream',
		'x-request-id': call.requestId,
	};
	if (call.traceparent !== undefined) {
		headers.traceparent = call.traceparent;
	}

	const response = await connections.shared.request({
		origin: `http://${call.address}`,
		method: 'POST',
		path: '/v1/chat/completions',
		headers,
		body: makeBody(call),
		signal: call.signal,
	});
	const echoed = response.headers['x-request-id'];
	if (echoed !== undefined && echoed !== call.requestId) {
		response.body.on('error', () => {/* it is left unread */});
		response.body.destroy();
		throw new ServingError('the engine answered with the id of a different request', {kind: 'mismatched_answer'});
	}

	if (response.statusCode !== 200) {
		throw new EngineRefusal(response.statusCode, await readProblem(response));
	}

	return response;
};

type Collector = {
	readonly push: (event: EventSourceMessage) => void;
	readonly take: () => StreamBatch;
};

/** Collects the events of one network chunk, so that the caller gets them in one write. */
const makeCollector = (start: StreamPosition): Collector => {
	let position = start;
	const callerId = start.id;
	let engineId: string | undefined;
	let text = '';
	let tokens = 0;
	let isDone = false;

	const checkId = (id: string): void => {
		engineId ??= id;
		if (id !== engineId) {
			throw new ServingError('the engine mixed the chunks of another stream into this one', {kind: 'mismatched_answer'});
		}
	};

	const push = ({data}: EventSourceMessage): void => {
		if (data === '[DONE]') {
			isDone = true;
			text += 'data: [DONE]\n\n';
			return;
		}

		let chunk: unknown;
		try {
			chunk = JSON.parse(data);
		} catch {
			throw invalid('the engine sent an event that is not JSON');
		}

		if (!isChatChunk(chunk)) {
			throw invalid('the engine sent an event that is no chunk of a chat completion');
		}

		checkId(chunk.id);
		const isToken = isTokenChunk(chunk);
		// A resumed stream opens like a new one; what the caller has seen of that is left out.
		if (start.hasStarted && tokens === 0 && !isToken && !isFinishChunk(chunk) && position.tokens === start.tokens) {
			return;
		}

		tokens += isToken ? 1 : 0;
		const isRenamed = callerId !== undefined && callerId !== chunk.id;
		text += `data: ${isRenamed ? JSON.stringify({...chunk, id: callerId}) : data}\n\n`;
		position = {
			id: callerId ?? chunk.id,
			tokens: position.tokens + (isToken ? 1 : 0),
			hasStarted: true,
			isFinished: position.isFinished || isFinishChunk(chunk),
		};
	};

	return {
		push,
		take() {
			const batch = {
				text, tokens, position, isDone,
			};
			text = '';
			tokens = 0;
			return batch;
		},
	};
};

const endWithinMs = 1000;

/** Reads the end of a body after its end mark, so that the connection can be kept; one that does not end is closed. */
const readRest = async (response: Dispatcher.ResponseData, iterator: AsyncIterator<Uint8Array>): Promise<void> => {
	const timer = setTimeout(() => {
		response.body.destroy();
	}, endWithinMs);
	try {
		const next = await iterator.next();
		if (!next.done) {
			response.body.destroy();
		}
	} catch {
		response.body.destroy();
	} finally {
		clearTimeout(timer);
	}
};

/**
 * Streams one answer from one engine, from `position` on.
 *
 * Throws BackendCallError when the engine cannot be reached or breaks off,
 * EngineRefusal when it refuses, and ServingError when what it sends is broken
 * or belongs to another request; the connection is then closed.
 */
export async function * streamEngine(call: EngineCall, connections: BackendConnections): AsyncGenerator<StreamBatch, void, void> {
	let response: Dispatcher.ResponseData;
	try {
		response = await openStream(call, connections);
	} catch (error) {
		if (error instanceof ServingError || error instanceof EngineRefusal) {
			throw error;
		}

		throw new BackendCallError(error instanceof Error ? error.message : 'the call failed', {cause: error, wasSent: !isConnectFailure(error)});
	}

	const collector = makeCollector(call.position);
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
				throw invalid(`the engine sent broken SSE: ${error.message}`);
			}
		},
	});

	let isDone = false;
	const iterator = (response.body as AsyncIterable<Uint8Array>)[Symbol.asyncIterator]();
	try {
		while (!isDone) {
			const next = await iterator.next(); // eslint-disable-line no-await-in-loop -- chunks come one after the other
			if (next.done) {
				break;
			}

			sinceEvent += next.value.length;
			parser.feed(decoder.write(next.value));
			if (sinceEvent > longestEventCharacters) {
				throw invalid('the engine sent an event that does not end');
			}

			const batch = collector.take();
			isDone = batch.isDone;
			if (batch.text !== '') {
				yield batch;
			}
		}
	} catch (error) {
		response.body.destroy();
		if (error instanceof ServingError) {
			throw error;
		}

		throw new BackendCallError(error instanceof Error ? error.message : 'the stream broke off', {cause: error, wasSent: true});
	} finally {
		response.body.on('error', () => {/* nobody reads it any more */});
		if (isDone) {
			void readRest(response, iterator);
		} else {
			response.body.destroy();
		}
	}

	if (!isDone) {
		throw new BackendCallError('the stream ended before its end mark', {wasSent: true});
	}
}
