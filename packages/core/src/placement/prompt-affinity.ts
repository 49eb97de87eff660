/** Prompt affinity: all daemons prefer the same backend server for a shared prompt part without exchanging messages. */
import {type Call, type PromptPart} from '../calls/types.js';
import {hashText} from '../routing/rank-by-rendezvous.js';
import {computeOrderPosition} from './spread-choices.js';

/** Minimum length of a shared part that determines the affinity; the prefill of a shorter one takes only a few milliseconds. */
const minSharedTokens = 64;

/** Returns the last part that other calls may share; undefined if there is none or it is too short. */
export const findAffinityPart = (promptParts: readonly PromptPart[]): PromptPart | undefined => {
	// The last part is specific to the call. Parts that begin every prompt are soon cached on every backend server.
	const sharedPart = promptParts.at(-2);
	return sharedPart !== undefined && sharedPart.tokens >= minSharedTokens ? sharedPart : undefined;
};

/**
 * Returns the hash that determines in which order a call prefers backend servers: that of the last
 * part that other calls may share or, if that part is too short, that of the call id.
 */
export const getAffinityHash = ({id, promptParts}: Pick<Call, 'id' | 'promptParts'>): number => {
	const sharedPart = findAffinityPart(promptParts);
	return hashText(sharedPart === undefined ? id : sharedPart.id);
};

/** Returns the backend servers that are first in the order of a call, at most `count` of them. */
export const listPreferredBackends = <Backend extends {readonly incarnationHash: number}>(keyHash: number, backends: readonly Backend[], count: number): Backend[] => {
	const preferred: Array<{readonly backend: Backend; readonly position: number}> = [];
	for (const backend of backends) {
		const position = computeOrderPosition(keyHash, backend.incarnationHash);
		if (preferred.length === count && position >= preferred.at(-1)!.position) {
			continue;
		}

		const index = preferred.findIndex(other => position < other.position);
		preferred.splice(index === -1 ? preferred.length : index, 0, {backend, position});
		preferred.length = Math.min(preferred.length, count);
	}

	return preferred.map(({backend}) => backend);
};
