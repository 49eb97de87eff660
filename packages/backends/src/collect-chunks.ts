/** Converts the events of an engine's stream into text for the caller and tracks the position in the stream. */
import {ServingError} from '@shallotpass/common/serving-error.js';
import {type EventSourceMessage} from 'eventsource-parser';
import {isChatChunk, isFinishChunk, isTokenChunk} from './openai-format.js';

/** Position in a stream, sufficient to resume the stream on any engine of the model. */
export type StreamPosition = {
	/** Chunk id that the caller sees; undefined before the first chunk. */
	readonly id: string | undefined;
	/** Number of token chunks forwarded. */
	readonly tokens: number;
	/** Whether any chunk was forwarded. */
	readonly hasStarted: boolean;
	readonly isFinished: boolean;
	/** Version of the software of the engine that began the stream. Undefined if it tells none, as engines of earlier versions. */
	readonly softwareVersion: string | undefined;
};

export const initialStreamPosition: StreamPosition = {
	id: undefined, tokens: 0, hasStarted: false, isFinished: false, softwareVersion: undefined,
};

export type StreamBatch = {
	/** Server-sent events (SSE) as text for the caller. */
	readonly text: string;
	readonly tokens: number;
	readonly position: StreamPosition;
	readonly isDone: boolean;
};

export type ChunkCollector = {
	/** Throws a ServingError if the event is malformed or belongs to another stream. */
	readonly push: (event: EventSourceMessage) => void;
	/** Returns the events collected since the last call. */
	readonly takeBatch: () => StreamBatch;
};

export const makeInvalidResponseError = (detail: string): ServingError => new ServingError(detail, {kind: 'invalid_backend_answer'});

/** Makes a collector that batches the events of one network chunk, so that they are sent to the caller in one write. */
export const makeChunkCollector = (start: StreamPosition): ChunkCollector => {
	let position = start;
	const outgoingId = start.id;
	let engineId: string | undefined;
	let text = '';
	let tokens = 0;
	let isDone = false;

	const verifyStreamId = (id: string): void => {
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
			throw makeInvalidResponseError('the engine sent an event that is not JSON');
		}

		if (!isChatChunk(chunk)) {
			throw makeInvalidResponseError('the engine sent an event that is no chunk of a chat completion');
		}

		verifyStreamId(chunk.id);
		const isToken = isTokenChunk(chunk);
		const isFinish = isFinishChunk(chunk);
		// A resumed stream starts with the same opening chunks as a new one. They are skipped if the caller already has them.
		if (start.hasStarted && tokens === 0 && !isToken && !isFinish && position.tokens === start.tokens) {
			return;
		}

		tokens += isToken ? 1 : 0;
		const isIdReplaced = outgoingId !== undefined && outgoingId !== chunk.id;
		text += `data: ${isIdReplaced ? JSON.stringify({...chunk, id: outgoingId}) : data}\n\n`;
		position = {
			id: outgoingId ?? chunk.id,
			tokens: position.tokens + (isToken ? 1 : 0),
			hasStarted: true,
			isFinished: position.isFinished || isFinish,
			softwareVersion: position.softwareVersion,
		};
	};

	return {
		push,
		takeBatch() {
			const batch = {
				text, tokens, position, isDone,
			};
			text = '';
			tokens = 0;
			return batch;
		},
	};
};
