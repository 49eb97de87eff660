/** Splits the cost of a call that is too large for the part of each single keeper. */

/** Part of the room that a keeper stated that is asked for: others ask it as well meanwhile. */
const usedRoomPart = 0.9;

/** Returns the amount for each keeper, in the order of their rooms, or undefined if all of them together have too little. */
export const splitCost = (cost: number, rooms: readonly number[]): number[] | undefined => {
	let remaining = cost;
	const amounts = rooms.map(() => 0);
	const largestFirst = [...rooms.keys()].toSorted((left, right) => rooms[right]! - rooms[left]!);
	for (const index of largestFirst) {
		const amount = Math.min(remaining, Math.max(0, Math.floor(rooms[index]! * usedRoomPart)));
		amounts[index] = amount;
		remaining -= amount;
	}

	return remaining > 0 ? undefined : amounts;
};
