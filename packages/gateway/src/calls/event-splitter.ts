/** Splits a stream of server-sent events at event boundaries, so that no partial event is forwarded. */
import {Buffer} from 'node:buffer';
import {type GrowingBuffer, makeGrowingBuffer} from '@shallotpass/common/growing-buffer.js';

export type EventSplitter = {
	/** Adds a chunk and returns all events that are now complete as one buffer, with the comments before them. */
	readonly push: (chunk: Buffer) => Buffer | undefined;
	/** Returns comments that no event has followed, once the stream has ended. */
	readonly takeComments: () => Buffer | undefined;
	/** Id of the last complete event. */
	readonly getLastEventId: () => string | undefined;
	/** Whether part of an incomplete block is buffered. */
	readonly hasPartialEvent: () => boolean;
	/** Number of bytes since the end of the last block with an event. Comments are no progress. */
	readonly countBytesWithoutEvent: () => number;
	/** Number of bytes of complete comments since then. */
	readonly countCommentBytes: () => number;
	/**
	 * Discards a buffered partial event, and comments before it. If a backend server fails in the middle of an event, its partial
	 * event joined with the data of the next one would form an event that neither of them sent.
	 */
	readonly discardPartialEvent: () => void;
};

const lineFeed = 10;
const carriageReturn = 13;

/** Returns the offset in the chunk after the blank line that ends the last complete block, or -1 if there is none. The line may begin in the block's part before the chunk. */
const findLastBlockEnd = (chunk: Buffer, before: GrowingBuffer): number => {
	const getByte = (offset: number): number | undefined => offset >= 0 ? chunk[offset] : before.getFromEnd(-offset);
	for (let index = chunk.length - 1; index >= 0; index--) {
		if (chunk[index] !== lineFeed) {
			continue;
		}

		const previous = getByte(index - 1);
		if (previous === lineFeed || (previous === carriageReturn && getByte(index - 2) === lineFeed)) {
			return index + 1;
		}
	}

	return -1;
};

const parseLastEventId = (text: string): string | undefined => {
	const start = Math.max(text.lastIndexOf('\nid:'), text.startsWith('id:') ? 0 : -1);
	if (start === -1) {
		return undefined;
	}

	const valueStart = text.indexOf(':', start) + 1;
	return text.slice(valueStart, text.indexOf('\n', valueStart)).trim();
};

const hasEvent = (text: string): boolean => text.startsWith('data') || text.includes('\ndata');

export const makeEventSplitter = (): EventSplitter => {
	const partial = makeGrowingBuffer();
	/** Complete blocks without an event. A stream that goes on elsewhere must not begin with those of another backend server. */
	const comments = makeGrowingBuffer();
	let lastEventId: string | undefined;
	let bytesWithoutEvent = 0;

	/** Takes what has come up to the offset in the chunk, and keeps the rest. */
	const takeBlocks = (chunk: Buffer, end: number): Buffer => {
		const last = chunk.subarray(0, end);
		const blocks = partial.getLength() === 0 ? last : Buffer.concat([partial.take(), last]);
		if (end < chunk.length) {
			partial.add(chunk.subarray(end));
		}

		return blocks;
	};

	return {
		push(chunk) {
			bytesWithoutEvent += chunk.length;
			const end = findLastBlockEnd(chunk, partial);
			if (end === -1) {
				partial.add(chunk);
				return undefined;
			}

			const blocks = takeBlocks(chunk, end);
			const text = blocks.toString('latin1');
			lastEventId = parseLastEventId(text) ?? lastEventId;
			if (!hasEvent(text)) {
				comments.add(blocks);
				return undefined;
			}

			bytesWithoutEvent = partial.getLength();
			return comments.getLength() === 0 ? blocks : Buffer.concat([comments.take(), blocks]);
		},
		takeComments: () => comments.getLength() === 0 ? undefined : comments.take(),
		getLastEventId: () => lastEventId,
		hasPartialEvent: () => partial.getLength() > 0,
		countBytesWithoutEvent: () => bytesWithoutEvent,
		countCommentBytes: comments.getLength,
		discardPartialEvent() {
			partial.take();
			comments.take();
			bytesWithoutEvent = 0;
		},
	};
};
