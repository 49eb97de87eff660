/** Spending as it is written to the store, for daemons that start after all have ended at once. */
import {
	amountListSchema, amountSchema, spanSchema, trueTimeSchema,
} from '@shallotpass/common/value-bounds.js';
import {getOwn} from '@shallotpass/common/records.js';
import * as z from 'zod';
import {
	addToSlot, decodeSlots, encodeSlots, type SlotAmounts, slotsPerWindow, toSlot,
} from './slot-amounts.js';

export const recordedSpendingSchema = z.object({
	/** True time at which it was written. */
	at: trueTimeSchema,
	accounts: z.record(z.string(), z.object({
		/** Cost units spent in each slot of the window, newest first, from the slot of `at`. */
		spent: amountListSchema,
		/** Cost units that may be spent in `expectedMs` after `at`, until the next record is written. */
		expected: amountSchema,
	})),
	expectedMs: spanSchema,
});

export type RecordedSpending = z.infer<typeof recordedSpendingSchema>;

/** What is known of an account when the record is written. */
export type AccountFigures = {
	readonly known: SlotAmounts;
	/** Cost units per second that are asked. */
	readonly demand: number;
	/** What may still be granted. */
	readonly left: number;
};

export type RecordOptions = {
	readonly at: number;
	readonly windowMs: number;
	/** Longest time until the next record is written. */
	readonly expectedMs: number;
};

export const makeRecordedSpending = (accounts: ReadonlyMap<string, AccountFigures>, {at, windowMs, expectedMs}: RecordOptions): RecordedSpending => ({
	at,
	expectedMs,
	accounts: Object.fromEntries([...accounts].map(([account, {known, demand, left}]) => [account, {
		spent: encodeSlots(known, at, windowMs),
		expected: Math.ceil(Math.max(0, Math.min(left, demand * expectedMs / 1000))),
	}])),
});

/** Returns the slots of an account in the record, with what may have been spent after it was written, until all daemons had ended at a true time. */
export const readRecordedSlots = ({at, accounts, expectedMs}: RecordedSpending, account: string, {windowMs, endedBy}: {readonly windowMs: number; readonly endedBy: number}): SlotAmounts => {
	const {spent, expected} = getOwn(accounts, account) ?? {spent: [], expected: 0};
	const amounts = decodeSlots(spent, toSlot(at, windowMs));
	const runMs = Math.min(expectedMs, Math.max(0, endedBy - at));
	addToSlot(amounts, toSlot(at + runMs, windowMs), expected * runMs / Math.max(1, expectedMs));
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

	return {at, expectedMs: 0, accounts: Object.fromEntries(Object.entries(accounts).map(([account, slots]) => [account, {spent: convert(slots), expected: 0}]))};
};
