/** Types of rollouts, which move the calls of a service to backend servers of another software version. */
import {
	amountListSchema, amountSchema, amountsSchema, textSchema, trueTimeSchema,
} from '@shallotpass/common/value-bounds.js';
import * as z from 'zod';

/** What an operator asks for. */
export type RolloutRequest = {
	readonly service: string;
	/** Software version of the backend servers that the calls are moved to. */
	readonly toVersion: string;
	readonly durationMs: number;
	/** Offset of the operator's record in the store. A later one replaces it. */
	readonly offset: number;
};

/**
 * `trial`: a part of the first sends goes to the new version. `shift`: all of them do, while runs at the old version end.
 * The last two are final: the platform ends the old backend servers at `completed`, and the new ones after `rolled_back`.
 */
export const rolloutStageSchema = z.enum(['trial', 'shift', 'completed', 'rolled_back']);

export type RolloutStage = z.infer<typeof rolloutStageSchema>;

/** State of a rollout. The lease record holds it, and gossip reports carry it to all daemons. */
export const rolloutSchema = z.object({
	service: textSchema,
	toVersion: textSchema,
	/** Offset of the operator's record. */
	offset: z.int(),
	/** When the request was first seen, in true time in milliseconds. */
	orderedAt: trueTimeSchema,
	/** When the rollout must have ended, in true time in milliseconds. */
	deadline: trueTimeSchema,
	stage: rolloutStageSchema,
	/** Part of the first sends that goes to the new version, from 0 to 1. */
	share: z.number().min(0).max(1),
	/** Increases with each change of the stage or the share. */
	revision: z.int(),
	/** Versions of earlier requests that were not completed. They get no calls. */
	withheldVersions: z.array(textSchema),
	/** Why the rollout was rolled back. */
	reason: z.string().optional(),
	/** When a holder of the lease last confirmed the state, in true time in milliseconds. A trial that is not confirmed is paused. */
	confirmedAt: trueTimeSchema,
	/** When the stage began, in true time in milliseconds. */
	stageAt: trueTimeSchema,
});

export type Rollout = z.infer<typeof rolloutSchema>;

/** Bounds of the exposure to a version that may be bad. */
export type RolloutBounds = {
	/** Part of all requests of the service that a bad version may get between the order and the deadline. */
	readonly exposureShare: number;
	/** Number of requests that such a version may get in addition. */
	readonly exposureSlack: number;
	/** Longest time from the 50th bad response until the version gets no more requests, in milliseconds. */
	readonly rollbackMs: number;
};

/** Answers of the servers of one version on one route, counted since the rollout was ordered. All numbers add up over daemons. */
export const versionResultsSchema = z.object({
	/** Calls that were sent and may have reached a backend server. */
	sent: amountSchema,
	/** Calls whose outcome is known, failures included. */
	answers: amountSchema,
	failures: amountSchema,
	/** Four sums for each size class of prompts, which `duration-sums.ts` names. */
	durations: amountListSchema,
	/** Failures of the new version, by the second and the backend server in which they occurred. Absent where there are none. */
	failureCells: amountsSchema.optional(),
});

export type VersionResults = z.infer<typeof versionResultsSchema>;

const routeResultsSchema = z.object({old: versionResultsSchema, new: versionResultsSchema});

/** Results of both versions on one route. */
export type RouteResults = z.infer<typeof routeResultsSchema>;

/** Results of a service in a rollout, by route. */
export const rolloutResultsSchema = z.object({
	/** Offset of the operator's record to which the results belong. */
	offset: z.int(),
	routes: z.record(z.string(), routeResultsSchema),
});

export type RolloutResults = z.infer<typeof rolloutResultsSchema>;
