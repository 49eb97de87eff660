/** Reports that the keepers of accounts' limits send to each other. Losing one is harmless, as the next one repeats everything. */
import {
	addressSchema, amountListSchema, amountSchema, textSchema, trueTimeSchema,
} from '@shallotpass/common/value-bounds.js';
import * as z from 'zod';

/** Cost units spent in each slot of the window, newest first, from the slot of `madeAt`. */
const slotList = amountListSchema;

export const keeperReportSchema = z.object({
	/** Id of the daemon. */
	id: textSchema,
	/** Identifies one run of the daemon's process. */
	incarnation: textSchema,
	address: addressSchema,
	availabilityZone: textSchema,
	/** True time at which the report was made. */
	madeAt: trueTimeSchema,
	/** Whether the daemon knows what was spent before it started, and grants. */
	isSettled: z.boolean(),
	/** Whether this is the last report of the process. */
	isLeaving: z.boolean(),
	/** Part of the equal division that the daemon claims, against the weights of the others. */
	weight: amountSchema,
	/** `madeAt` of the last report that the daemon has received from each other one, by incarnation. */
	heard: z.record(z.string(), trueTimeSchema),
	/** What it granted itself, and cost units per second that are asked of it, by account. */
	accounts: z.record(z.string(), z.object({demand: amountSchema, spent: slotList})),
	/** What daemons granted that are no longer heard, by incarnation and account. */
	departed: z.record(z.string(), z.record(z.string(), slotList)),
});

export type KeeperReport = z.infer<typeof keeperReportSchema>;
