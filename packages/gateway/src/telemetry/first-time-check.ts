/** Finds out whether something is reported for the first time, so that what others repeat each second is logged once. */

/** More names than these are forgotten, the oldest first. The rate limit of the log bounds the lines then. */
const maxRememberedNames = 256;

/** Returns whether the name is passed for the first time, as far as it is remembered. */
export type FirstTimeCheck = (name: string) => boolean;

export const makeFirstTimeCheck = (): FirstTimeCheck => {
	const names = new Set<string>();
	return name => {
		if (names.has(name)) {
			return false;
		}

		if (names.size >= maxRememberedNames) {
			names.delete(names.keys().next().value!);
		}

		names.add(name);
		return true;
	};
};
