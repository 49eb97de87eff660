/**
 * Moves a run that must not be repeated from a leaving backend server to another one: its KV
 * cache is copied while it goes on, and it is stopped once the other one holds a place for it. A mass reclaim takes all reclaimable backend servers
 * of an availability zone with 2 s of notice, and long responses take longer.
 */
import {listenForAbort} from '@shallotpass/common/listen-for-abort.js';
import {type Call} from '@shallotpass/core/calls/types.js';
import {computeDrainEnd} from '../drain-times.js';
import {type GatewayState} from '../gateway-state.js';
import {pauseFor} from '../pause.js';
import {payForRun} from '../quotas/pay-for-run.js';
import {describeDirectory} from '../telemetry/describe-directory.js';
import {returnToLimit, takeFromLimit} from './backend-limits.js';
import {type BackendState} from './backend-registry.js';
import {confirmCallerWaits} from './caller-presence.js';
import {confirmConnection, confirmIncarnation} from './confirm-incarnation.js';
import {type Placement, placeCall, type PlacementResult} from './place-call.js';
import {returnPermit, type SendPermit, takeRepeatPermit} from './send-permit.js';
import {recordStoppedRun} from './record-stopped-run.js';
import {
	copyRun, type RunStart, type RunToMove, stopRun, type StopResult,
} from './stop-run.js';
import {type Departure, releaseCopy, type StoppedRun} from './stopped-run.js';

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

/** Interval at which a run is offered again while no other backend server has room for it. */
const offerIntervalMs = 200;

export type DepartureWatchOptions = {
	readonly gateway: GatewayState;
	readonly call: Call;
	readonly state: BackendState;
	/** Number of the connection on which the answer comes. */
	readonly connection: number | undefined;
	/** Whether the stream can go on behind its last event if the run is stopped. */
	readonly canNamePosition: () => boolean;
	/** Called when the run was stopped: its stream is closed soon, and brings nothing that its continuation does not. */
	readonly onStopped: () => void;
	readonly signal: AbortSignal;
};

export type DepartureWatch = {
	/** Stops watching, and returns what became of the run. To be called when the stream has ended for any reason; every call returns the same. */
	readonly finish: () => Promise<Departure>;
};

const stayed: Departure = {kind: 'stayed'};

/** The run stays on its backend server. */
export const inactiveWatch: DepartureWatch = {
	finish: async () => stayed,
};

type Target = {
	readonly placement: Placement;
	readonly softwareVersion: string;
	readonly permit: SendPermit;
};

/** A run that is offered to other backend servers. */
type Offer = DepartureWatchOptions & {
	/** Aborted when its stream has ended: it is not stopped any more. */
	readonly streamEnd: AbortSignal;
	/** Whether the run that continues it is paid for. */
	isPaid: boolean;
	/** The order to stop it, from when it is sent. */
	order: Promise<StopResult> | undefined;
};

/** Finds another backend server for the run, and takes the permit for the send that continues it there. */
const findTarget = ({gateway, call, state}: Offer): Target | undefined => {
	const {softwareVersion} = state.entry;
	const result: PlacementResult = softwareVersion === undefined
		? {kind: 'none'}
		: placeCall(gateway, call, {attemptedIncarnations: new Set([state.incarnation]), hasStarted: true, softwareVersion});
	if (result.kind !== 'placed' || softwareVersion === undefined) {
		return undefined;
	}

	const permit = takeRepeatPermit(gateway, call);
	return permit && {placement: result.placement, softwareVersion, permit};
};

