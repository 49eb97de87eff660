/**
 * Requests that were in flight when a backend server died unannounced. One of
 * them may be the cause; it shows when it is run again apart from the others and
 * the next backend server dies too.
 */

export type Suspect = {
	readonly fingerprint: string;
	/** Backend servers that died while they ran it. */
	readonly deaths: readonly string[];
	readonly isConvicted: boolean;
	/** The furthest that an answer to it had come at a death; what ends a backend server may lie there. */
	readonly tokens: number;
	/** When it is forgotten. */
	readonly forgetAt: number;
};

export type SuspectState = ReadonlyMap<string, Suspect>;

/** A request at the moment of a death. */
export type InFlight = {
	readonly fingerprint: string;
	/** Tokens of its answer that had come. */
	readonly tokens: number;
};

type DeathOptions = {
	readonly state: SuspectState;
	readonly backendId: string;
	readonly inFlight: readonly InFlight[];
	/** Deaths in the same availability zone around this one, this one included. */
	readonly zoneDeaths: number;
	readonly wasAnnounced: boolean;
	readonly now: number;
};

const rememberMs = 60 * 60 * 1000;

/** A second death convicts. */
const deathsToConvict = 2;

/** So many deaths of one availability zone within the window are a reclaim, and say nothing of requests. */
const zoneWaveDeaths = 3;

export const zoneWaveWindowMs = 2000;

export const recordDeath = (options: DeathOptions): SuspectState => {
	const {state, backendId, inFlight, zoneDeaths, wasAnnounced, now} = options;
	if (wasAnnounced || zoneDeaths >= zoneWaveDeaths) {
		return state;
	}

	const next = new Map(state);
	for (const {fingerprint, tokens} of inFlight) {
		const known = next.get(fingerprint);
		const deaths = [...new Set([...(known?.deaths ?? []), backendId])];
		next.set(fingerprint, {
			fingerprint,
			deaths,
			isConvicted: deaths.length >= deathsToConvict,
			tokens: Math.max(known?.tokens ?? 0, tokens),
			forgetAt: now + rememberMs,
		});
	}

	return next;
};

/** Takes in what another daemon has seen; both sides come to the same state in any order. */
export const mergeSuspects = (state: SuspectState, others: readonly Suspect[]): SuspectState => {
	const next = new Map(state);
	for (const other of others) {
		const known = next.get(other.fingerprint);
		const deaths = [...new Set([...(known?.deaths ?? []), ...other.deaths])].toSorted();
		next.set(other.fingerprint, {
			fingerprint: other.fingerprint,
			deaths,
			isConvicted: deaths.length >= deathsToConvict,
			tokens: Math.max(known?.tokens ?? 0, other.tokens),
			forgetAt: Math.max(known?.forgetAt ?? 0, other.forgetAt),
		});
	}

	return next;
};

export const forgetSuspects = (state: SuspectState, now: number): SuspectState =>
	new Map([...state].filter(([, suspect]) => suspect.forgetAt > now));

/** So many tokens past the place of a death, apart from other suspects, show that the request did not do it. */
const clearedAfterTokens = 8;

/** Whether a suspect that runs apart from others has come far enough to be cleared. */
export const isPastDeath = (suspect: Suspect | undefined, tokens: number): boolean =>
	tokens >= (suspect?.tokens ?? 0) + clearedAfterTokens;

export const liftSuspect = (state: SuspectState, fingerprint: string): SuspectState => {
	const next = new Map(state);
	next.delete(fingerprint);
	return next;
};
