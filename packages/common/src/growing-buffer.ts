/** A buffer to which chunks are added. Its size at most doubles that of its content, and adding costs the same for each byte, however small the chunks. */
import {Buffer} from 'node:buffer';

export type GrowingBuffer = {
	readonly add: (chunk: Buffer) => void;
	readonly getLength: () => number;
	/** Bytes of memory that it takes. */
	readonly getCapacity: () => number;
	/** Returns the byte so far before the end, from 1. */
	readonly getFromEnd: (distance: number) => number | undefined;
	/** Returns the content and empties the buffer. */
	readonly take: () => Buffer;
};

const minCapacityBytes = 256;

/** One for all: each buffer by itself is work for the garbage collector. */
const empty = Buffer.alloc(0);

export const makeGrowingBuffer = (): GrowingBuffer => {
	let content: Buffer = empty;
	let length = 0;
	return {
		add(chunk) {
			if (length + chunk.length > content.length) {
				const grown = Buffer.allocUnsafe(Math.max(minCapacityBytes, 2 * (length + chunk.length)));
				content.copy(grown, 0, 0, length);
				content = grown;
			}

			chunk.copy(content, length);
			length += chunk.length;
		},
		getLength: () => length,
		getCapacity: () => content.length,
		getFromEnd: distance => distance <= length ? content[length - distance] : undefined,
		take() {
			const taken = content.subarray(0, length);
			content = empty;
			length = 0;
			return taken;
		},
	};
};
