/** Form in which daemons tell each other the origins of streams. Times are durations, as each daemon has its own steady clock. */
import {maxSpanMs, textSchema} from '@shallotpass/common/value-bounds.js';
import * as z from 'zod';
import {type OriginRecord} from './types.js';

/** Keys are digests. */
const shortText = textSchema;

/** Longest time for which a caller may take a stream up, in milliseconds. Longer ones would keep the ledger full. */
export const maxTakeUpMs = 900_000;

/** Key, origins as service and software version, milliseconds since the stream began, and until it can no longer be taken up. */
export const reportedOriginSchema = z.tuple([shortText, z.array(z.tuple([shortText, shortText])).min(1).max(2), z.number().nonnegative().max(maxSpanMs), z.number().min(-maxSpanMs).max(maxTakeUpMs)]);

export type ReportedOrigin = z.infer<typeof reportedOriginSchema>;

export const reportedOriginsSchema = z.array(reportedOriginSchema);

export const toReportedOrigin = ({key, origins, begunAt, expiresAt}: OriginRecord, now: number): ReportedOrigin => [
	key,
	origins.map(({service, softwareVersion}) => [service, softwareVersion]),
	Math.max(0, Math.round(now - begunAt)),
	Math.round(expiresAt - now),
];

export const toOriginRecord = ([key, origins, ageMs, expiresInMs]: ReportedOrigin, now: number): OriginRecord => ({
	key,
	origins: origins.map(([service, softwareVersion]) => ({service, softwareVersion})),
	begunAt: now - ageMs,
	expiresAt: now + expiresInMs,
});
