/** Bounds the informational heads (status 1xx) before an answer. A sound backend server may send some while it works. */

/** Heads at once. A link that was held up may deliver those of some seconds together. */
const burst = 1000;
const perMs = 0.1;

/** Whether so many heads are beyond what a sound backend server sends, `elapsedMs` after the request. */
export const hasTooManyHeads = (heads: number, elapsedMs: number): boolean => heads > burst + (elapsedMs * perMs);
