/** Filters hop-by-hop fields out of Node's raw header lists, in which names and values alternate. */
import {hopByHopFields, parseConnectionNames} from '@shallotpass/common/hop-by-hop-fields.js';

/** Lists the field names in the `Connection` header fields, in lower case. */
const listConnectionNames = (rawFields: readonly string[]): Set<string> => {
	const values: string[] = [];
	for (let index = 0; index < rawFields.length; index += 2) {
		if (rawFields[index]!.toLowerCase() === 'connection') {
			values.push(rawFields[index + 1]!);
		}
	}

	return parseConnectionNames(values);
};

/** Returns raw name and value pairs without hop-by-hop fields and without `excludedNames` (lower case). */
export const listEndToEndFields = (rawFields: readonly string[], excludedNames: ReadonlySet<string>): string[] => {
	const connectionNames = listConnectionNames(rawFields);
	const fields: string[] = [];
	for (let index = 0; index < rawFields.length; index += 2) {
		const name = rawFields[index]!;
		const lowerName = name.toLowerCase();
		if (!hopByHopFields.has(lowerName) && !connectionNames.has(lowerName) && !excludedNames.has(lowerName)) {
			fields.push(name, rawFields[index + 1]!);
		}
	}

	return fields;
};
