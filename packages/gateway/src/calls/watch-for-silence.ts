/** Watches for backend servers that stop sending data, and for lost paths that nothing else shows. */
import {limitTimerMs} from '@shallotpass/common/value-bounds.js';
import {type Call} from '@shallotpass/core/calls/types.js';
import {type CurrentWait} from '@shallotpass/core/retries/relative-waits.js';
import {soundSilenceMs} from '@shallotpass/core/retries/silence-timeout.js';
import {type GatewayState} from '../gateway-state.js';
import {confirmLoss, hasContactSince} from '../paths/track-paths.js';
import {computeUnansweredMs} from './backend-waits.js';
import {type BackendState} from './backend-registry.js';
import {compareIntervalMs, compareWait} from './compare-waits.js';
import {suspendBackend} from './connect-failures.js';

export type SilenceWatchOptions = {
	readonly gateway: GatewayState;
	readonly call: Call;
	readonly state: BackendState;
	/** Of the call for the head of its answer. */
	readonly wait: CurrentWait;
	/** Time without data after which the call may be sent elsewhere. Undefined if it must not be sent again. */
	readonly maxSilenceMs: number | undefined;
	/** Takes the repeat with which the call is sent elsewhere. Returns false if there is none. */
	readonly prepareRepeat: () => boolean;
	readonly onSilent: () => void;
	/** Called if the paths are lost, so that no answer can come. */
	readonly onLost: () => void;
};

/** Shortest time without any data after which a waiting call doubts the paths. */
const minDoubtMs = 150;

/** Finds out whether the paths are lost if a call waits long and no backend server at all was heard meanwhile. Returns a function that stops watching. */
const watchForLostPaths = ({gateway, state, wait: {since: sentAt, predictedMs}}: SilenceWatchOptions): (() => void) => {
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

/** Whether the call is better sent elsewhere after long silence. It waits on if all backend servers are silent alike, or if it could not be sent elsewhere. */
const isDoubted = ({gateway, state, call, wait, prepareRepeat}: SilenceWatchOptions): boolean => {
	const finding = compareWait(gateway, state, {call, stage: 'head', wait});
	return finding === 'overtaken' || (finding !== 'alike' && prepareRepeat());
};

/** Calls `onSilent` if no data is received from the backend server for too long, and `onLost` if the paths are lost. */
const watchForTimeout = (options: SilenceWatchOptions, maxSilenceMs: number): (() => void) => {
	const {gateway, state, wait: {since: sentAt}, onSilent, onLost} = options;
	let timer: NodeJS.Timeout | undefined;
	const check = (): void => {
		const remainingMs = maxSilenceMs - (gateway.clocks.steady() - Math.max(sentAt, state.lastReadAt));
		if (remainingMs > 0) {
			timer = setTimeout(check, limitTimerMs(remainingMs + 1));
			return;
		}

		if (!isDoubted(options)) {
			timer = setTimeout(check, compareIntervalMs);
			return;
		}

		// A sound backend server may be silent for a second.
		if (computeUnansweredMs(state, gateway.clocks.steady()) >= soundSilenceMs) {
			suspendBackend(gateway, state, 'silent');
		}

		onSilent();
	};

	const onPathsLost = (): void => {
		if (state.lastReadAt <= (gateway.paths.lostSince ?? sentAt)) {
			clearTimeout(timer);
			onLost();
		}
	};

	timer = setTimeout(check, maxSilenceMs);
	gateway.onPathsLost.add(onPathsLost);
	return () => {
		clearTimeout(timer);
		gateway.onPathsLost.delete(onPathsLost);
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
