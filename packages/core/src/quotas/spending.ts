/** Cost units of admitted calls of one client account within a sliding window. */

export type Spending = {
	readonly windowMs: number;
	/** Time and cost of each admitted call, oldest first. */
	readonly entries: Array<{readonly at: number; readonly cost: number}>;
	total: number;
};

export const makeSpending = (windowMs: number): Spending => ({windowMs, entries: [], total: 0});

const dropExpired = (spending: Spending, now: number): void => {
	const windowStart = now - spending.windowMs;
	let dropped = 0;
	while (dropped < spending.entries.length && spending.entries[dropped]!.at < windowStart) {
		spending.total -= spending.entries[dropped]!.cost;
		dropped++;
	}

	spending.entries.splice(0, dropped);
};

export const recordSpent = (spending: Spending, cost: number, now: number): void => {
	dropExpired(spending, now);
	spending.entries.push({at: now, cost});
	spending.total += cost;
};

export const computeSpent = (spending: Spending, now: number): number => {
	dropExpired(spending, now);
	return spending.total;
};

/** Number of slots of the window in reports: enough to know when the spending of other daemons leaves the window. */
const slotCount = 8;

/** Computes the cost that was spent in each slot of the window, newest first. */
export const computeSpentSlots = (spending: Spending, now: number): number[] => {
	dropExpired(spending, now);
	const slots = Array.from<number>({length: slotCount}).fill(0);
	const slotMs = spending.windowMs / slotCount;
	for (const {at, cost} of spending.entries) {
		const slot = Math.min(slotCount - 1, Math.max(0, Math.floor((now - at) / slotMs)));
		slots[slot]! += cost;
	}

	return slots;
};

/** Shifts slots that were reported `agoMs` ago to the present, assuming even spending within a slot. Drops what has left the window. */
export const ageSlots = (slots: readonly number[], agoMs: number, windowMs: number): number[] => {
	const slotMs = windowMs / slotCount;
	const aged = Array.from<number>({length: slotCount}).fill(0);
	const shiftedSlots = Math.max(0, agoMs) / slotMs;
	const wholeSlots = Math.floor(shiftedSlots);
	for (const [index, cost] of slots.entries()) {
		const movedCost = cost * (shiftedSlots - wholeSlots);
		if (index + wholeSlots < slotCount) {
			aged[index + wholeSlots]! += cost - movedCost;
		}

		if (index + wholeSlots + 1 < slotCount) {
			aged[index + wholeSlots + 1]! += movedCost;
		}
	}

	return aged;
};

/** Adds lists of slots elementwise. */
export const addSlots = (lists: Iterable<readonly number[] | undefined>): number[] => {
	const total = Array.from<number>({length: slotCount}).fill(0);
	for (const slots of lists) {
		for (const [index, cost] of (slots ?? []).slice(0, slotCount).entries()) {
			total[index]! += cost;
		}
	}

	return total;
};

export const sumSlots = (slots: readonly number[] | undefined): number => (slots ?? []).reduce((sum, cost) => sum + cost, 0);

/** Returns the slots for a cost that was spent evenly within the last `recentMs`. */
const spreadRecent = (cost: number, recentMs: number, windowMs: number): number[] => {
	const slotMs = windowMs / slotCount;
	return Array.from({length: slotCount}, (_slot, index) => {
		const overlapMs = Math.min(slotMs, Math.max(0, recentMs - (index * slotMs)));
		return cost * overlapMs / recentMs;
	});
};

export type ForecastInput = {
	/** Cost spent in each slot of the window, newest first. */
	readonly slots: readonly number[];
	/** Requested cost units per second. */
	readonly demand: number;
	/** Maximum that may be granted within the window. */
	readonly usable: number;
	readonly aheadMs: number;
	readonly windowMs: number;
};

/** Predicts the slots `aheadMs` from now, assuming that all demand until then is admitted up to `usable`. */
export const predictSlots = ({slots, demand, usable, aheadMs, windowMs}: ForecastInput): number[] => {
	const aged = ageSlots(slots, aheadMs, windowMs);
	const expectedCost = Math.min(demand * aheadMs / 1000, Math.max(0, usable - sumSlots(aged)));
	return addSlots([aged, spreadRecent(expectedCost, aheadMs, windowMs)]);
};
