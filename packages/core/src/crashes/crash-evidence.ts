/** Records and merges evidence about one part or one request. */
import {type CrashDeath, type CrashEvidence} from './types.js';

/** Most deaths and slots that are kept, the newest, and most survivals of a slot. */
const maxDeaths = 24;
const maxSlots = 16;
const maxSurvivalsPerSlot = 4;

/** Length of a time slot of survivals. */
const slotMs = 250;

export const emptyEvidence: CrashEvidence = {deaths: new Map(), survivals: new Map()};

export const getSlot = (at: number): number => Math.floor(at / slotMs);

export const getSlotStart = (slot: number): number => slot * slotMs;

/** Orders the records of the death of one incarnation: the latest first, as an earlier one may be refuted, then the one that says most. */
const compareRecords = (left: CrashDeath, right: CrashDeath): number =>
	(right.at - left.at) || (Number(right.hasBegun) - Number(left.hasBegun)) || (left.request - right.request) || (left.account - right.account);

/** Order of deaths of different incarnations, oldest first. */
const compareDeaths = (left: CrashDeath, right: CrashDeath): number => (left.at - right.at) || (left.incarnation - right.incarnation);

export const listDeaths = ({deaths}: CrashEvidence): CrashDeath[] => [...deaths.values()].toSorted(compareDeaths);

const mergeDeaths = (left: CrashEvidence['deaths'], right: CrashEvidence['deaths']): CrashEvidence['deaths'] => {
	const merged = new Map(left);
	for (const [incarnation, death] of right) {
		const known = merged.get(incarnation);
		if (known === undefined || compareRecords(death, known) < 0) {
			merged.set(incarnation, death);
		}
	}

	const newest = [...merged.values()].toSorted(compareDeaths).slice(-maxDeaths);
	if (newest.length === left.size && newest.every(death => left.get(death.incarnation) === death)) {
		return left;
	}

	return new Map(newest.map(death => [death.incarnation, death]));
};

const mergeSurvivals = (left: CrashEvidence['survivals'], right: CrashEvidence['survivals']): CrashEvidence['survivals'] => {
	const merged = new Map(left);
	for (const [slot, hashes] of right) {
		const all = new Set([...merged.get(slot) ?? [], ...hashes]);
		merged.set(slot, [...all].toSorted((first, second) => first - second).slice(0, maxSurvivalsPerSlot));
	}

	const newest = [...merged].toSorted(([first], [second]) => first - second).slice(-maxSlots);
	return new Map(newest);
};

export const mergeEvidence = (left: CrashEvidence, right: CrashEvidence): CrashEvidence => ({
	deaths: right.deaths.size === 0 ? left.deaths : mergeDeaths(left.deaths, right.deaths),
	survivals: right.survivals.size === 0 ? left.survivals : mergeSurvivals(left.survivals, right.survivals),
});

export const withDeath = (evidence: CrashEvidence, death: CrashDeath): CrashEvidence =>
	mergeEvidence(evidence, {deaths: new Map([[death.incarnation, death]]), survivals: new Map()});

/** An answer that a backend server survived. */
export type Survival = {
	/** Hash that tells the answer from others. */
	readonly answer: number;
	/** True time. */
	readonly at: number;
};

export const withSurvival = (evidence: CrashEvidence, {answer, at}: Survival): CrashEvidence => {
	const known = evidence.survivals.get(getSlot(at));
	const isFull = known?.length === maxSurvivalsPerSlot && known.at(-1)! <= answer;
	return isFull ? evidence : mergeEvidence(evidence, {deaths: new Map(), survivals: new Map([[getSlot(at), [answer]]])});
};

export const countSurvivals = ({survivals}: CrashEvidence): number => {
	let count = 0;
	for (const hashes of survivals.values()) {
		count += hashes.length;
	}

	return count;
};

/** Whether the evidence that was merged into `left` added nothing to it. */
export const hasSameEvidence = (left: CrashEvidence, right: CrashEvidence): boolean =>
	left.deaths === right.deaths && left.survivals.size === right.survivals.size
	&& [...right.survivals].every(([slot, hashes]) => String(left.survivals.get(slot)) === String(hashes));
