/** Compares what a call waits for at its backend server with the other backend servers of its service. */
import {type Call, isStream} from '@shallotpass/core/calls/types.js';
import {
	type CurrentWait, isUnusualPause, judgeWait, leastPredictedMs, makeEndedWait, type OtherWaits, type WaitFinding, type WaitStage,
} from '@shallotpass/core/retries/relative-waits.js';
import {type GatewayState} from '../gateway-state.js';
import {computeContentWaitMs, computeHeadWaitMs} from './backend-waits.js';
import {type BackendState} from './backend-registry.js';

/** Interval between two looks at a wait that is long, but not longer than elsewhere. */
export const compareIntervalMs = 100;

const listOthers = ({registry}: GatewayState, state: BackendState): BackendState[] =>
	(registry.byService.get(state.entry.service) ?? []).filter(other => other !== state);

/** Records that a call has got what it waited for. */
export const recordWaitEnd = ({clocks}: GatewayState, state: BackendState, stage: WaitStage, wait: CurrentWait): void => {
	state.endedWaits[stage] = makeEndedWait(wait, clocks.steady());
};

/** Returns for how long a call waits at the backend server. Pauses are not tracked beside the call itself. */
const computeWaitingMs = (state: BackendState, stage: WaitStage, now: number): number => {
	switch (stage) {
		case 'head': {
			return computeHeadWaitMs(state, now);
		}

		case 'content': {
			return computeContentWaitMs(state, now);
		}

		case 'gap': {
			return 0;
		}
	}
};

export type ComparedWait = {
	readonly call: Call;
	readonly stage: WaitStage;
	readonly wait: CurrentWait;
};

/** Compares a wait at the backend server with those at the others. */
export const compareWait = (gateway: GatewayState, state: BackendState, {call, stage, wait}: ComparedWait): WaitFinding => {
	const now = gateway.clocks.steady();
	const others = listOthers(gateway, state).map((other): OtherWaits => ({ended: other.endedWaits[stage], waitingMs: computeWaitingMs(other, stage, now)}));
	const usefulUntil = isStream(call.repeatability) ? Math.min(call.deadline, wait.since + call.patienceMs) : call.deadline;
	return judgeWait({
		wait, others, usefulUntil, now,
	});
};

/** Whether the pause within a stream is longer than those at the other backend servers. */
export const isLongPause = (gateway: GatewayState, state: BackendState, since: number): boolean =>
	isUnusualPause(makePause(since), listOthers(gateway, state).map(({endedWaits: {gap}}) => gap), gateway.clocks.steady());

/** Pauses between events are not predicted. */
export const makePause = (since: number): CurrentWait => ({since, predictedMs: leastPredictedMs});

/** `proven`: the call is better given up, as another backend server is quicker. `presumed`: it is better tried elsewhere, which says nothing of its backend server. */
export type WaitDecision = 'wait' | 'proven' | 'presumed';

/** Decides about a call whose backend server sends something, but not what the call waits for. Without a repeat it waits on. */
export const decideWait = (gateway: GatewayState, state: BackendState, compared: ComparedWait, prepareRepeat: () => boolean): WaitDecision => {
	const finding = compareWait(gateway, state, compared);
	if (finding === 'alike' || finding === 'unknown' || !prepareRepeat()) {
		return 'wait';
	}

	return finding === 'overtaken' ? 'proven' : 'presumed';
};
