/** Counts running calls as load of their backend servers. */
import {updateFailureRate} from '@shallotpass/core/placement/moving-averages.js';
import {type GatewayState} from '../gateway-state.js';
import {isCutOff} from '../paths/track-paths.js';
import {type BackendState} from './backend-registry.js';

/** Counts a call in the load of its backend server until it ends. */
// eslint-disable-next-line max-params -- the backend server and what the call adds to its load
export const trackRunningCall = (gateway: GatewayState, rank: number, state: BackendState, uncachedTokens: number, digest: string) => {
	const now = gateway.clocks.steady();
	state.running++;
	if (state.firstUnansweredAt <= state.lastReadAt) {
		state.firstUnansweredAt = now;
	}

	state.pendingTokens[rank]! += uncachedTokens;
	state.runningDigests.add(digest);
	let isPending = true;
	let isRunning = true;
	const endPending = (): void => {
		if (isPending) {
			isPending = false;
			state.pendingTokens[rank]! -= uncachedTokens;
		}
	};

	const callKey = Symbol('call');
	state.unansweredSince.set(callKey, now);
	return {
		endPending,
		markAnswered(): void {
			state.unansweredSince.delete(callKey);
		},
		end(isFailure: boolean): void {
			if (!isRunning) {
				return;
			}

			isRunning = false;
			endPending();
			state.unansweredSince.delete(callKey);
			state.running--;
			state.runningDigests.delete(digest);
			state.failureRate = updateFailureRate(state.failureRate, isFailure && !isCutOff(gateway));
		},
	};
};
