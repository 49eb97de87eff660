/**
 * Moves a run that must not be repeated from a leaving backend server to another one: its KV
 * cache is copied, and the run continues there. A mass reclaim takes all reclaimable backend servers
 * of an availability zone with 2 s of notice, and long responses take longer.
 */
import {listenForAbort} from '@shallotpass/common/listen-for-abort.js';
import {type Call} from '@shallotpass/core/calls/types.js';
import {computeDrainEnd} from '../drain-times.js';
import {type GatewayState} from '../gateway-state.js';
import {pauseFor} from '../pause.js';
import {payForRun} from '../quotas/pay-for-run.js';
import {type MovedKvCache} from '../ports.js';
import {describeDirectory} from '../telemetry/describe-directory.js';
import {observeBrittleness} from './backend-brittleness.js';
import {observeLimit, takeFromLimit} from './backend-limits.js';
import {confirmCallerWaits} from './caller-presence.js';
import {confirmConnection, confirmIncarnation} from './confirm-incarnation.js';
import {type Placement, placeCall, type PlacementResult} from './place-call.js';
import {type BackendState} from './backend-registry.js';
import {returnPermit, type SendPermit, takeRepeatPermit} from './send-permit.js';

/**
 * Time before the departure of its backend server at which a run is moved, in milliseconds. With a
 * longer time, more runs are moved that would have finished by themselves. With a shorter one, the
 * delay of the notice and the transfer of the KV cache use up the remaining time.
 */
const moveLeadMs = 1300;

/**
 * Time before the end of the drain time at which a run is moved at the latest, in milliseconds. If its KV cache
 * can't be copied, it returns to its own backend server, where it must arrive within the drain time.
 */
const returnLeadMs = 500;

/** Timeout of a move. The run makes no progress meanwhile. */
const moveTimeoutMs = 800;

/** A run that was stopped and can be continued. */
export type MovedRun = {
	/** Version of the software that began it. */
	readonly softwareVersion: string;
	readonly kvCache: MovedKvCache;
	/** Placements where it can continue, best first. */
	readonly placements: readonly Placement[];
	/** For the send that continues it. */
	readonly permit: SendPermit;
};

export type DepartureWatchOptions = {
	readonly gateway: GatewayState;
	readonly call: Call;
	readonly state: BackendState;
	/** Number of the connection on which the answer comes. */
	readonly connection: number | undefined;
	readonly signal: AbortSignal;
};

export type DepartureWatch = {
	/** Stops watching and returns the run if it was moved. To be called when the stream has ended for any reason. */
	readonly finish: () => Promise<MovedRun | undefined>;
};

/** The run stays on its backend server. */
export const inactiveWatch: DepartureWatch = {
	finish: async () => undefined,
};

/** Makes a placement at a backend server that holds the run's KV cache, so the complete prompt counts as cached. */
const makePlacement = (state: BackendState, call: Call, chosenAt: number): Placement => ({
	state, choice: {id: state.entry.id, predictedMs: 0, cost: 0}, cachedTokens: call.promptTokens, chosenAt,
});

/** Stops the run and copies its KV cache to another backend server, if the retry limit allows it. */
const moveRun = async (options: DepartureWatchOptions): Promise<MovedRun | undefined> => {
	const {gateway, call, state} = options;
	const {softwareVersion} = state.entry;
	const result: PlacementResult = softwareVersion === undefined
		? {kind: 'none'}
		: placeCall(gateway, call, {attemptedIncarnations: new Set([state.incarnation]), hasStarted: true, softwareVersion});
	return result.kind === 'placed' && softwareVersion !== undefined ? moveRunTo(options, result.placement, softwareVersion) : undefined;
};

/** The same to this backend server, with the permit for the send that continues the run. */
const moveRunTo = async (options: DepartureWatchOptions, target: Placement, softwareVersion: string): Promise<MovedRun | undefined> => {
	const {gateway, call} = options;
	const permit = takeRepeatPermit(gateway, call);
	if (permit === undefined) {
		return undefined;
	}

	const stopped = await stopRun(options, target);
	if (stopped === undefined) {
		returnPermit(gateway, call, permit);
		return undefined;
	}

	return {...stopped, softwareVersion, permit};
};

