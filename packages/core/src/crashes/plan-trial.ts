/**
 * Plans single requests that are let through in spite of a verdict. A sound part may have been on each of the few backend servers that
 * ended, and nobody would learn so while all its requests are refused.
 */
import {type CrashVerdict} from './types.js';

/** Time from the last death to the next trial, by the number of deaths. The backend servers that ended should be back. Whatever crashes each backend server ends a few in the first minutes, and hardly one in hours. */
const trialDelaysMs: ReadonlyArray<readonly [deaths: number, delayMs: number]> = [[3, 4000], [4, 8000], [5, 60_000], [6, 600_000], [7, 3_600_000]];
const longestTrialDelayMs = 6 * 3_600_000;

/** Returns the true time from which a request may be tried. */
export const planTrial = ({deaths}: CrashVerdict): number => {
	const lastAt = deaths.at(-1)?.at ?? 0;
	const [, delayMs = longestTrialDelayMs] = trialDelaysMs.find(([count]) => deaths.length <= count) ?? [];
	return lastAt + delayMs;
};
