/** Watches for backend servers that stop sending data. */
import {type GatewayState} from '../gateway-state.js';
import {type BackendState} from './backend-registry.js';
import {recordConnectFailure} from './connect-failures.js';

/** Calls `onSilent` if no data is received from the backend server for too long. Returns a function that stops watching. */
// eslint-disable-next-line max-params -- the backend server, the send time, the timeout and its callback
export const watchForSilence = (gateway: GatewayState, state: BackendState, sentAt: number, maxSilenceMs: number | undefined, onSilent: () => void): (() => void) => {
	if (maxSilenceMs === undefined) {
		return () => {/* nothing to stop */};
	}

	let timer: NodeJS.Timeout | undefined;
	const check = (): void => {
		const remainingMs = maxSilenceMs - (gateway.clocks.steady() - Math.max(sentAt, state.lastReadAt));
		if (remainingMs > 0) {
			timer = setTimeout(check, remainingMs + 1);
			return;
		}

		recordConnectFailure(gateway, state, 'silent');
		onSilent();
	};

	timer = setTimeout(check, maxSilenceMs);
	return () => {
		clearTimeout(timer);
	};
};
