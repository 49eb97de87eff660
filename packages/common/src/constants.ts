/** Numbers that every daemon must agree on, with the unit in the name. */

/** Name of the log stream that carries configuration records. */
export const configurationStream = 'configuration';

/** Name of the log stream that carries the leases of fleet duty and its orders. */
export const fleetStream = 'fleet';

/**
 * Number of claim streams. A key must map to the same stream on every daemon,
 * else two claims for one key would never meet; so this is no setting.
 */
export const claimShardCount = 8;

/** How long an idempotency key is remembered; the promise made to callers. */
export const keyMemoryMs = 6 * 60 * 60 * 1000;

/** How long a claim's owner may take from its claim to the first byte sent. */
export const dispatchWindowMs = 2000;

/** The owner stops dispatching this long before its dispatch deadline. */
export const dispatchMarginMs = 200;

/** Longest a call to a plain service may run when the caller gives no deadline. */
export const defaultCallMs = 30_000;

/** Longest a stream from a model engine may run when the caller gives no deadline. */
export const defaultStreamMs = 600_000;

/** Answers larger than this are not kept for a repeated call. */
export const recordedAnswerMaxBytes = 32_768;

/** An accepted configuration is restated when this old, before the log forgets it. */
export const restatementAgeMs = 60 * 60 * 1000;

/** Longest a backend server may stay listed for new work after it was seen leaving. */
export const leavingGraceMs = 3000;
