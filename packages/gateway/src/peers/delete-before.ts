/** Deletes the entries whose time lies before `since`. */
export const deleteBefore = <Value>(entries: Map<string, Value>, since: number, getTime: (value: Value) => number): void => {
	for (const [key, value] of entries) {
		if (getTime(value) < since) {
			entries.delete(key);
		}
	}
};
