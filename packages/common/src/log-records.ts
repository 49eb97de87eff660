/** Schemas of the records in the platform's log. Readers ignore records that match none of them. */
import * as z from 'zod';

export const configurationRecordSchema = z.object({
	kind: z.literal('configuration'),
	id: z.string().min(1),
	team: z.string().min(1),
	/** Version that this configuration replaces, or -1 if the team had none. */
	base: z.int().min(-1),
	toml: z.string(),
	by: z.string(),
	at: z.number(),
});

export const restatementRecordSchema = z.object({
	kind: z.literal('restatement'),
	team: z.string().min(1),
	/** Version of the configuration record that is appended again. */
	version: z.int().nonnegative(),
	/** Offset after the last record that the appending daemon had read. */
	foldedTo: z.int().nonnegative(),
	id: z.string(),
	toml: z.string(),
	by: z.string(),
	at: z.number(),
});

export const configurationStreamRecordSchema = z.discriminatedUnion('kind', [configurationRecordSchema, restatementRecordSchema]);

export const claimSchema = z.object({
	id: z.string().min(1),
	account: z.string(),
	service: z.string(),
	key: z.string(),
	/** SHA-256 of method, path and body. */
	digest: z.string(),
	owner: z.string(),
	/** Identifies one run of the owner's process. A restarted owner has a different epoch. */
	ownerEpoch: z.string(),
	dispatchBy: z.number(),
	answerBy: z.number(),
});

export const recordedResponseSchema = z.object({
	status: z.int(),
	headers: z.array(z.object({name: z.string(), value: z.string()})),
	bodyBase64: z.string(),
});

export const outcomeSchema = z.discriminatedUnion('kind', [
	z.object({
		kind: z.literal('answered'), claimId: z.string(), key: z.string(), answer: recordedResponseSchema,
	}),
	z.object({kind: z.literal('answered_not_kept'), claimId: z.string(), key: z.string()}),
	z.object({kind: z.literal('not_sent'), claimId: z.string(), key: z.string()}),
	z.object({kind: z.literal('unknown'), claimId: z.string(), key: z.string()}),
]);

/** A batch of outcomes and claims from one writer. The outcomes are applied before the claims. */
export const claimStreamRecordSchema = z.object({
	kind: z.literal('claims'),
	outcomes: z.array(outcomeSchema),
	claims: z.array(claimSchema),
});

/** A daemon acquires or renews the fleet lease of an availability zone. */
export const fleetLeaseRecordSchema = z.object({
	kind: z.literal('lease'),
	id: z.string().min(1),
	availabilityZone: z.string(),
	holder: z.string(),
	until: z.number(),
	/** Fencing token of the lease to renew; absent if the lease is newly acquired. */
	fencing: z.int().nonnegative().optional(),
});

/** Orders of a lease holder. They are ignored unless they carry the fencing token of the current lease. */
export const fleetOrderRecordSchema = z.object({
	kind: z.literal('orders'),
	id: z.string().min(1),
	availabilityZone: z.string(),
	fencing: z.int().nonnegative(),
	orders: z.array(z.object({token: z.string().min(1), machineClass: z.string(), isReclaimable: z.boolean()})),
	/** Tokens of orders whose instances are no longer needed. */
	closed: z.array(z.string()),
	/** Offers that the cloud refused, so that the lease holders of other zones avoid them. */
	refusals: z.array(z.object({offer: z.string(), times: z.int().positive(), until: z.number()})).default([]),
});

export const fleetRecordSchema = z.discriminatedUnion('kind', [fleetLeaseRecordSchema, fleetOrderRecordSchema]);

export type FleetRecord = z.output<typeof fleetRecordSchema>;
export type ConfigurationRecord = z.output<typeof configurationRecordSchema>;
export type RestatementRecord = z.output<typeof restatementRecordSchema>;
export type Claim = z.output<typeof claimSchema>;
export type RecordedResponse = z.output<typeof recordedResponseSchema>;
export type Outcome = z.output<typeof outcomeSchema>;
export type ClaimStreamRecord = z.output<typeof claimStreamRecordSchema>;