/** Whether the run's answer comes from the backend server of the directory, and the other one is that of the directory too. */
const confirmEnds = async ({gateway, call, state, connection}: DepartureWatchOptions, target: BackendState): Promise<boolean> => {
	const [source, other] = await Promise.all([confirmConnection(gateway, state, connection), confirmIncarnation(gateway, target)]);
	if (source === 'confirmed' && other === 'confirmed') {
		return true;
	}

	gateway.log.write('failure', 'run_not_moved', {
		request: call.id, service: call.service, from: state.entry.id, to: target.entry.id,
		unknown: source === 'confirmed' ? 'to' : 'from', finding: source === 'confirmed' ? other : source, ...describeDirectory(gateway),
	});
	return false;
};

const stopRun = async (options: DepartureWatchOptions, target: Placement): Promise<Pick<MovedRun, 'kvCache' | 'placements'> | undefined> => {
	const {gateway, call, state, signal} = options;
	if (!await confirmEnds(options, target.state)) {
		return undefined;
	}

	if (signal.aborted || !await payForRun(gateway, call, signal) || !await confirmCallerWaits(gateway, signal)) {
		return undefined;
	}

	// The room must still be there when the KV cache has been copied.
	takeFromLimit(gateway, target.state);
	const startedAt = gateway.clocks.steady();
	const sentAt = gateway.clocks.trueTime();
	// The copy takes a place at the other engine.
	target.state.running++;
	const {reply, headers} = await gateway.engines.stopAndMove(
		{address: state.entry.address, agent: state.agent},
		{callId: call.id, to: target.state.entry.address},
		{timeoutMs: moveTimeoutMs, signal},
	);
	target.state.running--;
	if (headers !== undefined) {
		observeLimit(gateway, state, headers.limit, {requestId: call.id, sentAt, status: undefined});
		observeBrittleness(gateway, state, headers.brittleness, {requestId: call.id, sentAt, isRejection: false});
	}

	gateway.log.write(reply.kind === 'moved' ? 'state' : 'failure', 'call_moved', {
		request: call.id, from: state.entry.id, to: target.state.entry.id, fromVersion: state.entry.softwareVersion, toVersion: target.state.entry.softwareVersion, outcome: reply.kind, reason: reply.kind === 'failed' ? reply.reason : undefined,
		leavesInMs: state.entry.leavesInMs, tookMs: Math.round(gateway.clocks.steady() - startedAt),
	});
	switch (reply.kind) {
		case 'moved': {
			return {kvCache: reply.kvCache, placements: [{...makePlacement(target.state, call, startedAt), isCounted: true}, makePlacement(state, call, startedAt)]};
		}

		case 'kept': {
			// The run has stopped and its KV cache was not copied, so it can continue only on the same backend server.
			return {kvCache: reply.kvCache, placements: [makePlacement(state, call, startedAt)]};
		}

		case 'not_running':
		case 'failed': {
			return undefined;
		}
	}
};

/** Whether the backend server stays until this daemon's process has ended, so that a move would only take time from the run. */
const outlastsDrain = ({drainingSince, settings: {bounds}}: GatewayState, {leavesAt}: BackendState): boolean =>
	drainingSince !== undefined && leavesAt !== undefined && leavesAt >= computeDrainEnd(drainingSince, bounds.graceMs);

/** Moves the call's run when its backend server is about to leave. Resumable streams are not moved, as another backend server can resume them. */
export const watchDeparture = (options: DepartureWatchOptions): DepartureWatch => {
	const {gateway, call, state, signal} = options;
	const canMove = gateway.configuration?.servicesByName.get(call.service)?.canMoveRuns === true;
	if (call.repeatability !== 'stream_once' || !canMove) {
		return inactiveWatch;
	}

	const streamEnd = new AbortController();
	let pendingMove: Promise<MovedRun | undefined> | undefined;
	const moveBeforeDeparture = async (): Promise<MovedRun | undefined> => {
		const now = gateway.clocks.steady();
		const lastReturnAt = (state.leavingSince ?? now) + gateway.settings.bounds.drainMs;
		const moveAt = Math.min((state.leavesAt ?? now) - moveLeadMs, lastReturnAt - returnLeadMs);
		await pauseFor(Math.max(0, moveAt - now), streamEnd.signal);
		return streamEnd.signal.aborted || signal.aborted || outlastsDrain(gateway, state) ? undefined : moveRun(options);
	};

	const scheduleMove = (): void => {
		pendingMove = moveBeforeDeparture();
	};

	const stopListening = listenForAbort(state.leaving.signal, scheduleMove);
	return {
		async finish() {
			stopListening();
			streamEnd.abort();
			return pendingMove;
		},
	};
};
