/** Which prompt parts a backend server is believed to hold, from the calls that were sent there. */

/**
 * Parts remembered for each backend server; the least recently used are forgotten first. An
 * engine's memory of 640,000 tokens holds about 100 parts of the usual 5,000 tokens, and
 * many more short ones.
 */
const mostParts = 400;

export type PrefixMemory = Map<string, number>;

export const notePart = (memory: PrefixMemory, partId: string, now: number): void => {
	memory.delete(partId);
	memory.set(partId, now);
	if (memory.size > mostParts) {
		const oldest = memory.keys().next().value;
		if (oldest !== undefined) {
			memory.delete(oldest);
		}
	}
};
