/**
 * Longest times of the hops by which a change in the store reaches every daemon, in milliseconds. Their sum after an outage has to
 * stay below the time from which the bounds hold again.
 */

/** Time beyond the requested wait after which a poll of the store counts as failed. The store answers in 4 ms. */
export const storeResponseMarginMs = 350;

/** Time until the answer to a reading of the newest records begins. */
export const listingResponseTimeoutMs = 600;

/** Interval between gossip rounds. Calls take about 200 ms, so older loads would lead to wrong placements. */
export const gossipIntervalMs = 300;

/** Time until the answer of a peer to a query begins. */
export const peerResponseTimeoutMs = 300;
