/** How long calls have been waiting at a backend server. */
import {type BackendState} from './backend-registry.js';

/** Milliseconds since data was last received from the backend server while calls are waiting for it. */
export const computeSilenceMs = (state: BackendState, now: number): number => {
	const [oldestSentAt] = state.unansweredSince.values();
	return oldestSentAt === undefined ? 0 : now - Math.max(oldestSentAt, state.lastReadAt);
};

const computeOldestAgeMs = (sentTimes: ReadonlyMap<symbol, number>, now: number): number => {
	const [oldestSentAt] = sentTimes.values();
	return oldestSentAt === undefined ? 0 : now - oldestSentAt;
};

/** Milliseconds for which the oldest call has been waiting for the head of its answer. */
export const computeHeadWaitMs = ({unansweredSince}: BackendState, now: number): number => computeOldestAgeMs(unansweredSince, now);

/** Milliseconds for which the oldest call has been waiting for its first event or its whole answer. */
export const computeContentWaitMs = ({withoutContentSince}: BackendState, now: number): number => computeOldestAgeMs(withoutContentSince, now);

/** Milliseconds for which calls to the backend server have got no data, also those that were given up meanwhile. */
export const computeUnansweredMs = ({firstUnansweredAt, lastReadAt}: BackendState, now: number): number => firstUnansweredAt > lastReadAt ? now - firstUnansweredAt : 0;
