/** Records the prompt parts of a call that is sent to an engine. */
import {type PromptPart} from '../calls/types.js';
import {type KnownParts, recordPart} from './known-parts.js';
import {type PartUses, recordPartUse} from './part-uses.js';
import {findAffinityPart} from './prompt-affinity.js';

export type PartRecords = {
	/** Parts that the engine probably has cached. */
	readonly knownParts: KnownParts;
	/** Uses of shared parts by all calls of the service at this daemon. */
	readonly partUses: PartUses;
};

export const recordPromptParts = (promptParts: readonly PromptPart[], {knownParts, partUses}: PartRecords, {now, cacheTokens}: {readonly now: number; readonly cacheTokens: number | undefined}): void => {
	for (const part of promptParts) {
		recordPart(knownParts, part, {now, cacheTokens});
	}

	const affinityPart = findAffinityPart(promptParts);
	if (affinityPart !== undefined) {
		recordPartUse(partUses, affinityPart.id, promptParts.at(-1)!.tokens, now);
	}
};
