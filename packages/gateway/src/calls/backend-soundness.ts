/** Keeps calls from backend servers whose answers again and again are not answers: bytes without end, or that cannot be read. */
import {type Call, isRepeatable} from '@shallotpass/core/calls/types.js';
import {
	type Evidence, isUnsound, listAvoided, longestPauseMs, recordFailure, type ReportedUnsoundness,
} from '@shallotpass/core/retries/unsoundness.js';
import {type GatewayState} from '../gateway-state.js';
import {type ReadExcess} from '../read-bounds.js';
import {type BackendState} from './backend-registry.js';

/** Tells what an excess says of the backend server. Time counts only where others were clearly quicker meanwhile. */
const getEvidence = (excess: ReadExcess): Evidence => {
	switch (excess) {
		case 'informational_heads':
		case 'bytes_without_event':
		case 'endless_body':
		case 'unreadable': {
			return 'anywhere';
		}

		case 'time_without_head':
		case 'time_without_event':
		case 'body_time': {
			return 'here';
		}

		case 'presumed_late':
		case 'unused_body': {
			return 'none';
		}
	}
};

export type UnsoundAnswer = {
	readonly requestId: string;
	/** When the call was sent, on the steady clock. */
	readonly sentAt: number;
	readonly excess: ReadExcess;
};

/** Records that an answer exceeded a bound, and holds it against the backend server if a sound one would not have done so. */
export const recordExcess = (gateway: GatewayState, state: BackendState, {requestId, sentAt, excess}: UnsoundAnswer): void => {
	const now = gateway.clocks.steady();
	const {service} = state.entry;
	gateway.metrics.readExcesses.inc({service, excess});
	const evidence = getEvidence(excess);
	if (evidence === 'none') {
		return;
	}

	const known = state.unsoundness;
	state.unsoundness = recordFailure(known, {evidence, sentAt, now});
	gateway.unreportedLimits.areOwn ||= state.unsoundness !== known && state.unsoundness.isReported && state.unsoundness.pausedUntil > now;
	gateway.log.write('failure', 'backend_unsound', {
		backend: state.entry.id, service, request: requestId, excess, evidence, failures: state.unsoundness.failures, pauseMs: Math.round(Math.max(0, state.unsoundness.pausedUntil - now)),
	});
};

/** Records a whole answer, which ends what was held against the backend server. */
export const recordSoundAnswer = (state: BackendState | undefined): void => {
	if (state !== undefined) {
		state.unsoundness = undefined;
	}
};

/** Whether the call may try a backend server that is kept from others. After its pause it gets one call at a time, for some time only such that may be repeated elsewhere. */
const mayTry = ({unsoundness, running}: BackendState, {repeatability}: Call, now: number): boolean => {
	const {pausedUntil} = unsoundness!;
	const mayBeLost = isRepeatable(repeatability) || now >= pausedUntil + longestPauseMs;
	return now >= pausedUntil && running === 0 && mayBeLost;
};

const compareSoundness = (left: BackendState, right: BackendState): number => (left.unsoundness?.failures ?? 0) - (right.unsoundness?.failures ?? 0);

/** Leaves out backend servers that are kept from calls. If no other is available, the least unsound one takes the call. */
export const filterSound = (gateway: GatewayState, call: Call, available: readonly BackendState[]): readonly BackendState[] => {
	if (!available.some(({unsoundness}) => isUnsound(unsoundness))) {
		return available;
	}

	const now = gateway.clocks.steady();
	const avoided = listAvoided(gateway.registry.byService.get(call.service) ?? []);
	const usable = available.filter(state => !avoided.has(state) || mayTry(state, call, now));
	return usable.length > 0 ? usable : available.toSorted(compareSoundness).slice(0, 1);
};

/** Reports which backend servers are paused, by id. */
export const reportUnsoundness = ({registry, clocks}: GatewayState): Record<string, ReportedUnsoundness> => {
	const now = clocks.steady();
	return Object.fromEntries([...registry.byId.values()]
		.filter(({unsoundness}) => isUnsound(unsoundness) && unsoundness.isReported && now < unsoundness.pausedUntil)
		.map(({entry, incarnationHash, unsoundness}): [string, ReportedUnsoundness] => [entry.id, [incarnationHash, unsoundness!.failures, Math.round(unsoundness!.pausedUntil - now)]]));
};

/** Pauses a backend server that a peer has found unsound. */
export const adoptUnsoundness = (gateway: GatewayState, state: BackendState, [incarnationHash, failures, remainingMs]: ReportedUnsoundness): void => {
	const now = gateway.clocks.steady();
	const pausedUntil = now + remainingMs;
	if (incarnationHash === state.incarnationHash && pausedUntil > (state.unsoundness?.pausedUntil ?? now)) {
		state.unsoundness = {
			failures: Math.max(failures, state.unsoundness?.failures ?? 0), at: now, pausedUntil, isReported: false,
		};
	}
};
