import {StringDecoder} from 'node:string_decoder';

/** Maximum length of a line from a peer, large enough for the configurations of several teams. */
export const maxLineCharacters = 16 * 1024 * 1024;

/** Makes a function that splits received bytes into lines. It throws a RangeError if a line exceeds the maximum length. */
export const makeLineReader = (onLine: (line: string) => void, maxCharacters = maxLineCharacters): ((chunk: Uint8Array) => void) => {
	const decoder = new StringDecoder('utf8');
	let pendingParts: string[] = [];
	let pendingCharacters = 0;
	return chunk => {
		const segments = decoder.write(chunk).split('\n');
		for (const [index, segment] of segments.entries()) {
			pendingParts.push(segment);
			pendingCharacters += segment.length;
			if (pendingCharacters > maxCharacters) {
				throw new RangeError(`a line is longer than ${maxCharacters} characters`);
			}

			if (index < segments.length - 1) {
				const line = pendingParts.join('');
				pendingParts = [];
				pendingCharacters = 0;
				onLine(line);
			}
		}
	};
};
