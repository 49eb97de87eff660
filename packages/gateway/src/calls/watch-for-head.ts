/** Watches a call that gets informational heads and no answer, which nothing else ends before its deadline. */
import {limitTimerMs} from '@shallotpass/common/value-bounds.js';
import {type Call, isRepeatable, isStream} from '@shallotpass/core/calls/types.js';
import {type CurrentWait} from '@shallotpass/core/retries/relative-waits.js';
import {computeEventTimeout} from '@shallotpass/core/retries/silence-timeout.js';
import {type GatewayState} from '../gateway-state.js';
import {type BackendState} from './backend-registry.js';
import {compareIntervalMs, decideWait} from './compare-waits.js';

export type HeadWatchOptions = {
	readonly gateway: GatewayState;
	readonly call: Call;
	readonly state: BackendState;
	readonly wait: CurrentWait;
	/** Takes the repeat with which the call is sent elsewhere. Returns false if there is none. */
	readonly prepareRepeat: () => boolean;
	/** `isProven`: whether another backend server has been quicker meanwhile. */
	readonly onLate: (isProven: boolean) => void;
};

export type HeadWatch = {
	readonly onInformation: () => void;
	readonly stop: () => void;
};

/** Share of the time to its deadline for which a plain call waits. The rest is for another backend server. */
const usedTimeShare = 0.5;

const unwatchedHead: HeadWatch = {
	onInformation() {/* The call must not be repeated. */}, stop() {/* Nothing runs. */},
};

/** Calls `onLate` if the head is late and another backend server would be quicker. */
export const watchForHead = ({gateway, call, state, wait, prepareRepeat, onLate}: HeadWatchOptions): HeadWatch => {
	if (!isRepeatable(call.repeatability)) {
		return unwatchedHead;
	}

	const timeoutMs = isStream(call.repeatability) ? computeEventTimeout(call) : (call.deadline - wait.since) * usedTimeShare;
	let timer: NodeJS.Timeout | undefined;
	const check = (): void => {
		const decision = decideWait(gateway, state, {call, stage: 'content', wait}, prepareRepeat);
		if (decision !== 'wait') {
			onLate(decision === 'proven');
			return;
		}

		timer = setTimeout(check, compareIntervalMs);
	};

	return {
		onInformation() {
			timer ??= setTimeout(check, limitTimerMs(wait.since + timeoutMs - gateway.clocks.steady()));
		},
		stop() {
			clearTimeout(timer);
		},
	};
};
