/**
 * Requests that were in flight when a backend server crashed without notice. One of them may be
 * the cause: each is run again isolated from other suspects, and is convicted if that backend server
 * crashes too.
 */

export type Suspect = {
	readonly fingerprint: string;
	/** Ids of the backend servers that crashed while running the request. */
	readonly deaths: readonly string[];
	readonly isConvicted: boolean;
	/** Highest number of answer tokens received before a crash. The request may trigger the crash at this position. */
	readonly tokens: number;
	/** Expiry time. */
	readonly forgetAt: number;
};

export type SuspectState = ReadonlyMap<string, Suspect>;

/** State of a request at the time of a crash. */
export type InFlight = {
	readonly fingerprint: string;
	/** Number of answer tokens received so far. */
	readonly tokens: number;
};

type CrashOptions = {
	readonly state: SuspectState;
	readonly backendId: string;
	readonly inFlight: readonly InFlight[];
	/** Number of recent crashes in the same availability zone, including this one. */
	readonly zoneCrashes: number;
	readonly wasAnnounced: boolean;
	readonly now: number;
};

const retentionMs = 60 * 60 * 1000;

/** Number of crashed backend servers after which a request is convicted. */
const crashesToConvict = 2;

/** This many crashes in one availability zone within the window are treated as a mass reclaim, not as caused by requests. */
const massReclaimCrashes = 3;

/** Time window in which crashes of one availability zone are counted. */
export const massReclaimWindowMs = 2000;

/** Marks all requests in flight at a crash as suspects. Returns the updated state. */
export const markSuspects = (options: CrashOptions): SuspectState => {
	const {state, backendId, inFlight, zoneCrashes, wasAnnounced, now} = options;
	if (wasAnnounced || zoneCrashes >= massReclaimCrashes) {
		return state;
	}

	const next = new Map(state);
	for (const {fingerprint, tokens} of inFlight) {
		const known = next.get(fingerprint);
		const deaths = [...new Set([...(known?.deaths ?? []), backendId])];
		next.set(fingerprint, {
			fingerprint,
			deaths,
			isConvicted: deaths.length >= crashesToConvict,
			tokens: Math.max(known?.tokens ?? 0, tokens),
			forgetAt: now + retentionMs,
		});
	}

	return next;
};

/** Merges suspects reported by another daemon. The order of merges does not affect the resulting state. */
export const mergeSuspects = (state: SuspectState, others: readonly Suspect[]): SuspectState => {
	const next = new Map(state);
	for (const other of others) {
		const known = next.get(other.fingerprint);
		const deaths = [...new Set([...(known?.deaths ?? []), ...other.deaths])].toSorted();
		next.set(other.fingerprint, {
			fingerprint: other.fingerprint,
			deaths,
			isConvicted: deaths.length >= crashesToConvict,
			tokens: Math.max(known?.tokens ?? 0, other.tokens),
			forgetAt: Math.max(known?.forgetAt ?? 0, other.forgetAt),
		});
	}

	return next;
};

export const expireSuspects = (state: SuspectState, now: number): SuspectState =>
	new Map([...state].filter(([, suspect]) => suspect.forgetAt > now));

/** Number of tokens past the crash position after which an isolated request is cleared. */
const tokensUntilCleared = 8;

/** Whether the answer of an isolated suspect has progressed far enough to clear it. */
export const hasPassedCrashPosition = (suspect: Suspect | undefined, tokens: number): boolean =>
	tokens >= (suspect?.tokens ?? 0) + tokensUntilCleared;

export const removeSuspect = (state: SuspectState, fingerprint: string): SuspectState => {
	const next = new Map(state);
	next.delete(fingerprint);
	return next;
};
