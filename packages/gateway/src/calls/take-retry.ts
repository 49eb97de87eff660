/** Decides whether a call is sent once more. */
import {type Call} from '@shallotpass/core/calls/types.js';
import {mayRunAgain} from '../crashes/check-verdict.js';
import {type GatewayState} from '../gateway-state.js';
import {payForRun} from '../quotas/pay-for-run.js';
import {recordAwaited} from '../telemetry/call-trace.js';
import {type AdmittedCall, type CallContext} from './call-context.js';
import {type CallProgress} from './call-progress.js';
import {confirmCallerWaits} from './caller-presence.js';
import {hasAttemptLeft} from './prepare-repeat.js';
import {takeSendPermit} from './send-permit.js';

/** Pays for the run of the next send, unless one is paid for that has not taken place. Returns whether it may be sent. */
export const payForNextRun = async (gateway: GatewayState, call: Call, progress: CallProgress, signal: AbortSignal): Promise<boolean> => {
	const runs = progress.possibleRuns + progress.runsUnderWay;
	if (runs < progress.paidRuns) {
		return true;
	}

	const isPaid = await payForRun(gateway, call, signal);
	if (isPaid) {
		progress.paidRuns = runs + 1;
	}

	return isPaid;
};

/** Whether a further attempt is allowed. Takes a repeat from the limit if the call may have reached a backend server, and pays for a further run. */
export const takeRetry = async ({gateway, trace}: CallContext, admitted: AdmittedCall, progress: CallProgress, signal: AbortSignal): Promise<boolean> => {
	const {call} = admitted;
	recordAwaited(trace, 'retry', gateway.clocks.steady());
	if (!hasAttemptLeft(call, progress, progress.possibleRuns + progress.runsUnderWay)) {
		return false;
	}

	if (progress.hasCrashed !== undefined && !await mayRunAgain(gateway, admitted, progress.hasCrashed, signal)) {
		return false;
	}

	if (!await confirmCallerWaits(gateway, signal)) {
		return false;
	}

	progress.heldPermit = takeSendPermit(gateway, call, progress);
	return progress.heldPermit !== undefined && payForNextRun(gateway, call, progress, signal);
};
