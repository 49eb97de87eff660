/** Prompt affinity: all daemons prefer the same backend server for a shared prompt part without exchanging messages. */
import {type Call, type PromptPart} from '../calls/types.js';
import {hashText} from '../routing/rank-by-rendezvous.js';
import {computeOrderPosition} from './spread-choices.js';

/** Minimum length of a shared part that determines the affinity; the prefill of a shorter one takes only a few milliseconds. */
const minSharedTokens = 64;

/**
 * Returns the hash that determines in which order a call prefers backend servers: that of the last
 * part that other calls may share or, if that part is too short, that of the call id.
 */
export const getAffinityHash = ({id, promptParts}: Pick<Call, 'id' | 'promptParts'>): number => {
	// The last part is specific to the call. Parts that begin every prompt are soon cached on every backend server.
	const sharedPart = promptParts.at(-2);
	return hashText(sharedPart !== undefined && sharedPart.tokens >= minSharedTokens ? sharedPart.id : id);
};

/** Returns the backend server that is first in the order of a call. */
export const findPreferredBackend = <Backend extends {readonly incarnationHash: number}>(keyHash: number, backends: readonly Backend[]): Backend | undefined => {
	let preferred: Backend | undefined;
	let lowestPosition = Infinity;
	for (const backend of backends) {
		const position = computeOrderPosition(keyHash, backend.incarnationHash);
		if (position < lowestPosition) {
			preferred = backend;
			lowestPosition = position;
		}
	}

	return preferred;
};

export type CacheEstimate = {
	/** Whether the part was sent to the backend server. */
	readonly wasSent: (partId: string) => boolean;
	/** Whether all daemons prefer the backend server for calls with these shared parts. */
	readonly isPreferred: boolean;
};

/** Counts the prompt tokens that a backend server probably has cached. A part counts only if all parts before it do. */
export const countCachedTokens = (parts: readonly PromptPart[], {wasSent, isPreferred}: CacheEstimate): number => {
	let tokens = 0;
	for (const [index, part] of parts.entries()) {
		const isShared = index < parts.length - 1;
		if (!wasSent(part.id) && !(isPreferred && isShared)) {
			break;
		}

		tokens += part.tokens;
	}

	return tokens;
};
