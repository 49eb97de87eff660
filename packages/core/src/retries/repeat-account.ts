/**
 * Limits repeats across all daemons: arrivals of a call at backend servers after its first one. Each daemon repeats,
 * within a window, at most a fraction of the calls that it received and its part of a fixed slack. All daemons
 * together thus stay within the limit without exchanging messages, also when any of them start again.
 */

export type RepeatAccount = {
	/** When calls were received, oldest first, on the steady clock. */
	readonly calls: number[];
	/** Repeats that are under way, and may still arrive. */
	underWay: number;
	/** When each other repeat had arrived at the latest, oldest first, on the steady clock. */
	readonly arrived: number[];
};

export type RepeatLimit = {
	/** Repeats as a fraction of the calls within the window. */
	readonly ratio: number;
	/** Additional repeats within the window, over all daemons. */
	readonly slack: number;
	readonly windowMs: number;
	/** Number of daemons that share the slack. */
	readonly daemons: number;
	/** Until when what a predecessor of this daemon has repeated may stand in the window, on the steady clock. */
	readonly inheritsUntil: number;
};

export const makeRepeatAccount = (): RepeatAccount => ({calls: [], underWay: 0, arrived: []});

/**
 * Share of the limit that daemons use which have run for a window or longer. The rest is for those that have started
 * since: their predecessors may have used all of that share just before they ended, and nobody may know.
 */
export const settledShare = 0.7;

/**
 * Part of the square root of a daemon's calls that earns nothing. Calls come to daemons by chance, and each daemon would
 * repeat by the window in which it got most of them; these sum to more than all daemons got in any one window.
 */
const unevennessFactor = 0.5;

const dropExpired = (timestamps: number[], windowStart: number): void => {
	const firstKept = timestamps.findIndex(timestamp => timestamp >= windowStart);
	timestamps.splice(0, firstKept === -1 ? timestamps.length : firstKept);
};

/** Calls after which those that have left the window are dropped. Scanning the list on every call would cost as much as the call itself. */
const callsPerScan = 64;

export const recordCall = (account: RepeatAccount, limit: RepeatLimit, now: number): void => {
	account.calls.push(now);
	if (account.calls.length % callsPerScan === 0) {
		dropExpired(account.calls, now - limit.windowMs);
	}
};

/** Takes back the last call, which earns repeats at another daemon. */
export const withdrawCall = (account: RepeatAccount): void => {
	account.calls.pop();
};

/** Counts the repeats that may arrive, or have arrived, within the window that ends now. */
export const countRepeats = (account: RepeatAccount, limit: RepeatLimit, now: number): number => {
	dropExpired(account.arrived, now - limit.windowMs);
	return account.underWay + account.arrived.length;
};

/** Returns how many repeats are allowed within the window that ends now. */
export const computeMaxRepeats = (account: RepeatAccount, limit: RepeatLimit, now: number): number => {
	dropExpired(account.calls, now - limit.windowMs);
	const {length} = account.calls;
	const earned = limit.ratio * Math.max(0, length - (unevennessFactor * Math.sqrt(length)));
	const slackPart = limit.slack / Math.max(1, limit.daemons);
	if (now >= limit.inheritsUntil) {
		return settledShare * (earned + slackPart);
	}

	// The parts of several successors within a window sum to no more than one whole.
	const ageShare = Math.max(0, 1 - ((limit.inheritsUntil - now) / limit.windowMs));
	return (1 - settledShare) * (earned + (slackPart * ageShare));
};

/** Takes one repeat, which counts as under way. Returns false if none is left in the window. */
export const takeRepeat = (account: RepeatAccount, limit: RepeatLimit, now: number): boolean => {
	if (countRepeats(account, limit, now) + 1 > computeMaxRepeats(account, limit, now)) {
		return false;
	}

	account.underWay++;
	return true;
};

/** Records that a repeat has arrived or cannot arrive any more. It leaves the window that much later: links and queues may have held it until now. */
export const settleRepeat = (account: RepeatAccount, now: number): void => {
	account.underWay--;
	account.arrived.push(now);
};

/** Gives a repeat back that was not sent. */
export const returnRepeat = (account: RepeatAccount): void => {
	account.underWay--;
};
