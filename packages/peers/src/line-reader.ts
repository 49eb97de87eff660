import {StringDecoder} from 'node:string_decoder';

/** Longest line a peer may send; a configuration offer of several teams fits. */
export const longestLineCharacters = 16 * 1024 * 1024;

/** Splits what arrives into lines; throws a RangeError when a line grows past the bound. */
export const makeLineReader = (onLine: (line: string) => void, longest = longestLineCharacters): ((chunk: Uint8Array) => void) => {
	const decoder = new StringDecoder('utf8');
	let parts: string[] = [];
	let length = 0;
	return chunk => {
		const pieces = decoder.write(chunk).split('\n');
		for (const [index, piece] of pieces.entries()) {
			parts.push(piece);
			length += piece.length;
			if (length > longest) {
				throw new RangeError(`a line is longer than ${longest} characters`);
			}

			if (index < pieces.length - 1) {
				const line = parts.join('');
				parts = [];
				length = 0;
				onLine(line);
			}
		}
	};
};
