/** Header fields that concern one connection only (RFC 9110, section 7.6.1). */

const hopByHopFields = new Set([
	'connection',
	'keep-alive',
	'proxy-authenticate',
	'proxy-authorization',
	'proxy-connection',
	'te',
	'trailer',
	'transfer-encoding',
	'upgrade',
	'expect',
]);

const listConnectionFields = (rawFields: readonly string[]): Set<string> => {
	const named = new Set<string>();
	for (let index = 0; index < rawFields.length; index += 2) {
		if (rawFields[index]!.toLowerCase() === 'connection') {
			for (const name of rawFields[index + 1]!.split(',')) {
				named.add(name.trim().toLowerCase());
			}
		}
	}

	return named;
};

/** Raw name and value pairs without those of one connection and without `alsoLeftOut` (lower case). */
export const listEndToEndFields = (rawFields: readonly string[], alsoLeftOut: ReadonlySet<string>): string[] => {
	const named = listConnectionFields(rawFields);
	const fields: string[] = [];
	for (let index = 0; index < rawFields.length; index += 2) {
		const name = rawFields[index]!;
		const lower = name.toLowerCase();
		if (!hopByHopFields.has(lower) && !named.has(lower) && !alsoLeftOut.has(lower)) {
			fields.push(name, rawFields[index + 1]!);
		}
	}

	return fields;
};
