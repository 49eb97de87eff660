/** Spending as it is written to the store, for daemons that start after all have ended at once. */
import {
	amountListSchema, amountSchema, spanSchema, trueTimeSchema,
} from '@shallotpass/common/value-bounds.js';
import {getOwn} from '@shallotpass/common/records.js';
import * as z from 'zod';
import {
	addToSlot, decodeSlots, encodeSlots, type SlotAmounts, slotsPerWindow, sumAmounts, toSlot,
} from './slot-amounts.js';

export const recordedSpendingSchema = z.object({
	/** True time at which it was written. */
	at: trueTimeSchema,
	accounts: z.record(z.string(), z.object({
		/** Cost units spent in each slot of the window, newest first, from the slot of `at`. */
		spent: amountListSchema,
		/** Cost units that may be spent in `expectedMs` after `at`, until the next record is written. */
		expected: amountSchema,
		/** Cost units per second that keepers may grant after `at`, besides the burst. Daemons of earlier versions don't write it, and don't keep to it. */
		perSecond: amountSchema.default(0),
		/** Cost units that may be spent at once after `at`, as the account is in a jump. */
		atOnce: amountSchema.default(0),
	})),
	expectedMs: spanSchema,
	/** True time up to which keepers may grant by this record. Daemons of earlier versions don't write it. */
	until: trueTimeSchema.optional(),
});

export type RecordedSpending = z.infer<typeof recordedSpendingSchema>;

/** What is known of an account when the record is written. */
export type AccountFigures = {
	readonly known: SlotAmounts;
	/** Cost units per second that are asked. */
	readonly demand: number;
	/** What may still be granted until the next record, also of what leaves the window by then. */
	readonly left: number;
	/** What keepers that are not heard may have granted. */
	readonly reserved: number;
};

/** Keepers may grant this part of what is usable beyond what the record holds and the rate that it states, so that a jump of the demand finds room until the next record. */
const burstPart = 0.25;

/** Demand varies between two records by less than this factor, or the burst covers it. */
const rateMargin = 1.5;

/** The demand follows a jump within seconds. What was granted in this time tells of it at once. */
const recentMs = 1000;

/** Keepers grant by a record for this long, which is longer than outages of the store, and shorter than the time after which a silent keeper is taken for ended. */
const validMs = 30_000;

/** Clocks of daemons differ by less than this. */
const clockToleranceMs = 300;

/** Grants of keepers are known to the writer of the record within this time. */
const settledAfterMs = 2000;

export type RecordOptions = {
	readonly at: number;
	readonly windowMs: number;
	/** Longest time until the next record is written. */
	readonly expectedMs: number;
};

/** An account of which this part of what is usable was granted within a second is in a jump, and may use the next burst at once. */
const jumpPart = 0.3;

const computeAtOnce = (known: SlotAmounts, left: number, {at, windowMs}: {readonly at: number; readonly windowMs: number}): number => {
	const usable = left + sumAmounts(known, at, windowMs);
	const isInJump = sumFrom(known, toSlot(at - recentMs, windowMs)) > usable * jumpPart;
	return isInJump ? Math.ceil(Math.max(0, Math.min(left, getBurst(usable)))) : 0;
};

export const makeRecordedSpending = (accounts: ReadonlyMap<string, AccountFigures>, {at, windowMs, expectedMs}: RecordOptions): RecordedSpending => ({
	at,
	expectedMs,
	until: at + validMs,
	accounts: Object.fromEntries([...accounts].filter(([, {known, demand, reserved}]) => known.size > 0 || demand >= 1 || reserved > 0).map(([account, {known, demand, left, reserved}]) => {
		const amounts = new Map(known);
		const rate = Math.max(demand, sumFrom(known, toSlot(at - recentMs, windowMs)) * 1000 / recentMs);
		addToSlot(amounts, toSlot(at, windowMs), reserved);
		return [account, {
			spent: encodeSlots(amounts, at, windowMs),
			expected: Math.ceil(Math.max(0, Math.min(left, rate * expectedMs / 1000))),
			perSecond: Math.ceil(rate * rateMargin),
			atOnce: computeAtOnce(known, left, {at, windowMs}),
		}];
	})),
});

/**
 * What all keepers together may grant by the newest record: of an account, what the record holds from `since` on, a burst, and a rate that counts from `at` on. A
 * process that starts after an end of all counts as much as spent.
 */
export const allowanceSchema = z.object({
	at: trueTimeSchema,
	until: trueTimeSchema,
	/** Number of the slot from which spending is compared. What was granted before is known to the writer. */
	since: z.int(),
	accounts: z.record(z.string(), z.object({recorded: amountSchema, perSecond: amountSchema})),
});

export type Allowance = z.infer<typeof allowanceSchema>;

/** Sums the slots from a number on. */
export const sumFrom = (amounts: ReadonlyMap<number, number>, since: number): number => {
	let sum = 0;
	for (const [slot, amount] of amounts) {
		sum += slot >= since ? amount : 0;
	}

	return sum;
};

