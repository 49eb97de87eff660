/** Brittle backend servers, as daemons report them to each other. */
import {maxAmount, trueTimeSchema} from '@shallotpass/common/value-bounds.js';
import {mergeRecords} from '@shallotpass/common/records.js';
import * as z from 'zod';

/** Rejections a second or -1 if it is no longer brittle, true time at which the call was sent whose answer stated it, hash of the incarnation, true time of the last rejection or 0. */
export const reportedBrittlenessSchema = z.tuple([z.number().min(-1).max(maxAmount), trueTimeSchema, z.number(), trueTimeSchema]);

export type ReportedBrittleness = z.infer<typeof reportedBrittlenessSchema>;

export type ReportedBrittlenesses = Record<string, ReportedBrittleness>;

/** Stands for a backend server that is no longer brittle. */
export const endedBrittleness = -1;

/** At about 60 bytes each they fit into a datagram beside what else a report holds. */
const maxReported = 200;

/** Keeps the newest statements if there are too many for a report. */
export const trimBrittlenesses = (reported: ReportedBrittlenesses): ReportedBrittlenesses => {
	const entries = Object.entries(reported);
	return entries.length <= maxReported
		? reported
		: Object.fromEntries(entries.toSorted(([, [, left]], [, [, right]]) => right - left).slice(0, maxReported));
};

const merge = (left: ReportedBrittleness, right: ReportedBrittleness): ReportedBrittleness => {
	const [rejections, statedAt, incarnationHash, rejectedAt] = right[1] > left[1] ? right : left;
	const isSameIncarnation = left[2] === right[2];
	return [rejections, statedAt, incarnationHash, isSameIncarnation ? Math.max(left[3], right[3]) : rejectedAt];
};

/** Keeps the newest statement and the last rejection of each backend server. */
export const mergeBrittlenesses = (left: ReportedBrittlenesses, right: ReportedBrittlenesses): ReportedBrittlenesses =>
	trimBrittlenesses(mergeRecords(left, right, (reported, known) => known === undefined ? reported : merge(known, reported)));
