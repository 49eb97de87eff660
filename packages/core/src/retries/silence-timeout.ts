/**
 * Silence timeouts of calls that can be repeated on another backend server. An unresponsive backend
 * server may keep its connections open; without a timeout the call would wait until its deadline
 * although another backend server could answer in time.
 */
import {
	type Call, isStream, isRepeatable, type Repeatability,
} from '../calls/types.js';

/** A sound backend server may send nothing for a second and go on. Longer silence is a failure. */
export const soundSilenceMs = 1300;

/** Minimum silence timeouts. A plain call cannot wait for a sound backend server that is silent: its deadline would pass. */
const minStreamTimeoutMs = soundSilenceMs;
const minPlainTimeoutMs = 400;

/** Silence longer than this multiple of the predicted wait is not a random variation. */
const predictedWaitFactor = 3;

/** Computes the silence timeout in milliseconds; undefined for calls that must not run twice. */
export const computeSilenceTimeout = (repeatability: Repeatability, predictedMs: number): number | undefined => {
	if (!isRepeatable(repeatability)) {
		return undefined;
	}

	return Math.max(isStream(repeatability) ? minStreamTimeoutMs : minPlainTimeoutMs, predictedMs * predictedWaitFactor);
};

/** Share of the callers' patience after which a stream without an event goes on elsewhere, if another backend server is quicker. The rest is for that one. */
const usedPatienceShare = 0.65;

/** Computes for how long a stream may send bytes and no event, in milliseconds. One that cannot go on elsewhere may for as long as its caller waits. */
export const computeEventTimeout = ({repeatability, patienceMs}: Pick<Call, 'repeatability' | 'patienceMs'>): number =>
	isRepeatable(repeatability) ? Math.max(soundSilenceMs, patienceMs * usedPatienceShare) : patienceMs;

/** Silence within a stream after which it resumes on another backend server. Callers give up after a gap of 2 s. */
export const streamStallTimeoutMs = soundSilenceMs;
