/** How many model engines the load needs: the prompt tokens that callers send, against what an engine reads while it answers in time. */

/** Prompt tokens that an engine of mean speed reads a second when it does nothing else; the operators' sheets give 57 a millisecond, of which the tokens of running answers take a fifth. */
const tokensPerSecond = 45_000;

/**
 * Share of that speed that is planned for. Calls come in clumps, and the first event of a counter
 * question must come within 0.5 s; above a half the waiting grows faster than the load.
 */
const plannedShare = 0.5;

/** Time in which the memory of a peak of the load falls to a third, in milliseconds: a wave of the day lasts 40 s. */
const peakMemoryMs = 20_000;

/** The same for what is assumed before any load is known: kept through the first seconds of a day, let go when its load shows. */
const assumedMemoryMs = 7000;

export type Need = {
	readonly engines: number;
	readonly at: number;
	/** Whether no load explains it. */
	readonly isAssumed: boolean;
};

export const emptyNeed: Need = {engines: 0, at: 0, isAssumed: true};

/** A plan is lowered only when this many fewer are needed: a load that wavers about a whole number would else start and end an engine every second. */
const lowerBy = 1.3;

/** The whole number of engines to order, given the one that is ordered. */
export const roundNeed = (need: Need, ordered: number): number => {
	const wanted = Math.ceil(need.engines);
	return wanted > ordered || need.engines < ordered - lowerBy ? wanted : ordered;
};

export type LoadSample = {
	readonly promptTokensPerSecond: number;
	/** Backend servers that run now. */
	readonly present: number;
};

/**
 * Follows a rise at once and a fall slowly. Before any load is known as many are needed as there
 * are, since they were enough before: a daemon that took over with no load seen let nearly all go
 * just before the callers came, and the first seconds of the day earned a quarter of their worth.
 */
export const learnNeed = (need: Need, sample: LoadSample, now: number): Need => {
	if (sample.promptTokensPerSecond === 0) {
		return {...need, engines: Math.max(need.engines, sample.present), at: now};
	}

	const wanted = sample.promptTokensPerSecond / (tokensPerSecond * plannedShare);
	const memoryMs = need.isAssumed ? assumedMemoryMs : peakMemoryMs;
	const remembered = need.engines * Math.exp(-Math.max(0, now - need.at) / memoryMs);
	return {engines: Math.max(wanted, remembered), at: now, isAssumed: need.isAssumed && remembered > wanted};
};
