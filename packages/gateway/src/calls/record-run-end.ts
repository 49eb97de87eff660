/** Records that the answer of a backend server to a stream ended before it was whole, and why. */
import {type ReadExcess} from '../read-bounds.js';
import {recordSendEnd} from '../telemetry/call-trace.js';
import {describeDirectory} from '../telemetry/describe-directory.js';
import {recordBrokenAttempt} from './call-attempts.js';
import {type Attempt} from './run-at-backend.js';
import {canGoOn, type StreamState} from './stream-state.js';

/** Why a run is given up here. `silent`: nothing came for longer than from others. */
export type GivenUpReason = ReadExcess | 'silent';

export const logNotContinued = ({context: {gateway}, call, progress}: StreamState, {state, source}: Attempt): void => {
	gateway.log.write('failure', 'stream_not_continued', {
		request: call.id, service: call.service, unknown: progress.softwareVersion === undefined ? 'version' : 'last_event', backend: state?.entry.id, peer: state === undefined ? source : undefined, ...describeDirectory(gateway),
	});
};

/** Records that the stream broke off, or was given up as it exceeded a bound, which says nothing of the connection. */
const recordInterruption = ({context: {gateway}, call, outgoing, progress}: StreamState, attempt: Attempt, reason: GivenUpReason | undefined): void => {
	if (reason === undefined || reason === 'silent') {
		recordBrokenAttempt(gateway, attempt, {call, outgoing}, progress);
		progress.lastFailure = `the stream from ${attempt.source} was interrupted`;
		return;
	}

	attempt.recordExcess(reason);
	attempt.versionResult.onSilence();
	progress.hasCrashed = undefined;
	progress.lastFailure = `the stream from ${attempt.source} was given up for ${reason}`;
};

/** Records why an answer ended early: given up here, or broken off by the other side if there is no reason. */
export const recordRunEnd = (stream: StreamState, attempt: Attempt, reason: GivenUpReason | undefined): void => {
	const {context: {gateway, trace, timing}, call} = stream;
	recordInterruption(stream, attempt, reason);
	recordSendEnd(trace, attempt.source, reason === undefined ? 'broke_off' : `given_up_${reason}`);
	if (reason === undefined) {
		return;
	}

	gateway.metrics.runsGivenUp.inc({reason});
	gateway.log.write('failure', 'run_given_up', {
		request: call.id, reason, backend: attempt.source, pauseMs: Math.round(gateway.clocks.steady() - timing.lastEventAt), canGoOn: canGoOn(stream), service: call.service,
	});
};
