/** Decodes a list of a datagram item by item, so that one without a meaning hides no others. */
import {decodeValue} from '@shallotpass/common/decode-json.js';
import type * as z from 'zod';

/** What is no list has no items. */
export const decodeList = <Schema extends z.ZodType>(raw: unknown, schema: Schema, onRefused: (field: string) => void): Array<z.output<Schema>> => {
	if (!Array.isArray(raw)) {
		onRefused('value');
		return [];
	}

	return raw.flatMap(item => {
		const decoded = decodeValue(item, schema);
		if (decoded.kind === 'decoded') {
			return [decoded.value];
		}

		onRefused(decoded.field);
		return [];
	});
};
