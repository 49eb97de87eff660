/** Decides whether a call is sent once more. */
import {mayRunAgain} from '../crashes/check-verdict.js';
import {payForRun} from '../quotas/pay-for-run.js';
import {recordAwaited} from '../telemetry/call-trace.js';
import {type AdmittedCall, type CallContext} from './admit-call.js';
import {type CallProgress} from './call-progress.js';
import {confirmCallerWaits} from './caller-presence.js';
import {hasAttemptLeft} from './prepare-repeat.js';
import {takeSendPermit} from './send-permit.js';

/** Whether a further attempt is allowed. Takes a repeat from the limit if the call may have reached a backend server, and pays for a further run. */
export const takeRetry = async ({gateway, trace}: CallContext, admitted: AdmittedCall, progress: CallProgress, signal: AbortSignal): Promise<boolean> => {
	const {call} = admitted;
	recordAwaited(trace, 'retry', gateway.clocks.steady());
	if (!hasAttemptLeft(call, progress, progress.possibleRuns)) {
		return false;
	}

	if (progress.hasCrashed !== undefined && !await mayRunAgain(gateway, admitted, progress.hasCrashed, signal)) {
		return false;
	}

	if (!await confirmCallerWaits(gateway, signal)) {
		return false;
	}

	progress.heldPermit = takeSendPermit(gateway, call, progress);
	return progress.heldPermit !== undefined && (progress.possibleRuns === 0 || payForRun(gateway, call, signal));
};
