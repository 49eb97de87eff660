/** Tracks whether this daemon can open connections to backend servers, from its calls and from probes. */
import {
	initialPathState, recordConnectFailure, recordConnectSuccess,
} from '@shallotpass/core/paths/path-state.js';
import {type BackendState} from '../calls/backend-registry.js';
import {type GatewayState} from '../gateway-state.js';
import {pauseFor} from '../pause.js';
import {canConnect} from './can-connect.js';

/** Interval between probes while the paths are lost, and how many backend servers are probed: some may have failed themselves. */
const probeIntervalMs = 500;
const probesAtOnce = 2;

/** Pause before further backend servers are probed once one was reached again. */
const confirmingIntervalMs = 50;

/** Interval between probes that a waiting call may start. Each one opens a connection, which is billed. */
const suspicionIntervalMs = 250;

export const isCutOff = ({paths}: GatewayState): boolean => paths.lostSince !== undefined;

/** When data was last received from any backend server, on the steady clock. */
const findLastData = ({registry}: GatewayState): number => Math.max(Number.NEGATIVE_INFINITY, ...[...registry.byId.values()].map(({lastReadAt}) => lastReadAt));

/** Whether any backend server was reached after `since`: by data or by a new connection. */
export const hasContactSince = (gateway: GatewayState, since: number): boolean => gateway.paths.connectedAt > since || findLastData(gateway) > since;

const listIncarnations = ({registry}: GatewayState): Set<string> => new Set([...registry.byId.values()].map(({incarnation}) => incarnation));

/** Whether an idle connection to the backend server has worked since the paths were lost. */
const hasWorkingConnection = ({agent, lastReadAt}: BackendState, lostSince: number): boolean =>
	lastReadAt > lostSince && Object.values(agent.freeSockets).some(sockets => (sockets?.length ?? 0) > 0);

/** Whether a call can be sent to the backend server from here. */
export const isReachable = ({paths}: GatewayState, state: BackendState): boolean => paths.lostSince === undefined || hasWorkingConnection(state, paths.lostSince);

/** What failed on lost paths says nothing about backend servers. */
const clearFailures = (gateway: GatewayState, since: number): void => {
	for (const state of gateway.registry.byId.values()) {
		if (state.failedAt >= since) {
			state.failedConnects = 0;
			state.suspendedUntil = 0;
			state.failureRate = 0;
		}
	}
};

const markLost = (gateway: GatewayState, lostSince: number): void => {
	const now = gateway.clocks.steady();
	clearFailures(gateway, lostSince);
	gateway.metrics.cutOff.set(1);
	gateway.log.write('state', 'paths_lost', {
		backends: gateway.registry.byId.size, failed: gateway.paths.failures.size, firstFailedMs: Math.round(now - lostSince), dataMs: Math.round(now - findLastData(gateway)),
	});
	const listeners = [...gateway.onPathsLost];
	for (const onLost of listeners) {
		onLost();
	}
};

/** Records that a connection could not be opened. Returns whether this daemon is cut off from all backend servers. */
export const recordPathFailure = (gateway: GatewayState, state: BackendState, startedAt: number): boolean => {
	const wasLost = isCutOff(gateway);
	const known = listIncarnations(gateway);
	state.failedAt = gateway.clocks.steady();
	if (!known.has(state.incarnation)) {
		return wasLost;
	}

	gateway.paths = recordConnectFailure(gateway.paths, {
		incarnation: state.incarnation, startedAt, now: gateway.clocks.steady(), dataAt: findLastData(gateway), known,
	});
	const {lostSince} = gateway.paths;
	if (!wasLost && lostSince !== undefined) {
		markLost(gateway, lostSince);
	}

	return lostSince !== undefined;
};

/** Records that a connection to the backend server was opened. */
export const recordPathSuccess = (gateway: GatewayState, incarnation: string): void => {
	const {lostSince} = gateway.paths;
	const now = gateway.clocks.steady();
	gateway.paths = recordConnectSuccess(gateway.paths, {incarnation, now, knownCount: gateway.registry.byId.size});
	if (lostSince !== undefined && !isCutOff(gateway)) {
		clearFailures(gateway, lostSince);
		gateway.metrics.cutOff.set(0);
		gateway.log.write('state', 'paths_regained', {lostMs: Math.round(now - lostSince)});
	}
};

/** Opens a connection to the backend server to find out whether there is a path to it. */
const probe = async (gateway: GatewayState, state: BackendState): Promise<void> => {
	const startedAt = gateway.clocks.steady();
	if (await canConnect(gateway.registry.openConnection, state.entry.address)) {
		recordPathSuccess(gateway, state.incarnation);
	} else {
		recordPathFailure(gateway, state, startedAt);
	}
};

/** Picks random backend servers. */
const pickStates = ({random}: GatewayState, states: readonly BackendState[], count: number): BackendState[] => {
	const left = [...states];
	return Array.from({length: Math.min(count, left.length)}, () => left.splice(Math.floor(random() * left.length), 1)[0]!);
};

/** Number of other backend servers that are probed when one cannot be reached. */
const confirmingProbes = 3;

/** Finds out whether the failure of one backend server is a loss of all paths. At most one such question at a time. */
export const confirmLoss = async (gateway: GatewayState, failed: BackendState, isFailureKnown: boolean): Promise<void> => {
	const now = gateway.clocks.steady();
	if (isCutOff(gateway) || now < gateway.nextSuspicionAt) {
		return;
	}

	gateway.nextSuspicionAt = now + suspicionIntervalMs;
	const untried = [...gateway.registry.byId.values()].filter(state => state !== failed && !gateway.paths.failures.has(state.incarnation));
	const others = pickStates(gateway, untried, confirmingProbes);
	await Promise.all((isFailureKnown ? others : [failed, ...others]).map(async state => probe(gateway, state)));
};

/** Looks for a path while there is none, until the signal is aborted. */
export const startPathProbes = async (gateway: GatewayState, signal: AbortSignal): Promise<void> => {
	while (!signal.aborted) {
		const intervalMs = gateway.paths.regained.size > 0 ? confirmingIntervalMs : probeIntervalMs;
		await pauseFor(intervalMs, signal); // eslint-disable-line no-await-in-loop -- a periodic check
		if (!isCutOff(gateway)) {
			continue;
		}

		if (gateway.registry.byId.size === 0) {
			gateway.paths = initialPathState;
			continue;
		}

		const unreached = [...gateway.registry.byId.values()].filter(({incarnation}) => !gateway.paths.regained.has(incarnation));
		// eslint-disable-next-line no-await-in-loop -- one round after the other
		await Promise.all(pickStates(gateway, unreached, probesAtOnce).map(async state => probe(gateway, state)));
	}
};
