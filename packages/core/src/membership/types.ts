import * as z from 'zod';

/** Member statuses. At the same incarnation, a later status in this list overrides an earlier one. */
export const memberStatuses = ['alive', 'leaving', 'suspect', 'dead'] as const;

export const memberUpdateSchema = z.object({
	id: z.string().min(1),
	address: z.string(),
	availabilityZone: z.string(),
	region: z.string(),
	/** Start time of the process, in milliseconds since the Unix epoch. A restarted process keeps its id and has a higher epoch. */
	epoch: z.number(),
	/** Raised only by the member itself, to refute a suspicion. */
	incarnation: z.int().nonnegative(),
	status: z.enum(memberStatuses),
});

export type MemberStatus = (typeof memberStatuses)[number];
export type MemberUpdate = z.output<typeof memberUpdateSchema>;

export type Member = MemberUpdate & {
	/** When a suspect member is declared dead, or a dead member is removed. */
	readonly changesAt?: number;
};

type Rumor = {
	readonly id: string;
	readonly sentTimes: number;
};

export type MembershipState = {
	readonly self: MemberUpdate;
	readonly members: ReadonlyMap<string, Member>;
	/** Members still to probe in this round, in shuffled order. */
	readonly round: readonly string[];
	/** Updates that are still sent with probes, least-sent first. */
	readonly rumors: readonly Rumor[];
};

export type MembershipOptions = {
	readonly suspectForMs: number;
	/** Maximum number of updates in a message, which limits the size of a probe. */
	readonly maxUpdates: number;
	/** How long a dead member is kept, so that an outdated update doesn't restore it. */
	readonly deadRetentionMs: number;
};

export const defaultMembershipOptions: MembershipOptions = {
	suspectForMs: 4000,
	maxUpdates: 6,
	deadRetentionMs: 60_000,
};

export const isReachable = (member: Pick<MemberUpdate, 'status'>): boolean => member.status !== 'dead';
