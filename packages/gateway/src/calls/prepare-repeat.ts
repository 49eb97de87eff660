/** Decides whether a call may be sent once more, before it is given up where it runs. */
import {type Call, isRepeatable} from '@shallotpass/core/calls/types.js';
import {type GatewayState} from '../gateway-state.js';
import {type CallProgress} from './call-progress.js';
import {hasRepeatLeft, takeRepeatPermit} from './send-permit.js';

/** Maximum number of attempts of one call, including those that backend servers refuse. Each refusal costs a round trip. */
const maxAttemptsPerCall = 6;

/** Whether the call may be sent once more after so many possible runs. */
export const hasAttemptLeft = ({repeatability, maxAttempts}: Call, {attempts}: CallProgress, possibleRuns: number): boolean =>
	attempts < maxAttemptsPerCall && (possibleRuns === 0 || (isRepeatable(repeatability) && possibleRuns < maxAttempts));

/** Takes the repeat for a further send. Returns false if none is allowed, so that it is better to wait on. */
export const prepareRepeat = (gateway: GatewayState, call: Call, progress: CallProgress, possibleRuns: number): boolean => {
	if (!hasAttemptLeft(call, progress, possibleRuns)) {
		return false;
	}

	if (progress.heldPermit === undefined && hasRepeatLeft(gateway, call)) {
		progress.heldPermit = takeRepeatPermit(gateway, call);
	}

	return progress.heldPermit !== undefined;
};
