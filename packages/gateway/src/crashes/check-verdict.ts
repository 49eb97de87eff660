/** Keeps calls from backend servers that would crash there. */
import {
	findVerdict, getEvidence, isUnproven, listSharedParts, listVerdicts,
} from '@shallotpass/core/crashes/crash-ledger.js';
import {type CrashVerdict} from '@shallotpass/core/crashes/types.js';
import {type Refusal} from '../calls/refusal.js';
import {type GatewayState} from '../gateway-state.js';
import {pauseFor} from '../pause.js';
import {describeVerdict} from './announce-verdicts.js';
import {type SentCall, toRequestTraits} from './request-traits.js';
import {beginTrial} from './try-verdict.js';

/** Retry-After in seconds. What crashes backend servers stays blocked for hours. */
const suspendedRetryAfterS = 30;

/** Time after a crash in which the crashes that other daemons have seen become known here. */
const suspicionPauseMs = 400;

/** Deaths of one part from which an unproven call is not sent on after its own backend server ended. */
const suspiciousDeaths = 2;

const findVerdictOnCall = (gateway: GatewayState, sent: SentCall): CrashVerdict | undefined =>
	listVerdicts(gateway.crashes).length === 0 ? undefined : findVerdict(gateway.crashes, toRequestTraits(sent));

const refuse = (gateway: GatewayState, sent: SentCall, verdict: CrashVerdict): Refusal => {
	gateway.metrics.crashRefusals.inc({kind: verdict.kind});
	gateway.log.write('failure', 'refused_for_crashes', {
		request: sent.call.id, on: describeVerdict(verdict), ends: verdict.deaths.length, score: verdict.score, account: sent.call.account,
	});
	const what = verdict.kind === 'part' ? `A part of the prompt (${verdict.keys.join(', ')})` : 'This request';
	return {kind: 'request_suspended', detail: `${what} has ended ${verdict.deaths.length} backend servers.`, retryAfterS: suspendedRetryAfterS};
};

/** Returns the refusal of a call for which there is a verdict, before a send. A call that is tried is sent once. */
export const findCrashRefusal = (gateway: GatewayState, sent: SentCall, sends: number): Refusal | undefined => {
	const verdict = findVerdictOnCall(gateway, sent);
	const isTrial = sent.outgoing.trialOf !== undefined && sends === 0;
	return verdict === undefined || isTrial ? undefined : refuse(gateway, sent, verdict);
};

/** Decides on a call that has arrived: it is refused for a verdict, or let through as a trial of the named one. */
export const checkVerdict = (gateway: GatewayState, sent: SentCall): {readonly refusal: Refusal | undefined; readonly trialOf: string | undefined} => {
	const verdict = findVerdictOnCall(gateway, sent);
	const trialOf = verdict && beginTrial(gateway, verdict);
	if (trialOf !== undefined) {
		gateway.log.write('state', 'crash_trial', {request: sent.call.id, on: trialOf, ends: verdict?.deaths.length});
	}

	return {trialOf, refusal: verdict === undefined || trialOf !== undefined ? undefined : refuse(gateway, sent, verdict)};
};

/**
 * Whether a call may be sent on after its backend server ended. A call with a part that has never been answered may be the cause,
 * so it waits for what other daemons have seen, and ends if that part was on another backend server that ended.
 */
export const mayRunAgain = async (gateway: GatewayState, sent: SentCall, hasCrashed: Promise<boolean>, signal: AbortSignal): Promise<boolean> => {
	const traits = toRequestTraits(sent);
	if (!isUnproven(gateway.crashes, traits) || !await hasCrashed) {
		return true;
	}

	await pauseFor(suspicionPauseMs, signal);
	return !listSharedParts(traits.partIds).some(id => {
		const evidence = getEvidence(gateway.crashes, 'part', id);
		return evidence?.survivals.size === 0 && evidence.deaths.size >= suspiciousDeaths;
	});
};
