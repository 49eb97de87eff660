/**
 * How long a call that may run elsewhere waits for a backend server from which nothing is read at
 * all. One that went dark closes no connection; without this the call would wait until its
 * deadline though another backend server would answer in time.
 */
import {isStream, mayRunAgain, type Repeatability} from '../calls/types.js';

/**
 * Shortest silence that is taken for darkness, in milliseconds. The longest plain call takes 220 ms
 * and waits for a place; a prompt of 50,000 tokens is read in 1 s. At 400 and 260 ms a sound backend
 * server was left about once a second over six daemons.
 */
const leastStreamMs = 700;
const leastPlainMs = 400;

/** A silence of so many times the predicted wait is not chance. */
const predictedFactor = 3;

/** Undefined for calls that must not be sent twice. */
export const computePatience = (repeatability: Repeatability, predictedMs: number): number | undefined => {
	if (!mayRunAgain(repeatability)) {
		return undefined;
	}

	return Math.max(isStream(repeatability) ? leastStreamMs : leastPlainMs, predictedMs * predictedFactor);
};

/** Silence within a stream after which it goes on elsewhere, in milliseconds: below the pause of 400 ms that makes it late there is no gain in waiting, and a step under load takes 50 ms. */
export const stalledStreamMs = 500;
