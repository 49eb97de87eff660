/** Watches for backend servers that stop sending data, and for lost paths that nothing else shows. */
import {soundSilenceMs} from '@shallotpass/core/retries/silence-timeout.js';
import {type GatewayState} from '../gateway-state.js';
import {confirmLoss, hasContactSince} from '../paths/track-paths.js';
import {type BackendState, computeUnansweredMs} from './backend-registry.js';
import {suspendBackend} from './connect-failures.js';

export type SilenceWatchOptions = {
	readonly gateway: GatewayState;
	readonly state: BackendState;
	/** When the call was sent, on the steady clock. */
	readonly sentAt: number;
	readonly predictedMs: number;
	/** Time without data after which the call is given up. Undefined if it must not be sent again. */
	readonly maxSilenceMs: number | undefined;
	readonly onSilent: () => void;
};

/** Shortest time without any data after which a waiting call doubts the paths. */
const minDoubtMs = 150;

/** Finds out whether the paths are lost if a call waits long and no backend server at all was heard meanwhile. Returns a function that stops watching. */
const watchForLostPaths = ({gateway, state, sentAt, predictedMs}: SilenceWatchOptions): (() => void) => {
	const doubtMs = Math.max(minDoubtMs, predictedMs * 2);
	let timer: NodeJS.Timeout | undefined;
	const check = (): void => {
		if (state.lastReadAt > sentAt) {
			return;
		}

		if (!hasContactSince(gateway, gateway.clocks.steady() - doubtMs)) {
			void confirmLoss(gateway, state, false);
		}

		timer = setTimeout(check, doubtMs);
	};

	timer = setTimeout(check, doubtMs);
	return () => {
		clearTimeout(timer);
	};
};

/** Calls `onSilent` if no data is received from the backend server for too long, or at once if the paths are lost. */
const watchForTimeout = ({gateway, state, sentAt, onSilent}: SilenceWatchOptions, maxSilenceMs: number): (() => void) => {
	let timer: NodeJS.Timeout | undefined;
	const check = (): void => {
		const remainingMs = maxSilenceMs - (gateway.clocks.steady() - Math.max(sentAt, state.lastReadAt));
		if (remainingMs > 0) {
			timer = setTimeout(check, remainingMs + 1);
			return;
		}

		// A sound backend server may be silent for a second.
		if (computeUnansweredMs(state, gateway.clocks.steady()) >= soundSilenceMs) {
			suspendBackend(gateway, state, 'silent');
		}

		onSilent();
	};

	const onLost = (): void => {
		if (state.lastReadAt <= (gateway.paths.lostSince ?? sentAt)) {
			clearTimeout(timer);
			onSilent();
		}
	};

	timer = setTimeout(check, maxSilenceMs);
	gateway.onPathsLost.add(onLost);
	return () => {
		clearTimeout(timer);
		gateway.onPathsLost.delete(onLost);
	};
};

/** Watches a call until the returned function is called. */
export const watchForSilence = (options: SilenceWatchOptions): (() => void) => {
	const stopWatchingPaths = watchForLostPaths(options);
	const stopWatchingTimeout = options.maxSilenceMs === undefined ? undefined : watchForTimeout(options, options.maxSilenceMs);
	return () => {
		stopWatchingPaths();
		stopWatchingTimeout?.();
	};
};
