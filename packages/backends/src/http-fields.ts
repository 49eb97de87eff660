/** Selects the header fields that are forwarded between callers and backend servers. */
import {hopByHopFields, parseConnectionNames} from '@shallotpass/common/hop-by-hop-fields.js';

/** Request fields that are not forwarded, because they are meant for this system or are set anew for the backend server. */
const droppedRequestFields = new Set(['authorization', 'x-request-deadline', 'x-request-class', 'traceparent', 'tracestate', 'x-request-id', 'x-fencing', 'content-length']);

export type HttpField = {readonly name: string; readonly value: string};

const listConnectionNames = (fields: readonly HttpField[]): Set<string> => parseConnectionNames(fields
	.filter(field => field.name.toLowerCase() === 'connection')
	.map(field => field.value));

/** Whether the field applies to one connection only. `Host` is included because the HTTP client sets it for the next hop. */
const isHopByHop = (name: string, connectionNames: ReadonlySet<string>): boolean => hopByHopFields.has(name) || name === 'host' || connectionNames.has(name);

/** Converts Node's flat list of raw headers (name, value, name, value, ...) to fields. */
export const readRawFields = (raw: readonly string[]): HttpField[] => {
	const fields: HttpField[] = [];
	for (let index = 0; index + 1 < raw.length; index += 2) {
		fields.push({name: raw[index]!, value: raw[index + 1]!});
	}

	return fields;
};

export const filterRequestFields = (fields: readonly HttpField[]): HttpField[] => {
	const connectionNames = listConnectionNames(fields);
	return fields.filter(({name}) => {
		const lowerName = name.toLowerCase();
		return !isHopByHop(lowerName, connectionNames) && !droppedRequestFields.has(lowerName);
	});
};

/** The backend server's request id is not forwarded, because the caller already gets the one that this daemon set. */
export const filterResponseFields = (fields: readonly HttpField[]): HttpField[] => {
	const connectionNames = listConnectionNames(fields);
	return fields.filter(({name}) => {
		const lowerName = name.toLowerCase();
		return !isHopByHop(lowerName, connectionNames) && lowerName !== 'x-request-id';
	});
};

/** Converts undici's headers object to fields, with one field per value. */
export const convertHeaders = (headers: Record<string, string | string[] | undefined>): HttpField[] =>
	Object.entries(headers).flatMap(([name, value]) => {
		if (value === undefined) {
			return [];
		}

		return Array.isArray(value) ? value.map(item => ({name, value: item})) : [{name, value}];
	});
