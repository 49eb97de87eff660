/** Splits a stream of server-sent events at event boundaries, so that no partial event is forwarded. */
import {Buffer} from 'node:buffer';

export type EventSplitter = {
	/** Adds a chunk and returns all events that are now complete as one buffer. */
	readonly push: (chunk: Buffer) => Buffer | undefined;
	/** Id of the last complete event. */
	readonly getLastEventId: () => string | undefined;
	/** Whether part of an incomplete event is buffered. */
	readonly hasPartialEvent: () => boolean;
	/**
	 * Discards a buffered partial event. If a backend server fails in the middle of an event, its partial
	 * event joined with the data of the next one would form an event that neither of them sent.
	 */
	readonly discardPartialEvent: () => void;
};

const lineFeed = 10;

/** Returns the offset after the blank line that ends the last complete event, or -1 if there is none. */
const findLastEventEnd = (buffer: Buffer): number => {
	for (let index = buffer.length - 1; index > 0; index--) {
		if (buffer[index] !== lineFeed) {
			continue;
		}

		const isBlank = buffer[index - 1] === lineFeed || (index > 2 && buffer[index - 1] === 13 && buffer[index - 2] === lineFeed);
		if (isBlank) {
			return index + 1;
		}
	}

	return -1;
};

const parseLastEventId = (events: Buffer): string | undefined => {
	const text = events.toString('latin1');
	const start = Math.max(text.lastIndexOf('\nid:'), text.startsWith('id:') ? 0 : -1);
	if (start === -1) {
		return undefined;
	}

	const valueStart = text.indexOf(':', start) + 1;
	return text.slice(valueStart, text.indexOf('\n', valueStart)).trim();
};

export const makeEventSplitter = (): EventSplitter => {
	let partialEvent: Buffer | undefined;
	let lastEventId: string | undefined;
	return {
		push(chunk) {
			const buffer = partialEvent === undefined ? chunk : Buffer.concat([partialEvent, chunk]);
			const end = findLastEventEnd(buffer);
			if (end === -1) {
				partialEvent = buffer;
				return undefined;
			}

			partialEvent = end === buffer.length ? undefined : buffer.subarray(end);
			const events = buffer.subarray(0, end);
			lastEventId = parseLastEventId(events) ?? lastEventId;
			return events;
		},
		getLastEventId: () => lastEventId,
		hasPartialEvent: () => partialEvent !== undefined,
		discardPartialEvent() {
			partialEvent = undefined;
		},
	};
};
