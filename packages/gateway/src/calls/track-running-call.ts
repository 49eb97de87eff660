/** Counts running calls as load of their backend servers. */
import {updateFailureRate} from '@shallotpass/core/placement/moving-averages.js';
import {type GatewayState} from '../gateway-state.js';
import {isCutOff} from '../paths/track-paths.js';
import {type BackendState} from './backend-registry.js';

export type RunningCall = {
	readonly state: BackendState;
	readonly rank: number;
	/** Prompt tokens to prefill. */
	readonly uncachedTokens: number;
	/** Tokens that it may take in the cache. */
	readonly tokens: number;
	/** When it was sent, on the steady clock. */
	readonly sentAt: number;
};

/** Counts a call in the load of its backend server until it ends. */
export const trackRunningCall = (gateway: GatewayState, {state, rank, uncachedTokens, tokens, sentAt}: RunningCall) => {
	state.running++;
	state.runningTokens += tokens;
	if (state.firstUnansweredAt <= state.lastReadAt) {
		state.firstUnansweredAt = sentAt;
	}

	state.pendingTokens[rank]! += uncachedTokens;
	let isPending = true;
	let isRunning = true;
	let isDoubted = false;
	const endPending = (): void => {
		if (isPending) {
			isPending = false;
			state.pendingTokens[rank]! -= uncachedTokens;
		}
	};

	const callKey = Symbol('call');
	state.unansweredSince.set(callKey, sentAt);
	state.withoutContentSince.set(callKey, sentAt);
	const endContentWait = (): void => {
		state.withoutContentSince.delete(callKey);
	};

	const recordEnd = (isFailure: boolean): void => {
		state.failureRate = updateFailureRate(state.failureRate, isFailure && !isCutOff(gateway));
	};

	return {
		endContentWait,
		endPending,
		markAnswered(): void {
			state.unansweredSince.delete(callKey);
		},
		/** Counts a failure once the call is sent elsewhere as well. It goes on running, and other waits are not compared with its own. */
		doubt(): void {
			isDoubted = true;
			recordEnd(true);
			state.unansweredSince.delete(callKey);
			endContentWait();
		},
		end(isFailure: boolean): void {
			if (!isRunning) {
				return;
			}

			isRunning = false;
			endPending();
			state.unansweredSince.delete(callKey);
			endContentWait();
			state.running--;
			state.runningTokens -= tokens;
			if (!isDoubted || !isFailure) {
				recordEnd(isFailure);
			}
		},
	};
};
