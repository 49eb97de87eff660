/** Prompt parts that a backend server probably has cached, based on the calls that this daemon sent to it. */
import {type PromptPart} from '../calls/types.js';

/** Bounds the memory that the parts of an engine take in a daemon. Only parts much shorter than usual reach it before the engine's capacity. */
const maxParts = 400;

export type KnownPart = {
	readonly tokens: number;
	/** When a call with the part was last sent. */
	readonly usedAt: number;
};

/** Parts by id, least recently used first, and the sum of their tokens. */
export type KnownParts = {
	readonly parts: Map<string, KnownPart>;
	tokens: number;
};

export const makeKnownParts = (): KnownParts => ({parts: new Map(), tokens: 0});

const removePart = (knownParts: KnownParts, id: string): void => {
	knownParts.tokens -= knownParts.parts.get(id)?.tokens ?? 0;
	knownParts.parts.delete(id);
};

/** Records that a part was sent, and evicts the least recently used ones that the engine's cache cannot hold as well. */
export const recordPart = (knownParts: KnownParts, {id, tokens}: PromptPart, {now, cacheTokens}: {readonly now: number; readonly cacheTokens: number | undefined}): void => {
	removePart(knownParts, id);
	knownParts.parts.set(id, {tokens, usedAt: now});
	knownParts.tokens += tokens;
	for (const oldest of knownParts.parts.keys()) {
		if (oldest === id || (knownParts.parts.size <= maxParts && knownParts.tokens <= (cacheTokens ?? Infinity))) {
			break;
		}

		removePart(knownParts, oldest);
	}
};