/** Returns what may be granted by a record, or undefined if it is of an earlier version, whose daemons grant without regard to it. */
export const toAllowance = ({at, until, accounts}: RecordedSpending, windowMs: number): Allowance | undefined => {
	const since = toSlot(at - settledAfterMs, windowMs);
	return until === undefined
		? undefined
		: {
			at,
			until,
			since,
			accounts: Object.fromEntries(Object.entries(accounts).map(([account, {spent, perSecond}]) => [account, {recorded: sumFrom(decodeSlots(spent, toSlot(at, windowMs)), since), perSecond}])),
		};
};

/** Returns what may be granted beyond the record and the rate that it states. */
export const getBurst = (usable: number): number => burstPart * usable;

/** Computes what the record allows to be granted after `at`, until a true time. `usable` is what may be granted within the window. */
const computeGrantable = ({at, until}: {readonly at: number; readonly until: number}, perSecond: number, {usable, now}: {readonly usable: number; readonly now: number}): number =>
	getBurst(usable) + (perSecond * Math.max(0, Math.min(now, until) - at) / 1000);

/** Returns an allowance of bursts only, for keepers that start while the store holds nothing. */
export const makeFirstAllowance = (trueTime: number, windowMs: number): Allowance => ({
	at: trueTime, until: trueTime + validMs, since: toSlot(trueTime, windowMs), accounts: {},
});

export type AllowedInput = {
	readonly usable: number;
	/** True time. */
	readonly now: number;
	readonly windowMs: number;
};

/** Computes how much may stand in the slots of the window from `since` on. */
export const computeAllowed = (allowance: Allowance, account: string, {usable, now, windowMs}: AllowedInput): number => {
	if (now > allowance.until) {
		return 0;
	}

	const {recorded, perSecond} = getOwn(allowance.accounts, account) ?? {recorded: 0, perSecond: 0};
	// Slots that have begun to leave the window are not counted as spent any more.
	const isInWindow = toSlot(now - windowMs, windowMs) <= allowance.since;
	return (isInWindow ? recorded : 0) + computeGrantable(allowance, perSecond, {usable, now});
};

export type ReadInput = {
	readonly windowMs: number;
	/** True time by which all daemons that granted by the record had ended. */
	readonly endedBy: number;
	/** What may be granted within the window. */
	readonly usable: number;
};

/**
 * Returns the slots of an account in the record, with what may have been spent after it was written, until all daemons had ended: while the record
 * is as new as it should be, what was expected then, otherwise all that keepers could grant by it.
 */
export const readRecordedSlots = ({at, until, accounts, expectedMs}: RecordedSpending, account: string, {windowMs, endedBy, usable}: ReadInput): SlotAmounts => {
	const {spent, expected, perSecond, atOnce} = getOwn(accounts, account) ?? {
		spent: [], expected: 0, perSecond: 0, atOnce: 0,
	};
	const amounts = decodeSlots(spent, toSlot(at, windowMs));
	const left = Math.max(0, usable - sumAmounts(amounts, endedBy, windowMs));
	const runMs = Math.max(0, endedBy - at);
	if (runMs <= expectedMs) {
		addToSlot(amounts, toSlot(endedBy, windowMs), Math.min(left, Math.max(atOnce, expected * runMs / Math.max(1, expectedMs))));
		return amounts;
	}

	// Daemons of earlier versions grant without regard to the age of the record.
	const grantable = until === undefined ? left : computeGrantable({at, until}, perSecond, {usable, now: endedBy + clockToleranceMs});
	addToSlot(amounts, toSlot(endedBy, windowMs), Math.min(left, grantable));
	return amounts;
};

/** Spending in equal slots of the window, newest first, as of a true time. Daemons of earlier versions write it so. */
export type EvenSlots = {
	readonly at: number;
	readonly accounts: Readonly<Record<string, readonly number[]>>;
};

/** Converts a record of an earlier version, taking spending as even within a slot. */
export const convertEvenSlots = ({at, accounts}: EvenSlots, windowMs: number): RecordedSpending => {
	const newest = toSlot(at, windowMs);
	const convert = (slots: readonly number[]): number[] => {
		const parts = Math.max(1, Math.ceil(slotsPerWindow / Math.max(1, slots.length)));
		const amounts: SlotAmounts = new Map();
		for (const [index, cost] of slots.entries()) {
			for (let part = 0; part < parts; part++) {
				addToSlot(amounts, newest - (index * parts) - part, cost / parts);
			}
		}

		return encodeSlots(amounts, at, windowMs);
	};

	return {
		at, expectedMs: 0, accounts: Object.fromEntries(Object.entries(accounts).map(([account, slots]) => [account, {
			spent: convert(slots), expected: 0, perSecond: 0, atOnce: 0,
		}])),
	};
};
