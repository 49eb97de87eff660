/** Orders to a leaving backend server that copy a run to another one, and stop it. */
import {type Call} from '@shallotpass/core/calls/types.js';
import {type GatewayState} from '../gateway-state.js';
import {type BackendHeaders, type CopyReply} from '../ports.js';
import {observeBrittleness} from './backend-brittleness.js';
import {observeLimit} from './backend-limits.js';
import {type BackendState} from './backend-registry.js';
import {type Departure, makeResumePlacement, type StoppedRun} from './stopped-run.js';

/** Timeout of a copy, and of a move, during which the run makes no progress. */
const moveTimeoutMs = 800;

/** A run, its backend server and the one to which it is moved. */
export type RunToMove = {
	readonly gateway: GatewayState;
	readonly call: Call;
	readonly state: BackendState;
	readonly target: BackendState;
};

type Observed = {readonly headers: BackendHeaders | undefined; readonly sentAt: number};

/** Records what an answer to an order states of its backend server. */
const observeHeaders = ({gateway, call, state}: RunToMove, {headers, sentAt}: Observed): void => {
	if (headers !== undefined) {
		observeLimit(gateway, state, headers.limit, {requestId: call.id, sentAt, status: undefined});
		observeBrittleness(gateway, state, headers.brittleness, {requestId: call.id, sentAt, isRejection: false});
	}
};

/** Both orders go on when the stream ends or its caller leaves: their answers tell what is held, and must be freed. */
const makeOrder = ({gateway, call, state, target}: RunToMove) => [
	{address: state.entry.address, agent: state.agent},
	{callId: call.id, to: target.entry.address},
	{timeoutMs: moveTimeoutMs, signal: gateway.stopSignal},
] as const;

/** Copies the KV cache while the run goes on, so that the run is stopped only when the other backend server holds a place for it. */
export const copyRun = async (move: RunToMove): Promise<CopyReply> => {
	const sentAt = move.gateway.clocks.trueTime();
	const {reply, headers} = await move.gateway.engines.copyRun(...makeOrder(move));
	observeHeaders(move, {headers, sentAt});
	return reply;
};

/** What came of an order to stop a run. `busy`: the run goes on and may be stopped later, as another order is in progress, or this one could not be sent. */
export type StopResult = Departure | {readonly kind: 'busy'};

/** What is known of the run before it is stopped. */
export type RunStart = Pick<StoppedRun, 'softwareVersion' | 'permit' | 'copyHandle'>;

/** Stops the run and copies the rest of its KV cache. */
export const stopRun = async (move: RunToMove, start: RunStart): Promise<StopResult> => {
	const {gateway, call, state, target} = move;
	const startedAt = gateway.clocks.steady();
	const sentAt = gateway.clocks.trueTime();
	const {reply, headers} = await gateway.engines.stopAndMove(...makeOrder(move));
	observeHeaders(move, {headers, sentAt});
	gateway.log.write(reply.kind === 'moved' ? 'state' : 'failure', 'call_moved', {
		request: call.id, from: state.entry.id, to: target.entry.id, fromVersion: state.entry.softwareVersion, toVersion: target.entry.softwareVersion, outcome: reply.kind, reason: 'reason' in reply ? reply.reason : undefined,
		leavesInMs: state.entry.leavesInMs, tookMs: Math.round(gateway.clocks.steady() - startedAt),
	});
	switch (reply.kind) {
		case 'moved': {
			const placements = [{...makeResumePlacement(target, call, startedAt), isCounted: true}, makeResumePlacement(state, call, startedAt)];
			return {
				kind: 'stopped', run: {
					...start, order: 'moved', from: state, to: target, kvCache: reply.kvCache, placements,
				},
			};
		}

		case 'kept': {
			return {
				kind: 'stopped', run: {
					...start, order: 'kept', from: state, to: target, kvCache: reply.kvCache, placements: [makeResumePlacement(state, call, startedAt)],
				},
			};
		}

		case 'not_running': {
			return {kind: 'stayed'};
		}

		case 'busy':
		case 'unsent': {
			return {kind: 'busy'};
		}

		case 'failed': {
			return {kind: 'unknown', reason: reply.reason};
		}
	}
};