/** Whether the run's answer comes from the backend server of the directory, and the other one is that of the directory too. */
const confirmEnds = async ({gateway, call, state, connection}: Offer, target: BackendState): Promise<boolean> => {
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

/** Whether the run is to be stopped, now that its copy holds a place: its stream goes on, somebody waits for it, and the run that continues it is paid for. */
const mayStop = async (offer: Offer): Promise<boolean> => {
	const {gateway, call, signal, streamEnd, canNamePosition} = offer;
	if (signal.aborted || streamEnd.aborted) {
		return false;
	}

	offer.isPaid ||= await payForRun(gateway, call, signal);
	return offer.isPaid && await confirmCallerWaits(gateway, signal) && canNamePosition();
};

/** `no_room`, `unconfirmed`, `busy`: the run goes on where it is, and may be offered again. */
type MoveResult = {readonly kind: 'no_room' | 'unconfirmed'} | StopResult;

const mayOfferAgain = ({kind}: MoveResult): boolean => kind === 'no_room' || kind === 'unconfirmed' || kind === 'busy';

/** Stops the run. One that was stopped is freed again if nobody waits for it by then. */
const stopForCaller = async (move: RunToMove, start: RunStart, signal: AbortSignal): Promise<StopResult> => {
	const result = await stopRun(move, start);
	if (result.kind !== 'stopped' || !signal.aborted) {
		return result;
	}

	const {run} = result;
	recordStoppedRun(move, {run, lastEvent: undefined, framing: undefined}, {outcome: 'not_continued', reason: 'given_up'});
	void releaseCopy(move.gateway, [run.from, run.to], run.kvCache.handle);
	return {kind: 'unknown', reason: 'given_up'};
};

/** Moves the run to the target: copies its KV cache, and stops it once the copy holds a place there. */
const moveRunTo = async (offer: Offer, {placement: {state: target}, softwareVersion, permit}: Target): Promise<MoveResult> => {
	const {gateway, state, signal, streamEnd} = offer;
	if (!await confirmEnds(offer, target)) {
		return {kind: 'unconfirmed'};
	}

	const move = {...offer, target};
	const reply = await copyRun(move);
	if (reply.kind === 'no_room') {
		return reply;
	}

	if (reply.kind === 'failed') {
		return {kind: 'unconfirmed'};
	}

	if (reply.kind !== 'copied') {
		return stayed;
	}

	let result: StopResult = stayed;
	// The end of the stream must find either no order or its promise, so both are in one step.
	if (await mayStop(offer) && !streamEnd.aborted) {
		offer.order = stopForCaller(move, {softwareVersion, permit, copyHandle: reply.handle}, signal);
		result = await offer.order;
	}

	if (result.kind === 'stopped') {
		offer.onStopped();
	}

	if (result.kind !== 'stopped') {
		void releaseCopy(gateway, [state, target], reply.handle);
	}

	return result;
};

/** Offers the run to another backend server, if there is one with room and the retry limit allows it. */
const offerRun = async (offer: Offer): Promise<MoveResult> => {
	const {gateway, call} = offer;
	const target = findTarget(offer);
	if (target === undefined) {
		return {kind: 'no_room'};
	}

	const {state} = target.placement;
	// The room must still be there when the KV cache has been copied. The copy takes a place at the other engine.
	takeFromLimit(gateway, state);
	state.running++;
	const result = await moveRunTo(offer, target);
	state.running--;
	if (result.kind !== 'stopped') {
		returnPermit(gateway, call, target.permit);
	}

	if (result.kind !== 'stopped' || result.run.order === 'kept') {
		returnToLimit(gateway, state);
	}

	return result;
};

/** Resolves once nobody waits for the answer any more. */
const waitForGivenUp = async (signal: AbortSignal): Promise<Departure> => new Promise(resolve => {
	listenForAbort(signal, () => {
		resolve({kind: 'unknown', reason: 'given_up'});
	});
});

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
	const offer: Offer = {
		...options, streamEnd: streamEnd.signal, isPaid: false, order: undefined,
	};
	const moveBeforeDeparture = async (): Promise<void> => {
		const now = gateway.clocks.steady();
		const lastReturnAt = (state.leavingSince ?? now) + gateway.settings.bounds.drainMs;
		const moveAt = Math.min((state.leavesAt ?? now) - moveLeadMs, lastReturnAt - returnLeadMs);
		await pauseFor(Math.max(0, moveAt - now), streamEnd.signal);
		while (!streamEnd.signal.aborted && !signal.aborted && !outlastsDrain(gateway, state)) {
			const result = await offerRun(offer); // eslint-disable-line no-await-in-loop -- one offer after the other
			if (!mayOfferAgain(result) || gateway.clocks.steady() + offerIntervalMs >= (state.leavesAt ?? 0)) {
				return;
			}

			await pauseFor(offerIntervalMs, streamEnd.signal); // eslint-disable-line no-await-in-loop -- one offer after the other
		}
	};

	const stopListening = listenForAbort(state.leaving.signal, () => {
		void moveBeforeDeparture();
	});
	return {
		async finish() {
			stopListening();
			streamEnd.abort();
			const result = offer.order === undefined ? stayed : await Promise.race([offer.order, waitForGivenUp(signal)]);
			return result.kind === 'busy' ? stayed : result;
		},
	};
};
