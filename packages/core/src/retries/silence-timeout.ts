/**
 * Silence timeouts of calls that can be repeated on another backend server. An unresponsive backend
 * server may keep its connections open; without a timeout the call would wait until its deadline
 * although another backend server could answer in time.
 */
import {isStream, isRepeatable, type Repeatability} from '../calls/types.js';

/** Minimum silence timeouts: healthy backend servers send nothing while they prefill a long prompt or run a long call. */
const minStreamTimeoutMs = 700;
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

/** Silence within a stream after which it resumes on another backend server; equals several steps of an engine under load. */
export const streamStallTimeoutMs = 500;
