/** Picks the daemons that remember the origin of a stream, so that any daemon finds it again from the stream's key alone. */
import {weighMember} from '../routing/rank-by-rendezvous.js';

export type OriginKeeper = {
	readonly address: string;
	readonly addressHash: number;
	readonly availabilityZone: string;
};

/** Daemons that are told of a stream, beside the one that serves it: a zone may be lost at once. */
export const keepersPerStream = 2;

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
