/** Constants that must be the same on every daemon. Names of durations and sizes end in their unit. */

/** Log stream of the configuration records. */
export const configurationStream = 'configuration';

/** Log stream of the fleet leases and of the orders to start and end instances. */
export const fleetStream = 'fleet';

/**
 * Number of claim streams. It is not configurable, because every daemon must map a key to the
 * same stream. Otherwise two claims for one key would not be detected as a conflict.
 */
export const claimShardCount = 8;

/** How long an idempotency key is remembered. Callers rely on this duration. */
export const idempotencyKeyRetentionMs = 6 * 60 * 60 * 1000;

/** Longest time between a claim and the first byte that its owner sends to the backend server. */
export const dispatchWindowMs = 2000;

/** Safety margin: the owner stops dispatching this long before its dispatch deadline. */
export const dispatchMarginMs = 200;

/** Time limit of a call to a plain service if the caller sets no deadline. */
export const defaultCallTimeoutMs = 30_000;

/** Time limit of a stream from a model engine if the caller sets no deadline. */
export const defaultStreamTimeoutMs = 600_000;

/** Larger responses are not stored for replay to a repeated call. */
export const maxRecordedResponseBytes = 32_768;

/** Age at which an accepted configuration is appended to the log again, so that log retention does not delete it. */
export const restatementAgeMs = 60 * 60 * 1000;

/** Longest time that a backend server may still get new requests after it was seen leaving. */
export const leavingGraceMs = 3000;
