/** Header fields that are passed on, and those that are not. */
import {hopByHopFields, parseConnectionNames} from '@shallotpass/common/hop-by-hop-fields.js';

/** Fields between caller and system that a backend server has no use for. */
const callerFields = new Set(['authorization', 'x-request-deadline', 'x-request-class', 'traceparent', 'tracestate', 'x-request-id', 'x-fencing', 'content-length']);

export type HttpField = {readonly name: string; readonly value: string};

const listConnectionFields = (fields: readonly HttpField[]): Set<string> => parseConnectionNames(fields
	.filter(field => field.name.toLowerCase() === 'connection')
	.map(field => field.value));

/** `Host` names the next hop, which the client of it sets itself. */
const isOfOneConnection = (name: string, named: ReadonlySet<string>): boolean => hopByHopFields.has(name) || name === 'host' || named.has(name);

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
		return !isOfOneConnection(lower, named) && !callerFields.has(lower);
	});
};

export const filterAnswerFields = (fields: readonly HttpField[]): HttpField[] => {
	const named = listConnectionFields(fields);
	return fields.filter(({name}) => {
		const lower = name.toLowerCase();
		return !isOfOneConnection(lower, named) && lower !== 'x-request-id';
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
