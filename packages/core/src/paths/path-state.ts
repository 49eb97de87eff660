/**
 * Tells whether a daemon has lost its paths to the backend servers, as opposed to backend servers that have failed. A daemon
 * may be cut off from all of them while callers, the store and other daemons still reach it.
 *
 * New connections are the evidence: an open connection may live on while new ones are refused, and a silent one says
 * nothing about the others. Times are on the steady clock, in milliseconds.
 */

export type PathState = {
	/** Attempts to open a connection that failed since the last one that succeeded, by incarnation of the backend server: when the latest began. */
	readonly failures: ReadonlyMap<string, number>;
	/** When a connection to any backend server was last opened. */
	readonly connectedAt: number;
	/** Beginning of the first failed attempt that shows the loss. Undefined while new connections can be opened. */
	readonly lostSince: number | undefined;
	/** Backend servers to which a connection was opened since the loss. */
	readonly regained: ReadonlySet<string>;
};

export const initialPathState: PathState = {
	failures: new Map(), connectedAt: Number.NEGATIVE_INFINITY, lostSince: undefined, regained: new Set(),
};

/** Backend servers that have to fail, or to be reached again: a single one may have failed itself. */
const decisiveCount = 2;

/** Time without data from any backend server after which none counts as answering. */
const quietMs = 150;

/** Failures older than this say nothing of the present. */
const failureExpiryMs = 2000;

export type ConnectFailure = {
	readonly incarnation: string;
	/** When the attempt began. */
	readonly startedAt: number;
	readonly now: number;
	/** When data was last received from any backend server. */
	readonly dataAt: number;
	/** Incarnations of all backend servers that are in use. */
	readonly known: ReadonlySet<string>;
};

/**
 * Records a failed attempt. The paths are lost if attempts at two backend servers have failed and none has succeeded
 * since the first. While data arrives from others it takes four: two may have crashed at the same moment.
 */
export const recordConnectFailure = (state: PathState, {incarnation, startedAt, now, dataAt, known}: ConnectFailure): PathState => {
	if (startedAt <= state.connectedAt) {
		return state;
	}

	const failures = new Map([...state.failures].filter(([failed, at]) => at > now - failureExpiryMs && known.has(failed)));
	failures.set(incarnation, startedAt);
	if (state.lostSince !== undefined) {
		// One that was reached and fails again is no sign that the paths are back.
		return {...state, failures, regained: new Set([...state.regained].filter(reached => reached !== incarnation))};
	}

	const needed = Math.min(known.size, now < dataAt + quietMs ? 2 * decisiveCount : decisiveCount);
	return {...state, failures, lostSince: failures.size >= needed ? Math.min(...failures.values()) : undefined};
};

export type ConnectSuccess = {
	readonly incarnation: string;
	readonly now: number;
	/** Number of backend servers that are in use. */
	readonly knownCount: number;
};

/** Records an opened connection. Lost paths are back once two backend servers were reached that have not failed again. */
export const recordConnectSuccess = (state: PathState, {incarnation, now, knownCount}: ConnectSuccess): PathState => {
	if (state.lostSince === undefined) {
		return {...state, connectedAt: now, failures: state.failures.size === 0 ? state.failures : new Map()};
	}

	const regained = new Set([...state.regained, incarnation]);
	return regained.size >= Math.min(decisiveCount, knownCount)
		? {...initialPathState, connectedAt: now}
		: {...state, regained};
};
