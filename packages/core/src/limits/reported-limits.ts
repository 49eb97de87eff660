/** Statements of backend servers on their limits, as daemons report them to each other. */
import {maxAmount, trueTimeSchema} from '@shallotpass/common/value-bounds.js';
import {mergeRecords} from '@shallotpass/common/records.js';
import * as z from 'zod';

/** Calls per second or -1 if a limit has ended, true time at which the call was sent whose answer stated it, and hash of the backend server's incarnation. */
export const reportedLimitSchema = z.tuple([z.number().min(-1).max(maxAmount), trueTimeSchema, z.number()]);

export type ReportedLimit = z.infer<typeof reportedLimitSchema>;

export type ReportedLimits = Record<string, ReportedLimit>;

/** Stands for the end of a limit. */
export const endedLimit = -1;

/** At about 50 bytes each they fit into a datagram of 65 kB beside the loads of 600 backend servers. */
const maxReportedLimits = 300;

/** Keeps the newest statements if there are too many for a report. */
export const trimLimits = (limits: ReportedLimits): ReportedLimits => {
	const entries = Object.entries(limits);
	return entries.length <= maxReportedLimits
		? limits
		: Object.fromEntries(entries.toSorted(([, [, left]], [, [, right]]) => right - left).slice(0, maxReportedLimits));
};

/** Keeps the newest statement of each backend server. */
export const mergeLimits = (left: ReportedLimits, right: ReportedLimits): ReportedLimits =>
	trimLimits(mergeRecords(left, right, (limit, known) => known === undefined || limit[1] > known[1] ? limit : known));
