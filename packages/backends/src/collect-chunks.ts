/** Turns the events of an engine's stream into text for the caller, and keeps where the stream stands. */
import {ServingError} from '@shallotpass/common/serving-error.js';
import {type EventSourceMessage} from 'eventsource-parser';
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

export type ChunkCollector = {
	/** Throws ServingError when the event is broken or of another stream. */
	readonly push: (event: EventSourceMessage) => void;
	readonly take: () => StreamBatch;
};

export const makeInvalidAnswer = (detail: string): ServingError => new ServingError(detail, {kind: 'invalid_backend_answer'});

/** Collects the events of one network chunk, so that the caller gets them in one write. */
export const makeChunkCollector = (start: StreamPosition): ChunkCollector => {
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
			throw makeInvalidAnswer('the engine sent an event that is not JSON');
		}

		if (!isChatChunk(chunk)) {
			throw makeInvalidAnswer('the engine sent an event that is no chunk of a chat completion');
		}

		checkId(chunk.id);
		const isToken = isTokenChunk(chunk);
		const isFinish = isFinishChunk(chunk);
		// A resumed stream opens like a new one; what the caller has seen of that is left out.
		if (start.hasStarted && tokens === 0 && !isToken && !isFinish && position.tokens === start.tokens) {
			return;
		}

		tokens += isToken ? 1 : 0;
		const isRenamed = callerId !== undefined && callerId !== chunk.id;
		text += `data: ${isRenamed ? JSON.stringify({...chunk, id: callerId}) : data}\n\n`;
		position = {
			id: callerId ?? chunk.id,
			tokens: position.tokens + (isToken ? 1 : 0),
			hasStarted: true,
			isFinished: position.isFinished || isFinish,
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
