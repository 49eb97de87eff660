/** Watches for calls that may still be on their way to a leaving backend server at the end of its drain time. */
import {listenForAbort} from '@shallotpass/common/listen-for-abort.js';
import {limitTimerMs} from '@shallotpass/common/value-bounds.js';
import {type GatewayState} from '../gateway-state.js';
import {type BackendState} from './backend-registry.js';

/**
 * Calls `onLate` at the end of the drain time if the backend server has sent nothing since the call. Its link may have
 * failed then, and would deliver the call later. Returns a function that stops watching.
 */
export const watchForLateArrival = (gateway: GatewayState, state: BackendState, sentAt: number, onLate: () => void): (() => void) => {
	let timer: NodeJS.Timeout | undefined;
	const check = (): void => {
		if (state.lastReadAt <= sentAt) {
			onLate();
		}
	};

	const scheduleCheck = (): void => {
		const now = gateway.clocks.steady();
		const drainedAt = (state.leavingSince ?? now) + gateway.settings.bounds.drainMs;
		timer = setTimeout(check, limitTimerMs(drainedAt - now));
	};

	const stopListening = listenForAbort(state.leaving.signal, scheduleCheck);
	return () => {
		stopListening();
		clearTimeout(timer);
	};
};
