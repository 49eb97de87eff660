/** Picks the daemons that remember the origin of a stream, so that any daemon finds it again from the stream's key alone. */
import {weighMember} from '../routing/rank-by-rendezvous.js';

export type OriginKeeper = {
	readonly address: string;
	readonly addressHash: number;
	readonly availabilityZone: string;
};

/** Daemons that are asked for a stream where not all are. More than keep it, as daemons may know different members. */
export const askedPerStream = 4;

/** Ranks the daemons for a key, the best of each of two zones first. All daemons rank the same members alike. */
export const rankOriginKeepers = <Keeper extends OriginKeeper>(keepers: readonly Keeper[], keyHash: number): Keeper[] => {
	const ranked = keepers
		.map(keeper => ({keeper, weight: weighMember(keyHash, keeper.addressHash)}))
		.toSorted((left, right) => right.weight - left.weight || (left.keeper.address < right.keeper.address ? -1 : 1))
		.map(({keeper}) => keeper);
	const [first, ...others] = ranked;
	if (first === undefined) {
		return [];
	}

	const second = others.find(({availabilityZone}) => availabilityZone !== first.availabilityZone) ?? others[0];
	return [first, ...(second === undefined ? [] : [second]), ...others.filter(keeper => keeper !== second)];
};

/** Picks the first of the ranking, the two that are told of a stream, without ranking the others: hundreds of daemons would cost half a millisecond. */
export const pickOriginKeepers = <Keeper extends OriginKeeper>(keepers: readonly Keeper[], keyHash: number): Keeper[] => {
	const pickBest = (isEligible: (keeper: Keeper) => boolean): Keeper | undefined => {
		let best: Keeper | undefined;
		let bestWeight = 0;
		for (const keeper of keepers) {
			const weight = weighMember(keyHash, keeper.addressHash);
			const isBetter = best === undefined || weight > bestWeight || (weight === bestWeight && keeper.address < best.address);
			if (isBetter && isEligible(keeper)) {
				best = keeper;
				bestWeight = weight;
			}
		}

		return best;
	};

	const first = pickBest(() => true);
	const second = pickBest(({availabilityZone}) => availabilityZone !== first?.availabilityZone) ?? pickBest(keeper => keeper !== first);
	return [first, second].filter(keeper => keeper !== undefined);
};
