/** Bounds what JSON of other programs may become when it is parsed, which takes up to a hundred times the memory of its text. */

/** Most values of one text. Empty objects, the largest for their text, take about 60 bytes each. */
export const maxJsonValues = 1_000_000;

const comma = 0x2C;
const openingBracket = 0x5B;
const openingBrace = 0x7B;

/** Whether the text may hold more values than the bound. Counts commas and opening brackets, those in strings too. */
export const isJsonTooLarge = (text: Uint8Array): boolean => {
	if (text.length <= maxJsonValues) {
		return false;
	}

	let values = 0;
	for (const byte of text) {
		values += byte === comma || byte === openingBracket || byte === openingBrace ? 1 : 0;
	}

	return values > maxJsonValues;
};
