/** Reads and merges records whose keys other programs choose. Objects have fields by themselves, such as `constructor`, which are none of them. */

type RecordOf<Value> = Readonly<Record<string, Value>>;

/** Returns the value of the key, or undefined if the record itself doesn't have it. */
export const getOwn = <Value>(record: RecordOf<Value> | undefined, key: string): Value | undefined =>
	record !== undefined && Object.hasOwn(record, key) ? record[key] : undefined;

/** Merges the values of the right record into those of the left one. */
export const mergeRecords = <Value>(left: RecordOf<Value>, right: RecordOf<Value>, merge: (value: Value, known: Value | undefined) => Value): Record<string, Value> => {
	const merged = new Map(Object.entries(left));
	for (const [key, value] of Object.entries(right)) {
		merged.set(key, merge(value, merged.get(key)));
	}

	return Object.fromEntries(merged);
};
