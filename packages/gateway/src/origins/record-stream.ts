/** Records the origin of a stream as its first event passes. */
import {recordOrigin} from '@shallotpass/core/origins/origin-ledger.js';
import {type Call} from '@shallotpass/core/calls/types.js';
import {type Attempt} from '../calls/run-at-backend.js';
import {type GatewayState} from '../gateway-state.js';
import {describeDirectory} from '../telemetry/describe-directory.js';
import {type Continuity} from './continuity.js';

export type BegunStream = {
	readonly attempt: Attempt;
	/** Undefined if it is not known. */
	readonly softwareVersion: string | undefined;
};

/** Remembers which version began the stream, here and at other daemons. To be called before the event is sent on, as its caller may come back at once. */
export const recordStream = (gateway: GatewayState, call: Call, {originKey, takeUpUntil, origin}: Continuity, {attempt, softwareVersion}: BegunStream): void => {
	const now = gateway.clocks.steady();
	const {state} = attempt;
	if (softwareVersion === undefined) {
		gateway.log.write('failure', 'stream_began', {
			request: call.id, service: call.service, backend: state?.entry.id, peer: state === undefined ? attempt.source : undefined,
			reason: state === undefined ? 'peer_does_not_tell' : 'incarnation_not_confirmed', directoryAgeMs: describeDirectory(gateway).directoryAgeMs,
		});
		return;
	}

	const record = {
		key: originKey, origins: [{service: call.service, softwareVersion}], begunAt: now, expiresAt: takeUpUntil,
	};
	if (recordOrigin(gateway.origins.ledger, record, now) === 'full') {
		gateway.log.write('failure', 'origin_not_kept', {request: call.id, streams: gateway.origins.ledger.size});
	}

	const keepers = gateway.origins.tell(record);
	if (origin === undefined) {
		gateway.metrics.streamsBegun.inc({service: call.service, version: softwareVersion});
		gateway.log.write('routine', 'stream_began', {
			request: call.id, service: call.service, backend: state?.entry.id, version: softwareVersion, peer: state === undefined ? attempt.source : undefined, keepers: keepers.map(({address}) => address),
		});
	}
};
