/** Records failed and broken connections to backend servers. */
import {type Call} from '@shallotpass/core/calls/types.js';
import {recordCrash} from '@shallotpass/core/retries/crash-register.js';
import {type GatewayState} from '../gateway-state.js';
import {askPeerForBackend} from '../paths/ask-peer.js';
import {canConnect} from '../paths/can-connect.js';
import {confirmLoss, recordPathFailure, recordPathSuccess} from '../paths/track-paths.js';
import {type BackendState} from './backend-registry.js';

/** Bounds of the exponential backoff after failed connections to a backend server. */
const initialBackoffMs = 250;
const maxBackoffMs = 2000;

/** Sends no calls to the backend server for a while, which doubles with each consecutive failure. */
export const suspendBackend = (gateway: GatewayState, state: BackendState, reason: string): void => {
	const pauseMs = Math.min(maxBackoffMs, initialBackoffMs * (2 ** state.failedConnects));
	state.failedConnects++;
	state.failedAt = gateway.clocks.steady();
	state.suspendedUntil = gateway.clocks.steady() + pauseMs;
	gateway.log.write('state', 'backend_unreachable', {
		backend: state.entry.id, address: state.entry.address, reason, failures: state.failedConnects, pauseMs,
	});
};

/** Handles an attempt to open a connection that began at `startedAt` and failed. It counts against the backend server unless this daemon reaches none. */
export const recordConnectFailure = (gateway: GatewayState, state: BackendState, {reason, startedAt}: {reason: string; startedAt: number}): void => {
	if (!recordPathFailure(gateway, state, startedAt)) {
		suspendBackend(gateway, state, reason);
		void confirmLoss(gateway, state, true);
	}
};

/** A call whose connection broke. */
export type BrokenCall = {
	readonly call: Call;
	readonly digest: string;
	/** When the head of its answer was received, on the steady clock. Undefined if there was none. */
	readonly answeredAt: number | undefined;
};

/** What a broken connection says about its backend server. */
type BreakFinding = 'reachable' | 'paths_lost' | 'reached_by_peer' | 'crashed';

const logBreak = (gateway: GatewayState, state: BackendState, {call, answeredAt}: BrokenCall, finding: BreakFinding): void => {
	gateway.log.write('state', 'connection_broken', {
		request: call.id, backend: state.entry.id, finding, answeredMs: answeredAt === undefined ? undefined : Math.round(gateway.clocks.steady() - answeredAt),
		parts: call.promptParts.map(({id}) => id).join(','),
	});
};

/**
 * Handles a connection that broke during a call. If no new connection can be opened from here and from another daemon, the
 * backend server has crashed and the call may be the cause, so its digest is recorded.
 */
export const recordBrokenConnection = async (gateway: GatewayState, state: BackendState, broken: BrokenCall): Promise<void> => {
	const startedAt = gateway.clocks.steady();
	if (await canConnect(gateway.registry.openConnection, state.entry.address)) {
		recordPathSuccess(gateway, state.incarnation);
		logBreak(gateway, state, broken, 'reachable');
		return;
	}

	if (recordPathFailure(gateway, state, startedAt)) {
		logBreak(gateway, state, broken, 'paths_lost');
		return;
	}

	suspendBackend(gateway, state, 'ended_during_a_call');
	void confirmLoss(gateway, state, true);
	if (await askPeerForBackend(gateway, state) === 'reached') {
		gateway.log.write('state', 'backend_path_lost', {backend: state.entry.id, address: state.entry.address});
		logBreak(gateway, state, broken, 'reached_by_peer');
		return;
	}

	logBreak(gateway, state, broken, 'crashed');
	const {digest} = broken;
	gateway.crashes = recordCrash(gateway.crashes, digest, state.incarnation, gateway.clocks.steady());
	gateway.log.write('state', 'call_suspected', {digest, backend: state.entry.id, ends: gateway.crashes.crashedIncarnations.get(digest)?.length});
};
