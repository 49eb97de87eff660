/** Judges by the other backend servers whether the body of a plain answer takes too long, or has no end. */
import {type Call} from '@shallotpass/core/calls/types.js';
import {isBeyondLargest} from '@shallotpass/core/retries/body-sizes.js';
import {type GatewayState} from '../gateway-state.js';
import {recordSoundAnswer} from './backend-soundness.js';
import {decideWait, recordWaitEnd} from './compare-waits.js';
import {recordPlainLatency} from './record-latency.js';
import {type Attempt} from './run-at-backend.js';

export type PlainBodyWatch = {
	readonly onBytes: (receivedBytes: number) => void;
	/** Whether the body is given up, as another backend server would be quicker. */
	readonly isLate: () => boolean;
	readonly onWhole: () => void;
};

const unwatchedBody: PlainBodyWatch = {
	onBytes() {/* A peer watches it. */}, isLate: () => false, onWhole() {/* A peer records it. */},
};

export const watchPlainBody = (gateway: GatewayState, call: Call, {state, sentAt, predictedMs, recordExcess}: Attempt, takeRepeat: () => boolean): PlainBodyWatch => {
	if (state === undefined) {
		return unwatchedBody;
	}

	const {largestBodies} = gateway.registry;
	const wait = {since: sentAt, predictedMs};
	let bytes = 0;
	let isHeldAgainst = false;
	return {
		onBytes(receivedBytes) {
			bytes = receivedBytes;
			if (!isHeldAgainst && isBeyondLargest(bytes, largestBodies.get(call.service))) {
				isHeldAgainst = true;
				recordExcess('endless_body');
			}
		},
		isLate() {
			const decision = decideWait(gateway, state, {call, stage: 'content', wait}, takeRepeat);
			if (decision === 'wait') {
				return false;
			}

			recordExcess(decision === 'proven' ? 'body_time' : 'presumed_late');
			return true;
		},
		onWhole() {
			largestBodies.set(call.service, Math.max(bytes, largestBodies.get(call.service) ?? 0));
			recordWaitEnd(gateway, state, 'content', wait);
			recordPlainLatency(gateway, state, sentAt);
			recordSoundAnswer(state);
		},
	};
};
