/** Filters hop-by-hop fields out of raw header lists. */
import {hopByHopFields, parseConnectionNames} from '@shallotpass/common/hop-by-hop-fields.js';

const listConnectionFields = (rawFields: readonly string[]): Set<string> => {
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
	const connectionNames = listConnectionFields(rawFields);
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
