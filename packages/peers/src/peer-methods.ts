/** RPC methods between daemons, with the schemas of their parameters and results. */
import {claimSchema, outcomeSchema, recordedResponseSchema} from '@shallotpass/common/log-records.js';
import {memberUpdateSchema} from '@shallotpass/core/membership/types.js';
import * as z from 'zod';

const versionsSchema = z.record(z.string(), z.number());

const acceptedConfigurationSchema = z.object({
	team: z.string(),
	version: z.int().nonnegative(),
	id: z.string(),
	toml: z.string(),
	by: z.string(),
	at: z.number(),
});

/** Result of one configuration record, as `HistoryEntry` in the core package. */
const historyEntrySchema = z.object({
	id: z.string(),
	team: z.string(),
	offset: z.int().nonnegative(),
	base: z.int(),
	by: z.string(),
	at: z.number(),
	verdict: z.enum(['accepted', 'conflict']),
	current: z.int(),
});

/** A request that may crash backend servers, as `Suspect` in the core package. */
export const suspectSchema = z.object({
	fingerprint: z.string(),
	deaths: z.array(z.string()),
	isConvicted: z.boolean(),
	tokens: z.number(),
	forgetAt: z.number(),
});

/**
 * Decision on a claim. If it is `answered`, the recorded response is included. `absent` is the state of a key that is looked up while no
 * call holds it. `unavailable` means that no decision could be made.
 */
export const claimResultSchema = z.discriminatedUnion('kind', [
	z.object({kind: z.literal('won'), fencing: z.number()}),
	z.object({kind: z.literal('reused')}),
	z.object({kind: z.literal('answered'), answer: recordedResponseSchema}),
	z.object({kind: z.literal('answered_not_kept')}),
	z.object({kind: z.literal('running'), owner: z.string(), answerBy: z.number()}),
	z.object({kind: z.literal('unknown')}),
	z.object({kind: z.literal('absent')}),
	z.object({kind: z.literal('unsafe'), until: z.number()}),
	z.object({kind: z.literal('unavailable'), detail: z.string()}),
]);

export type ClaimResult = z.output<typeof claimResultSchema>;

/** Result of an attempt to claim a key. Only a lookup finds a key that no call holds. */
export type ClaimAttemptResult = Exclude<ClaimResult, {kind: 'absent'}>;

export const peerMethods = {
	/** Checks that the peer is alive and exchanges member updates and configuration versions. */
	probe: {
		parameters: z.object({updates: z.array(memberUpdateSchema), versions: versionsSchema, wantsIntroduction: z.boolean()}),
		result: z.object({
			updates: z.array(memberUpdateSchema),
			/** Member list, for a sender that is not known yet or that asked for it; otherwise empty. */
			introduction: z.array(memberUpdateSchema),
			versions: versionsSchema,
			/** Digest of the responding daemon's member list. */
			view: z.number(),
		}),
	},
	/** Asks the peer to probe another member, which the sender could not reach. */
	probeFor: {
		parameters: z.object({id: z.string()}),
		result: z.object({isAlive: z.boolean()}),
	},
	/** Requests the peer's accepted configurations, so that new versions also reach a daemon that cannot read the log. */
	offer: {
		parameters: z.object({}),
		result: z.object({
			accepted: z.array(acceptedConfigurationSchema), history: z.array(historyEntrySchema), foldedTo: z.number(), isComplete: z.boolean(),
		}),
	},
	status: {
		parameters: z.object({}),
		result: z.object({availabilityZone: z.string(), versions: versionsSchema}),
	},
	claim: {
		parameters: z.object({
			claim: claimSchema,
			/** Whether to make the claim. If false, the peer only looks up the state of an earlier claim. */
			isNew: z.boolean(),
			/** Trace context of the sender, so that the peer's spans belong to the same trace. */
			traceparent: z.string().optional(),
		}),
		result: claimResultSchema,
	},
	recordOutcome: {
		parameters: z.object({keyName: z.string(), outcome: outcomeSchema}),
		result: z.object({isRecorded: z.boolean()}),
	},
	/** Announces that the holder of the zone's fleet lease is about to end a backend server. */
	leaving: {
		parameters: z.object({backendId: z.string(), leavesAt: z.number()}),
		result: z.object({}),
	},
	/** Announces suspects, and the fingerprints of requests that are no longer suspects. */
	suspects: {
		parameters: z.object({suspects: z.array(suspectSchema), lifted: z.array(z.string()).default([])}),
		result: z.object({}),
	},
} as const;

export type PeerMethod = keyof typeof peerMethods;
export type PeerParameters<Method extends PeerMethod> = z.input<(typeof peerMethods)[Method]['parameters']>;
export type PeerResult<Method extends PeerMethod> = z.output<(typeof peerMethods)[Method]['result']>;

export type PeerHandlers = {
	readonly [Method in PeerMethod]: (parameters: z.output<(typeof peerMethods)[Method]['parameters']>, from: string) => Promise<PeerResult<Method>> | PeerResult<Method>;
};
