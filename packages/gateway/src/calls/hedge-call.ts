/**
 * Decides whether an idempotent plain call is sent to a second backend server while the first still works on it, as it is going to miss
 * its target there. In effect only for services whose responses state the current speed of their machines.
 */
import {isStream, isRepeatable} from '@shallotpass/core/calls/types.js';
import {computeMissTime, decideHedge, hedgeShare} from '@shallotpass/core/retries/decide-hedge.js';
import {pauseFor} from '../pause.js';
import {isInRollout} from '../rollouts/rollout-state.js';
import {type AdmittedCall, type CallContext} from './call-context.js';
import {predictPlainMs} from './backend-view.js';
import {findSuspension} from './call-attempts.js';
import {type CallProgress} from './call-progress.js';
import {type Placement, placeCall} from './place-call.js';
import {hasAttemptLeft, prepareRepeat} from './prepare-repeat.js';
import {hasRepeatLeft} from './send-permit.js';
import {payForNextRun} from './take-retry.js';

type HedgedCall = {
	readonly context: CallContext;
	readonly admitted: AdmittedCall;
	readonly progress: CallProgress;
};

/** Whether the limit leaves a hedge, and the call a further run. Takes the repeat, and pays for the run. */
const takeHedge = async ({context, admitted, progress}: HedgedCall, signal: AbortSignal): Promise<boolean> => {
	const {gateway} = context;
	const {call} = admitted;
	return hasRepeatLeft(gateway, call, hedgeShare) && findSuspension(context, admitted, progress) === undefined
		&& prepareRepeat(gateway, call, progress, progress.possibleRuns + progress.runsUnderWay) && payForNextRun(gateway, call, progress, signal);
};

/** Waits until the call is better sent to a second backend server as well, and returns its placement. Returns undefined if it never is. */
export const waitForHedge = async (hedged: HedgedCall, {state, choice}: Placement, isEnded: AbortSignal): Promise<Placement | undefined> => {
	const {context: {gateway}, admitted: {call}, progress} = hedged;
	const sentAt = gateway.clocks.steady();
	await pauseFor(computeMissTime({sentAt, targetAt: call.targetAt, currentMs: choice.predictedMs}) - sentAt, isEnded);
	while (!isEnded.aborted) {
		const now = gateway.clocks.steady();
		const placed = placeCall(gateway, call, progress);
		const placement = placed.kind === 'placed' ? placed.placement : undefined;
		const currentMs = predictPlainMs(state, now);
		const decision = decideHedge({
			sentAt, targetAt: call.targetAt, now, currentMs, alternativeMs: placement?.choice.predictedMs,
		});
		if (decision.kind === 'none') {
			return undefined;
		}

		if (decision.kind === 'wait') {
			await pauseFor(decision.until - now, isEnded); // eslint-disable-line no-await-in-loop -- one decision after another
			continue;
		}

		// eslint-disable-next-line no-await-in-loop -- the last decision
		if (placement === undefined || !await takeHedge(hedged, isEnded) || isEnded.aborted) {
			return undefined;
		}

		gateway.metrics.hedges.inc({service: call.service});
		gateway.log.write('routine', 'call_hedged', {
			request: call.id, service: call.service, from: state.entry.id, to: placement.state.entry.id, waitedMs: Math.round(now - sentAt),
			leftMs: Math.round(call.targetAt - now), currentMs: Math.round(currentMs), alternativeMs: Math.round(placement.choice.predictedMs),
		});
		return placement;
	}

	return undefined;
};

/** During a rollout no call is hedged: the version that is late would lose its slow answers to the other one, and look quicker than it is. */
export const mayHedge = ({gateway}: CallContext, {call, outgoing}: AdmittedCall, progress: CallProgress): boolean =>
	!isStream(call.repeatability) && isRepeatable(call.repeatability) && outgoing.trialOf === undefined && progress.attempts === 0
	&& hasAttemptLeft(call, progress, progress.possibleRuns + 1) && gateway.clocks.steady() < call.targetAt
	&& !isInRollout(gateway, call.service) && gateway.registry.byService.get(call.service)?.some(({speed}) => speed !== undefined) === true;
