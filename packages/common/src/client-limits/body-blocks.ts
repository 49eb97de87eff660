/** Keeps a body in blocks. A chunk by itself takes some four hundred bytes beside its content, which may be one byte. */
import {Buffer} from 'node:buffer';

export type BodyBlocks = {
	/** Returns how many bytes of memory the chunk takes in addition. */
	readonly measure: (chunk: Uint8Array) => number;
	readonly add: (chunk: Uint8Array) => void;
	/** Returns the whole content. */
	readonly take: () => Buffer;
};

const minBlockBytes = 512;
const maxBlockBytes = 65_536;

/** `expectedBytes`: length that the request states, if any. */
export const makeBodyBlocks = (expectedBytes: number | undefined): BodyBlocks => {
	const blocks: Buffer[] = [];
	let length = 0;
	/** Bytes of the last block that are taken. */
	let used = 0;

	const getFree = (): number => (blocks.at(-1)?.length ?? 0) - used;

	/** The whole rest if that is known and not large, or as much again as there is. */
	const computeBlockBytes = (missing: number): number => {
		const heldBytes = length + getFree();
		const wanted = expectedBytes === undefined ? Math.max(minBlockBytes, heldBytes) : expectedBytes - heldBytes;
		return Math.max(missing, Math.min(wanted, maxBlockBytes));
	};

	const addBlock = (bytes: number): void => {
		blocks.push(Buffer.allocUnsafeSlow(bytes));
		used = 0;
	};

	return {
		measure(chunk) {
			const missing = chunk.length - getFree();
			return missing > 0 ? computeBlockBytes(missing) : 0;
		},
		add(chunk) {
			const fitting = Math.min(chunk.length, getFree());
			if (fitting > 0) {
				blocks.at(-1)!.set(chunk.subarray(0, fitting), used);
				used += fitting;
				length += fitting;
			}

			const rest = chunk.subarray(fitting);
			if (rest.length === expectedBytes) {
				// The whole body, which has a buffer of its own.
				blocks.push(Buffer.from(rest.buffer, rest.byteOffset, rest.length));
				used = rest.length;
				length = rest.length;
				return;
			}

			if (rest.length > 0) {
				// None of the last block is free.
				addBlock(computeBlockBytes(rest.length));
				blocks.at(-1)!.set(rest, 0);
				used = rest.length;
				length += rest.length;
			}
		},
		take() {
			const [only] = blocks;
			const whole = blocks.length === 1 ? only!.subarray(0, length) : Buffer.concat(blocks, length);
			blocks.length = 0;
			return whole;
		},
	};
};
