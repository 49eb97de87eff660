/**
 * Weighs the evidence about one part or one request: a score that each death raises and each survival lowers, in the order of time.
 * A part that crashes every backend server has no survivals. One that many sound requests share has many between any two deaths,
 * so that deaths of other causes never add up.
 */
import {countSurvivals, getSlotStart, listDeaths} from './crash-evidence.js';
import {type CrashDeath, type CrashEvidence, type EvidenceKind} from './types.js';

/** Score from which requests are refused. One death may be a coincidence of a request, two of a part. */
export const convictingScore = {part: 3, request: 2} as const satisfies Record<EvidenceKind, number>;

/** Answers after the last death that end a verdict, and the score that is left then. */
const liftingSurvivals = 4;
const liftedScore = 1;

/** What a survival takes off: a part that crashes every second backend server still gains. */
const survivalWeight = 0.25;

/** Lowest score. What survived before the first death is worth one death. */
const minScore = -1;

/** Highest score. The survivals that are kept suffice to lift it, as those between earlier deaths may be forgotten. */
const maxScore = 4;

/** Deaths of at least so many requests within this time have one cause, such as a zone without power, and weigh little together. */
const massDeathMs = 150;
const massDeathCount = 3;
const massDeathWeight = 1.5;

export type Weighing = {
	readonly score: number;
	readonly isConvicted: boolean;
	/** By how much deaths outweigh survivals. The cause has few survivals, and what was beside it has few deaths. */
	readonly excess: number;
	/** The deaths that were counted, oldest first. */
	readonly deaths: readonly CrashDeath[];
};

/** One or several deaths, or the survivals of a time slot. */
type WeighedEvent = {readonly at: number; readonly change: number; readonly survivals: number};

/** Groups deaths that come close together. */
const groupDeaths = (deaths: readonly CrashDeath[]): CrashDeath[][] => {
	const groups: CrashDeath[][] = [];
	for (const death of deaths) {
		const group = groups.at(-1);
		if (group === undefined || death.at > group[0]!.at + massDeathMs) {
			groups.push([death]);
		} else {
			group.push(death);
		}
	}

	return groups;
};

const listDeathEvents = (kind: EvidenceKind, deaths: readonly CrashDeath[]): WeighedEvent[] => {
	if (kind === 'request') {
		// A request runs on one backend server after the other, so no single cause takes several from it.
		return deaths.map(({at}) => ({at, change: 1, survivals: 0}));
	}

	return groupDeaths(deaths).map(group => {
		const requests = new Set(group.map(({request}) => request));
		return {at: group[0]!.at, change: requests.size >= massDeathCount ? massDeathWeight : group.length, survivals: 0};
	});
};

const listSurvivalEvents = ({survivals}: CrashEvidence): WeighedEvent[] =>
	[...survivals].map(([slot, hashes]) => ({at: getSlotStart(slot), change: -survivalWeight * hashes.length, survivals: hashes.length}));

export type WeighingOptions = {
	readonly kind: EvidenceKind;
	/** Whether the death counts. */
	readonly isCounted: (death: CrashDeath) => boolean;
};

export const weighEvidence = (evidence: CrashEvidence, {kind, isCounted}: WeighingOptions): Weighing => {
	const deaths = listDeaths(evidence).filter(death => isCounted(death));
	// One request may hold other causes than the part.
	const mayBeConvicted = kind === 'request' || new Set(deaths.map(({request}) => request)).size > 1;
	const events = [...listSurvivalEvents(evidence), ...listDeathEvents(kind, deaths)].toSorted((left, right) => left.at - right.at);
	let score = 0;
	let isConvicted = false;
	let survivalsSinceDeath = 0;
	for (const {change, survivals} of events) {
		score = Math.min(maxScore, Math.max(minScore, score + change));
		survivalsSinceDeath = survivals === 0 ? 0 : survivalsSinceDeath + survivals;
		if (isConvicted && survivalsSinceDeath >= liftingSurvivals) {
			isConvicted = false;
			score = Math.min(score, liftedScore);
		}

		isConvicted ||= score >= convictingScore[kind];
	}

	return {
		score, isConvicted: isConvicted && mayBeConvicted, deaths, excess: deaths.length - (countSurvivals(evidence) / 2),
	};
};
