/** Bounds of what is read from backend servers of the own interface. Bytes that are no answer may come without end. */

/** Bytes of a stream since its last event. An event of a megabyte is sound. */
export const maxBytesWithoutEvent = 4_194_304;

/** A complete answer of a model engine. */
export const maxCompletionBytes = 16_777_216;

/** A load report. */
export const maxReportBytes = 65_536;

/** A page of cache events. Some 200,000 blocks, as an engine may send all that it knows to a daemon that asks first. */
export const maxCacheEventsBytes = 4_194_304;
