/** Prompt parts that a backend server probably has cached, based on the calls that were sent to it. */

/**
 * Maximum parts recorded per backend server; the least recently used are evicted first. An
 * engine's cache of 640,000 tokens holds about 100 parts of the usual 5,000 tokens, and many more
 * short ones.
 */
const maxParts = 400;

/** Ids of prompt parts with the time of their last use, least recently used first. */
export type KnownParts = Map<string, number>;

export const recordPart = (knownParts: KnownParts, partId: string, now: number): void => {
	knownParts.delete(partId);
	knownParts.set(partId, now);
	if (knownParts.size > maxParts) {
		const oldest = knownParts.keys().next().value;
		if (oldest !== undefined) {
			knownParts.delete(oldest);
		}
	}
};
