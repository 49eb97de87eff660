/** Cost units that were admitted for one client account within a sliding window. */

export type Spending = {
	readonly windowMs: number;
	/** Moment and cost of each admitted call, the oldest first. */
	readonly entries: Array<{readonly at: number; readonly cost: number}>;
	total: number;
};

export const openSpending = (windowMs: number): Spending => ({windowMs, entries: [], total: 0});

const dropOld = (spending: Spending, now: number): void => {
	const since = now - spending.windowMs;
	let dropped = 0;
	while (dropped < spending.entries.length && spending.entries[dropped]!.at < since) {
		spending.total -= spending.entries[dropped]!.cost;
		dropped++;
	}

	spending.entries.splice(0, dropped);
};

export const noteSpent = (spending: Spending, cost: number, now: number): void => {
	dropOld(spending, now);
	spending.entries.push({at: now, cost});
	spending.total += cost;
};

export const readSpent = (spending: Spending, now: number): number => {
	dropOld(spending, now);
	return spending.total;
};

/** Parts of the window that are told, the newest first: enough to know when what others spent falls out of it. */
const spentSlots = 4;

/** What was spent in each part of the window, the newest first. */
export const readSpentSlots = (spending: Spending, now: number): number[] => {
	dropOld(spending, now);
	const slots = Array.from<number>({length: spentSlots}).fill(0);
	const slotMs = spending.windowMs / spentSlots;
	for (const {at, cost} of spending.entries) {
		const slot = Math.min(spentSlots - 1, Math.max(0, Math.floor((now - at) / slotMs)));
		slots[slot]! += cost;
	}

	return slots;
};

/** What still counts of parts that were told `agoMs` ago: each one until its newest call has left the window. */
export const sumLivingSlots = (slots: readonly number[], agoMs: number, windowMs: number): number => {
	const slotMs = windowMs / spentSlots;
	return sumSlots(slots.filter((_cost, index) => (index * slotMs) + agoMs < windowMs));
};

export const sumSlots = (slots: readonly number[] | undefined): number => (slots ?? []).reduce((sum, cost) => sum + cost, 0);

export type HeadroomInput = {
	readonly ownSpent: number;
	readonly otherSpent: readonly number[];
	/** Spent before the daemons that run now were started. */
	readonly inheritedSpent: number;
	/** Daemons that are heard, this one included. */
	readonly heardDaemons: number;
	/** Daemons that ran lately and are not heard now: they may spend unseen. */
	readonly silentDaemons: number;
	readonly cost: number;
	/** Cost units asked a second of all daemons. */
	readonly demand: number;
	/** Whether news come through relays. */
	readonly isThroughRelays: boolean;
	/** What must not be exceeded within the window, over all daemons. */
	readonly ceiling: number;
};

/** Part of the ceiling that is used: the rest covers calls in flight between daemons, and shares that are settling. */
const usedPart = 0.85;
const usedPartThroughRelays = 0.75;

/** News are told every 0.3 s and one may be lost: what was admitted within this time is not seen, in seconds. Through relays they take two or three such steps. */
const unseenS = 0.7;
const unseenThroughRelaysS = 1.1;

/**
 * Whether the account as a whole is so far below its ceiling that a call is admitted whatever
 * this daemon's own share says. Shares of large calls are coarse: at a sixth of the limit two long
 * prompts at one daemon overdraw it while the account uses half of what it may. On a calm day
 * with one account near its limit, 249 calls were refused with shares alone.
 */
export const hasHeadroom = (input: HeadroomInput): boolean => {
	const seen = input.otherSpent.reduce((sum, spent) => sum + spent, input.ownSpent + input.inheritedSpent);
	const part = input.isThroughRelays ? usedPartThroughRelays : usedPart;
	const unseen = input.demand * (input.isThroughRelays ? unseenThroughRelaysS : unseenS);
	const open = input.ceiling * part * input.heardDaemons / (input.heardDaemons + input.silentDaemons);
	return seen + input.cost + unseen <= open;
};
