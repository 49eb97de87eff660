/** What was read of a connection and is not parsed yet. Plain data, as most connections never have any for longer than a read. */
import {Buffer} from 'node:buffer';
import {type GrowingBuffer, makeGrowingBuffer} from '../growing-buffer.js';

export type WaitingInput = {
	first: Buffer;
	/** What came behind `first`. Undefined while nothing did. */
	behind: GrowingBuffer | undefined;
};

export const emptyInput: Buffer = Buffer.alloc(0);

/** Ends a head. A piece that ends with it makes one request at most. */
const endOfHead = Buffer.from('\r\n\r\n');

const findPieceEnd = (bytes: Buffer, maxBytes: number): number => {
	const searched = bytes.length > maxBytes ? bytes.subarray(0, maxBytes) : bytes;
	const end = searched.indexOf(endOfHead);
	return end === -1 ? searched.length : end + endOfHead.length;
};

export const addInput = (input: WaitingInput, chunk: Buffer): void => {
	if (input.first.length === 0) {
		input.first = chunk;
		return;
	}

	input.behind ??= makeGrowingBuffer();
	input.behind.add(chunk);
};

/** Takes a piece from the front: up to the next empty line, or so many bytes. There must be some. */
export const takePiece = (input: WaitingInput, maxBytes: number): Buffer => {
	const {first, behind} = input;
	const end = findPieceEnd(first, maxBytes);
	if (end < first.length) {
		input.first = first.subarray(end);
		return first.subarray(0, end);
	}

	// A part of it without bytes would hold all that was read with it.
	input.first = behind?.take() ?? emptyInput;
	input.behind = undefined;
	return first;
};

export const hasInput = ({first}: WaitingInput): boolean => first.length > 0;

export const countInputBytes = ({first, behind}: WaitingInput): number => first.length + (behind?.getLength() ?? 0);

/** Counts the bytes of memory that it takes: what is left of a read holds all of the read. */
export const countHeldInput = ({first, behind}: WaitingInput): number => first.buffer.byteLength + (behind?.getCapacity() ?? 0);

export const clearInput = (input: WaitingInput): void => {
	input.first = emptyInput;
	input.behind = undefined;
};
