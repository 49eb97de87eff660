/** Tracks what a stream waits for at a backend server, and judges by the others whether it waits too long. */
import {type Call, isRepeatable} from '@shallotpass/core/calls/types.js';
import {type CurrentWait, type WaitStage} from '@shallotpass/core/retries/relative-waits.js';
import {type GatewayState} from '../gateway-state.js';
import {type ReadExcess} from '../read-bounds.js';
import {
	compareWait, decideWait, isLongPause, makePause, recordWaitEnd,
} from './compare-waits.js';
import {type Attempt} from './run-at-backend.js';

export type StreamWaits = {
	readonly onEvents: () => void;
	/** Whether the stream sends nothing for longer than others. */
	readonly isStalled: () => boolean;
	/** Returns why the stream is given up that sends bytes and no event. Undefined if it is waited for. */
	readonly findExcess: () => ReadExcess | undefined;
};

const unwatchedWaits: StreamWaits = {
	onEvents() {/* The peer watches the stream itself. */}, isStalled: () => false, findExcess: () => undefined,
};

export const watchStreamWaits = (gateway: GatewayState, call: Call, {state, sentAt, predictedMs, endContentWait}: Attempt, prepareRepeat: () => boolean): StreamWaits => {
	if (state === undefined) {
		return unwatchedWaits;
	}

	let stage: WaitStage = 'content';
	let wait: CurrentWait = {since: sentAt, predictedMs};
	const isCallerLeaving = (): boolean => gateway.clocks.steady() >= wait.since + call.patienceMs;
	return {
		onEvents() {
			recordWaitEnd(gateway, state, stage, wait);
			endContentWait();
			stage = 'gap';
			wait = makePause(gateway.clocks.steady());
		},
		isStalled() {
			const hasStalled = isLongPause(gateway, state, wait.since);
			if (hasStalled) {
				// The next stream that pauses as long may do so because this is usual.
				recordWaitEnd(gateway, state, 'gap', makePause(wait.since));
			}

			return hasStalled;
		},
		findExcess() {
			const compared = {call, stage, wait};
			if (!isRepeatable(call.repeatability) || isCallerLeaving()) {
				return compareWait(gateway, state, compared) === 'overtaken' ? 'time_without_event' : undefined;
			}

			const decision = decideWait(gateway, state, compared, prepareRepeat);
			return decision === 'wait' ? undefined : (decision === 'proven' ? 'time_without_event' : 'presumed_late');
		},
	};
};
