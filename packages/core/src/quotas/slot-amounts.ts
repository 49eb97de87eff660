/**
 * Amounts by slot of true time. Daemons synchronize true time, so they agree on the numbers of the slots, and amounts that arrive
 * twice, late or by two ways can be merged slot by slot.
 */

/** A slot leaves the window as a whole, so up to one slot more than the window is counted. */
export const slotsPerWindow = 32;

/** Amounts by the number of their slot. */
export type SlotAmounts = Map<number, number>;

/** Returns the number of the slot at a true time, in milliseconds. */
export const toSlot = (trueTime: number, windowMs: number): number => Math.floor(trueTime * slotsPerWindow / windowMs);

const getFirstSlot = (trueTime: number, windowMs: number): number => toSlot(trueTime - windowMs, windowMs);

/** Adds an amount to the slot of a true time. */
export const addToSlot = (amounts: SlotAmounts, slot: number, amount: number): void => {
	amounts.set(slot, (amounts.get(slot) ?? 0) + amount);
};

/** Keeps the larger amount of each slot. What is spent in a slot only grows, so the larger one is the newer. */
export const mergeAmounts = (amounts: SlotAmounts, others: ReadonlyMap<number, number>): void => {
	for (const [slot, amount] of others) {
		amounts.set(slot, Math.max(amounts.get(slot) ?? 0, amount));
	}
};

/** Sums the slots that overlap with the window before a true time. Slots of the future count as well: clocks differ a little. */
export const sumAmounts = (amounts: ReadonlyMap<number, number>, trueTime: number, windowMs: number): number => {
	const first = getFirstSlot(trueTime, windowMs);
	let sum = 0;
	for (const [slot, amount] of amounts) {
		sum += slot >= first ? amount : 0;
	}

	return sum;
};

/** Removes the slots that have left the window. */
export const dropExpiredSlots = (amounts: SlotAmounts, trueTime: number, windowMs: number): void => {
	const first = getFirstSlot(trueTime, windowMs);
	for (const slot of amounts.keys()) {
		if (slot < first) {
			amounts.delete(slot);
		}
	}
};

/** Encodes the slots of the window for a report made at a true time: newest first, rounded up, without the zeros at the end. */
export const encodeSlots = (amounts: ReadonlyMap<number, number>, trueTime: number, windowMs: number): number[] => {
	const newest = toSlot(trueTime, windowMs);
	const list = Array.from({length: slotsPerWindow + 1}, (_slot, index) => Math.ceil(amounts.get(newest - index) ?? 0));
	return list.slice(0, list.findLastIndex(amount => amount > 0) + 1);
};

/** Decodes a list of `encodeSlots` whose first entry is the slot `newest`. */
export const decodeSlots = (list: readonly number[], newest: number): SlotAmounts =>
	new Map(list.slice(0, slotsPerWindow + 1).map((amount, index) => [newest - index, amount]));
