/** Estimates how many backend servers a service needs, from the observed load and the observed speed of a backend server. */

/** Planned utilization of a backend server by prefill when mass reclaims have left only as many servers as are needed. */
const plannedPrefillUtilization = 0.65;

/** Planned mean utilization of a backend server's slots. A call that finds all slots in use waits until a whole answer is complete. */
const plannedSlotUtilization = 0.6;

/**
 * Time constant with which the estimate decays after a peak, as a multiple of the boot time. A backend server that
 * is ended too early has to be started and paid for again.
 */
const peakDecayBoots = 5;

/**
 * Time constant with which the number that ran before this daemon began to plan decays. It covers the first seconds,
 * in which the load is not known yet.
 */
const assumedDecayMs = 7000;

export type DemandEstimate = {
	/** Number of backend servers that the load needs. */
	readonly backends: number;
	/** Number that ran before the load was known and is assumed to be sufficient. */
	readonly assumed: number;
	/** When the estimate was made, in milliseconds. */
	readonly at: number;
};

/**
 * Hysteresis in backend servers: the order is lowered only when more than this many fewer are needed. Otherwise a
 * load that fluctuates around a whole number would start and end a backend server every second.
 */
const hysteresisBackends = 1.3;

/** Rounds the estimate up to the number of backend servers to order, with hysteresis against the current order. */
export const roundWithHysteresis = (needed: number, ordered: number): number => {
	const rounded = Math.ceil(needed);
	return rounded > ordered || needed < ordered - hysteresisBackends ? rounded : ordered;
};

export type LoadSample = {
	/** Prompt tokens per second that callers send, cached or not. */
	readonly promptTokensPerSecond: number;
	/** Prompt tokens of calls that wait for their first event at backend servers. */
	readonly pendingTokens: number;
	/** Calls that are running or queued at backend servers. */
	readonly running: number;
	/** Backend servers that are running. */
	readonly present: number;
	/** Mean prefill speed of a backend server. */
	readonly tokensPerMs: number;
	/** Slots of a backend server: calls that it runs concurrently. */
	readonly places: number;
	/** Backend servers that are missing because of the limits that some state. */
	readonly missing: number;
	/** Time that a backend server takes to start, in milliseconds. */
	readonly bootMs: number;
};

/**
 * Computes the number of backend servers that keeps both utilizations at their planned values and prefills what is pending within a boot
 * time. The rate alone would be too low for long if it were wrong, as are predictions of what is cached on new backend servers.
 */
const countNeeded = (sample: LoadSample): number => {
	const drainTokensPerSecond = sample.bootMs > 0 ? sample.pendingTokens * 1000 / sample.bootMs : 0;
	const neededForPrompts = (sample.promptTokensPerSecond + drainTokensPerSecond) / (sample.tokensPerMs * 1000 * plannedPrefillUtilization);
	const neededForCalls = sample.running / (sample.places * plannedSlotUtilization);
	return Math.max(neededForPrompts, neededForCalls) + sample.missing;
};

/**
 * Updates the estimate with a sample. It follows a rise at once and a fall slowly. The backend servers that run when a
 * daemon begins to plan are assumed to be sufficient, so they are kept until the load has been known for some seconds.
 */
export const updateDemandEstimate = (previous: DemandEstimate | undefined, sample: LoadSample, now: number): DemandEstimate => {
	if (sample.promptTokensPerSecond === 0) {
		return {backends: previous?.backends ?? 0, assumed: Math.max(previous?.assumed ?? 0, sample.present), at: now};
	}

	const needed = countNeeded(sample);
	if (previous === undefined) {
		return {backends: needed, assumed: sample.present, at: now};
	}

	const elapsedMs = Math.max(0, now - previous.at);
	return {
		backends: Math.max(needed, previous.backends * Math.exp(-elapsedMs / peakDecayBoots / sample.bootMs)),
		assumed: previous.assumed * Math.exp(-elapsedMs / assumedDecayMs),
		at: now,
	};
};
