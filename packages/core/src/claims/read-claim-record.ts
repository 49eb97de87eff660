/**
 * Reads the records of a claim stream, also those that another version has written. A claim that cannot be read has reserved its key
 * all the same, so a record is never taken for empty because a part of it has no meaning here.
 */
import {
	type Claim, claimSchema, claimStreamRecordSchema, type Outcome, outcomeSchema,
} from '@shallotpass/common/log-records.js';
import * as z from 'zod';

export type ReadClaimRecord = {
	readonly outcomes: readonly Outcome[];
	readonly claims: readonly Claim[];
	/** Whether it holds claims whose keys cannot be read. */
	readonly hasUnreadableClaims: boolean;
};

const envelopeSchema = z.object({kind: z.literal('claims'), outcomes: z.unknown(), claims: z.unknown()});

const textOrNone = z.unknown().transform(value => typeof value === 'string' ? value : '');
const timeOrNone = z.unknown().transform(value => typeof value === 'number' ? value : 0);

/** Without its times and owner, a claim counts as overdue: its call may have been sent. */
const reservedKeySchema = claimSchema.extend({
	owner: textOrNone, ownerEpoch: textOrNone, dispatchBy: timeOrNone, answerBy: timeOrNone,
});

const noClaims: ReadClaimRecord = {outcomes: [], claims: [], hasUnreadableClaims: false};

const listReadable = <Schema extends z.ZodType>(items: readonly unknown[], schema: Schema): Array<z.output<Schema>> => items.flatMap(item => {
	const parsed = schema.safeParse(item);
	return parsed.success ? [parsed.data] : [];
});

const readItems = ({outcomes, claims}: z.output<typeof envelopeSchema>): ReadClaimRecord => {
	const listedClaims = Array.isArray(claims) ? claims : [];
	const readable = listReadable(listedClaims, reservedKeySchema);
	return {
		// A key whose outcome is not known stays reserved.
		outcomes: listReadable(Array.isArray(outcomes) ? outcomes : [], outcomeSchema),
		claims: readable,
		hasUnreadableClaims: !Array.isArray(claims) || readable.length < listedClaims.length,
	};
};

/** Reads a record. One of another kind holds no claims. */
export const readClaimRecord = (record: unknown): ReadClaimRecord => {
	const whole = claimStreamRecordSchema.safeParse(record);
	if (whole.success) {
		return {...whole.data, hasUnreadableClaims: false};
	}

	const envelope = envelopeSchema.safeParse(record);
	return envelope.success ? readItems(envelope.data) : noClaims;
};
