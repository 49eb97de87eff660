/** Tells bodies that have no end from large ones, by the largest whole body of the service. */

/** Bodies up to this size are sound, whatever others have. */
const leastSuspectBytes = 4_194_304;

/** A body is beyond the largest known one if it has so many times its size. */
const suspectFactor = 16;

export const isBeyondLargest = (bytes: number, largestBytes = 0): boolean => bytes > Math.max(leastSuspectBytes, largestBytes * suspectFactor);
