/** Places streams that yield again, with a rank at which they do not delay those that can be on time. */
import {decideRank} from '@shallotpass/core/admission/decide-rank.js';
import {type Call, isStream} from '@shallotpass/core/calls/types.js';
import {type GatewayState} from '../gateway-state.js';
import {isExcess} from '../quotas/excess-demand.js';
import {type CallProgress} from './call-progress.js';
import {getYieldingRank} from './yielding-rank.js';
import {type Placement, type PlacementResult} from './place-call.js';

export type PlacedCall = {
	readonly call: Call;
	readonly placement: Placement;
};

type RankDecisionInput = PlacedCall & {
	readonly progress: CallProgress;
	readonly place: (call: Call) => PlacementResult;
};

/** Returns the call and the placement with which it is sent. Only a first attempt yields: a repeat or a stream that has begun has waited already. */
export const applyRankDecision = (gateway: GatewayState, {call, placement, progress, place}: RankDecisionInput): PlacedCall => {
	if (!isStream(call.repeatability) || progress.attempts > 0 || progress.hasStarted || progress.softwareVersion !== undefined) {
		return {call, placement};
	}

	const {rank, reason} = decideRank({
		rank: call.rank, yieldingRank: getYieldingRank(gateway, call.service), predictedMs: placement.choice.predictedMs,
		targetAt: call.targetAt, now: gateway.clocks.steady(), isExcess: isExcess(gateway, call),
	});
	if (reason === undefined) {
		return {call, placement};
	}

	const yieldingCall = {...call, rank};
	const result = place(yieldingCall);
	if (result.kind !== 'placed') {
		return {call, placement};
	}

	gateway.metrics.yieldedCalls.inc({service: call.service, reason});
	return {call: yieldingCall, placement: {...result.placement, isYielding: true}};
};

/** Predicts for a call that yields a wait up to its deadline. Later calls overtake it, so a long wait is no sign of a fault. */
export const withWaitUntilDeadline = (placement: Placement, {deadline}: Call, now: number): Placement => placement.isYielding === true
	? {...placement, choice: {...placement.choice, predictedMs: Math.max(placement.choice.predictedMs, deadline - now)}}
	: placement;
