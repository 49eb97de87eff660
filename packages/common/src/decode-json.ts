/** Decodes JSON that other programs write. */
import type * as z from 'zod';

export type Decoded<Value> =
	| {readonly kind: 'decoded'; readonly value: Value}
	/** `field`: path of the first field that cannot be used, or `bytes` if they are no JSON in UTF-8. */
	| {readonly kind: 'refused'; readonly field: string};

/** Keys of others may stand in the path. */
const maxFieldLength = 80;

const utf8 = new TextDecoder('utf8', {fatal: true});

/** Decodes a value of any form by the schema. Never throws. */
export const decodeValue = <Schema extends z.ZodType>(raw: unknown, schema: Schema): Decoded<z.output<Schema>> => {
	const parsed = schema.safeParse(raw);
	if (parsed.success) {
		return {kind: 'decoded', value: parsed.data};
	}

	const path = parsed.error.issues[0]?.path.map(String).join('.') ?? '';
	return {kind: 'refused', field: path === '' ? 'value' : path.slice(0, maxFieldLength)};
};

/** Decodes the bytes by the schema. Never throws. */
export const decodeJson = <Schema extends z.ZodType>(bytes: Uint8Array, schema: Schema): Decoded<z.output<Schema>> => {
	let raw: unknown;
	try {
		raw = JSON.parse(utf8.decode(bytes));
	} catch {
		return {kind: 'refused', field: 'bytes'};
	}

	return decodeValue(raw, schema);
};
