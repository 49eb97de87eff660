/**
 * Keeps a few engines free for long prompts, those whose prefill takes more than half of their objective. Such a prompt is on
 * time only with nothing long before it, and reports of other daemons' prompts may be as old as its prefill takes. So no
 * daemon decides by them: all compute the same engines, the lanes, from the service's work and the engines' hashes. Other
 * calls go to a lane only where it is much sooner, and long prompts elsewhere likewise.
 */

/** A prompt is long if its prefill takes more than this share of its objective. */
const longPrefillShare = 0.5;

export type PromptSize = {
	/** Prompt tokens that are probably not cached. */
	readonly uncachedTokens: number;
	/** Prompt tokens that an engine of the service prefills per millisecond, as a mean. */
	readonly tokensPerMs: number;
	/** Time to the first event within which the call is on time, in milliseconds. */
	readonly objectiveMs: number;
};

export const isLongPrompt = ({uncachedTokens, tokensPerMs, objectiveMs}: PromptSize): boolean => uncachedTokens / tokensPerMs > objectiveMs * longPrefillShare;

export type LaneCandidate = {
	readonly incarnationHash: number;
	readonly tokensPerMs: number;
};

export type ServiceWork = {
	/** Prompt tokens per second of all daemons, and of them those of long prompts. */
	readonly tokensPerSecond: number;
	readonly longTokensPerSecond: number;
};

/** Engines slower than this share of the fastest one's speed are no lanes: long prompts would be late there even with nothing before them. */
const minSpeedShare = 0.6;

/** Utilization of the lanes by long prompts. At more, every third long prompt would find another one before it. */
const maxLaneUtilization = 0.3;

/** Utilization of the other engines up to which lanes are kept. At more, all other calls would lose more than long prompts gain. */
const maxOtherUtilization = 0.65;

/** A lower rate, in tokens per second, is the decayed remainder of prompts long ago. */
const minLongTokensPerSecond = 1;

/**
 * Picks the lanes among the engines of a service. Daemons with slightly different figures agree on all lanes but the last ones, as
 * they take more or fewer engines of the same order.
 */
export const pickLanes = <Candidate extends LaneCandidate>(engines: readonly Candidate[], {tokensPerSecond, longTokensPerSecond}: ServiceWork): ReadonlySet<Candidate> => {
	const lanes = new Set<Candidate>();
	if (longTokensPerSecond < minLongTokensPerSecond) {
		return lanes;
	}

	const fastest = Math.max(...engines.map(({tokensPerMs}) => tokensPerMs));
	const candidates = engines.filter(({tokensPerMs}) => tokensPerMs >= fastest * minSpeedShare).toSorted((left, right) => left.incarnationHash - right.incarnationHash);
	const otherTokensPerSecond = Math.max(0, tokensPerSecond - longTokensPerSecond);
	let laneCapacity = 0;
	let otherCapacity = engines.reduce((sum, {tokensPerMs}) => sum + (tokensPerMs * 1000), 0);
	for (const candidate of candidates) {
		const capacity = candidate.tokensPerMs * 1000;
		const isEnough = longTokensPerSecond <= laneCapacity * maxLaneUtilization;
		if (isEnough || otherTokensPerSecond > (otherCapacity - capacity) * maxOtherUtilization) {
			break;
		}

		lanes.add(candidate);
		laneCapacity += capacity;
		otherCapacity -= capacity;
	}

	return lanes;
};

/** Share of its objective that a call must save to use a lane, or a long prompt to use an engine that is none. */
const minSavedShare = 0.4;

/** Computes the penalty for a lane, or for a long prompt that of an engine that is none, in milliseconds. */
export const computeSeparationPenalty = ({isLong, isLane, objectiveMs}: {readonly isLong: boolean; readonly isLane: boolean; readonly objectiveMs: number}): number =>
	isLong === isLane ? 0 : objectiveMs * minSavedShare;
