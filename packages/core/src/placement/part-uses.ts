/** How often this daemon uses shared prompt parts, which determines on how many engines a part is worth being cached. */

export type PartUse = {
	/** Uses within the last time constant, decayed over time. */
	readonly uses: number;
	/** Prompt tokens after the part in these uses, decayed over time. Each use has to prefill them. */
	readonly tokens: number;
	readonly usedAt: number;
};

/** Uses by part id, least recently used first. */
export type PartUses = Map<string, PartUse>;

/** Time constant of the decay: if one engine cannot serve all uses of a part, each of thirty daemons sees about six of them within it. */
const timeConstantMs = 10_000;

/** Bounds the memory that the uses take in a daemon. */
const maxParts = 1000;

const decayUse = (use: PartUse, now: number): PartUse => {
	const decayFactor = Math.exp(-Math.max(0, now - use.usedAt) / timeConstantMs);
	return {...use, uses: use.uses * decayFactor, tokens: use.tokens * decayFactor};
};

/** Adds a use of a part. `tokens` are the prompt tokens after it. */
export const recordPartUse = (partUses: PartUses, partId: string, tokens: number, now: number): void => {
	const previous = partUses.get(partId);
	const decayed = previous === undefined ? {uses: 0, tokens: 0} : decayUse(previous, now);
	partUses.delete(partId);
	partUses.set(partId, {uses: decayed.uses + 1, tokens: decayed.tokens + tokens, usedAt: now});
	const oldest = partUses.keys().next().value;
	if (partUses.size > maxParts && oldest !== undefined) {
		partUses.delete(oldest);
	}
};

/** Share of an engine's speed up to which the calls with one part may use it. More would queue for long. */
const maxReplicaUtilization = 0.5;

export type ReplicaNeed = {
	/** Daemons that receive such calls, including this one. */
	readonly daemons: number;
	/** Prompt tokens that an engine prefills per millisecond. */
	readonly tokensPerMs: number;
	readonly now: number;
};

/**
 * Counts the engines that calls with the part need. The number of uses counts less one standard
 * deviation, so that chance doesn't make a part appear to be used often.
 */
export const countReplicas = (use: PartUse | undefined, {daemons, tokensPerMs, now}: ReplicaNeed): number => {
	const decayed = use && decayUse(use, now);
	if (decayed === undefined || decayed.uses <= 1) {
		return 1;
	}

	const certainShare = 1 - (1 / Math.sqrt(decayed.uses));
	const tokensPerMsOfAll = decayed.tokens * certainShare * daemons / timeConstantMs;
	return Math.max(1, Math.ceil(tokensPerMsOfAll / (tokensPerMs * maxReplicaUtilization)));
};
