/** Records failed and broken connections to backend servers. */
import {setTimeout as sleep} from 'node:timers/promises';
import {isAtBeginning, recordCrash, refuteCrash} from '../crashes/record-evidence.js';
import {type SentCall} from '../crashes/request-traits.js';
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
	readonly sent: SentCall;
	/** When the head of its answer was received, on the steady clock. Undefined if there was none. */
	readonly answeredAt: number | undefined;
	readonly onFinding?: (finding: BreakFinding) => void;
};

/** What a broken connection says about its backend server. */
export type BreakFinding = 'reachable' | 'leaving' | 'paths_lost' | 'reached_by_peer' | 'crashed';

const logBreak = (gateway: GatewayState, state: BackendState, {sent: {call}, answeredAt}: BrokenCall, finding: BreakFinding): void => {
	gateway.log.write('state', 'connection_broken', {
		request: call.id, backend: state.entry.id, finding, answeredMs: answeredAt === undefined ? undefined : Math.round(gateway.clocks.steady() - answeredAt),
		parts: call.promptParts.map(({id}) => id).join(','),
	});
};

/** Longest time that a crash waits for the word of a peer before others are told of it. */
const peerWordMs = 150;

const waitForPeer = async (): Promise<'slow'> => sleep(peerWordMs, 'slow' as const);

/** Finds out what a broken connection says about the backend server. */
const findCause = async (gateway: GatewayState, state: BackendState, {sent, answeredAt}: BrokenCall): Promise<BreakFinding> => {
	const startedAt = gateway.clocks.steady();
	const mayBeCause = isAtBeginning(gateway, answeredAt);
	if (await canConnect(gateway.registry.openConnection, state.entry.address)) {
		recordPathSuccess(gateway, state.incarnation);
		return 'reachable';
	}

	const isPathLost = recordPathFailure(gateway, state, startedAt);
	if (!isPathLost) {
		suspendBackend(gateway, state, 'ended_during_a_call');
		void confirmLoss(gateway, state, true);
	}

	if (state.leavingSince !== undefined) {
		return 'leaving';
	}

	const asked = askPeerForBackend(gateway, state);
	// The next request like it may follow within milliseconds, so a peer that is slow to answer is not waited for.
	const soonKnown = isPathLost ? await asked : await Promise.race([asked, waitForPeer()]);
	// Backend servers that end one after the other look like lost paths from here.
	const mayHaveCrashed = soonKnown === 'unreached' || (!isPathLost && soonKnown !== 'reached');
	const isSuspected = mayHaveCrashed && mayBeCause;
	if (isSuspected) {
		recordCrash(gateway, state, sent, answeredAt);
	}

	const contact = await asked;
	if (contact === 'reached') {
		if (isSuspected) {
			refuteCrash(gateway, state);
		}

		return isPathLost ? 'paths_lost' : 'reached_by_peer';
	}

	return mayHaveCrashed ? 'crashed' : 'paths_lost';
};

/** Handles a connection that broke during a call. Resolves with whether the backend server has crashed, for all that is known. */
export const recordBrokenConnection = async (gateway: GatewayState, state: BackendState, broken: BrokenCall): Promise<boolean> => {
	const finding = await findCause(gateway, state, broken);
	if (finding === 'reached_by_peer') {
		gateway.log.write('state', 'backend_path_lost', {backend: state.entry.id, address: state.entry.address});
	}

	broken.onFinding?.(finding);
	logBreak(gateway, state, broken, finding);
	return finding === 'crashed';
};
