/** Header fields that belong to one connection and are never passed on (RFC 9110, section 7.6.1). */
const connectionFields = new Set([
	'connection',
	'keep-alive',
	'proxy-authenticate',
	'proxy-authorization',
	'proxy-connection',
	'te',
	'trailer',
	'transfer-encoding',
	'upgrade',
	'host',
	'expect',
]);

/** Fields between caller and system that a backend server has no use for. */
const callerFields = new Set(['authorization', 'x-request-deadline', 'x-request-class', 'traceparent', 'tracestate', 'x-request-id', 'x-fencing', 'content-length']);

export type HttpField = {readonly name: string; readonly value: string};

const listConnectionFields = (fields: readonly HttpField[]): Set<string> => new Set(fields
	.filter(field => field.name.toLowerCase() === 'connection')
	.flatMap(field => field.value.split(',').map(name => name.trim().toLowerCase())));

/** Raw header list of Node to fields. */
export const readRawFields = (raw: readonly string[]): HttpField[] => {
	const fields: HttpField[] = [];
	for (let index = 0; index + 1 < raw.length; index += 2) {
		fields.push({name: raw[index]!, value: raw[index + 1]!});
	}

	return fields;
};

export const filterRequestFields = (fields: readonly HttpField[]): HttpField[] => {
	const named = listConnectionFields(fields);
	return fields.filter(({name}) => {
		const lower = name.toLowerCase();
		return !connectionFields.has(lower) && !callerFields.has(lower) && !named.has(lower);
	});
};

export const filterAnswerFields = (fields: readonly HttpField[]): HttpField[] => {
	const named = listConnectionFields(fields);
	return fields.filter(({name}) => {
		const lower = name.toLowerCase();
		return !connectionFields.has(lower) && lower !== 'x-request-id' && !named.has(lower);
	});
};

/** The headers object of undici to fields, one for each value. */
export const listFields = (headers: Record<string, string | string[] | undefined>): HttpField[] =>
	Object.entries(headers).flatMap(([name, value]) => {
		if (value === undefined) {
			return [];
		}

		return Array.isArray(value) ? value.map(item => ({name, value: item})) : [{name, value}];
	});
