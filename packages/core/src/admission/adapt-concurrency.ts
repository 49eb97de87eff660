/**
 * Adaptive limit on the calls that this daemon runs concurrently on one backend server: additive
 * increase while answers meet their targets, multiplicative decrease when they do not (as in TCP
 * congestion avoidance, RFC 5681). Daemons that share a backend server converge to fair shares of
 * it without exchanging messages.
 */

export type ConcurrencyLimit = {
	/** Maximum number of concurrent calls. Fractional, so that it can grow by less than 1 per answer. */
	readonly limit: number;
	/** The limit does not decrease again before this time, in milliseconds since the epoch. */
	readonly nextDecreaseAt: number;
};

export type ConcurrencySample = {
	readonly now: number;
	/** Calls of this daemon that are running on the backend server. */
	readonly running: number;
	/** Whether calls are queued at the backend server or its answers miss their targets. */
	readonly isOverloaded: boolean;
	/** Upper bound of the limit. */
	readonly maxConcurrency: number;
};

const decreaseFactor = 0.85;

/** Minimum time between decreases: answers that were slow before the last decrease do not reflect the new limit. */
const minDecreaseIntervalMs = 500;

const minLimit = 1;

/** The limit grows only if at least this share of it is in use; otherwise there is no evidence that it is too low. */
const minUtilization = 0.7;

export const makeConcurrencyLimit = (maxConcurrency: number): ConcurrencyLimit => ({limit: maxConcurrency, nextDecreaseAt: 0});

/** Updates the limit after an answer. */
export const adaptConcurrency = (state: ConcurrencyLimit, sample: ConcurrencySample): ConcurrencyLimit => {
	if (sample.isOverloaded) {
		return sample.now < state.nextDecreaseAt
			? state
			: {limit: Math.max(minLimit, Math.min(state.limit, sample.running) * decreaseFactor), nextDecreaseAt: sample.now + minDecreaseIntervalMs};
	}

	if (sample.running < state.limit * minUtilization) {
		return state;
	}

	return {...state, limit: Math.min(sample.maxConcurrency, state.limit + (1 / state.limit))};
};

/**
 * Share of the capacity that requests without a latency target may use. The rest stays free, so
 * that a request with a latency target can start at once.
 */
const backgroundCapacityShare = 0.85;

/** Whether another call may start, given the running calls and the capacity. */
export const hasCapacity = (running: number, capacity: number, isBackground: boolean): boolean =>
	running < (isBackground ? Math.ceil(capacity * backgroundCapacityShare) : capacity);
