/** Policy sets that simulations compare. Each decision is a function, and a policy set replaces some of them with simpler ones. */
import {updateDemandEstimate, roundWithHysteresis} from '@shallotpass/core/engines/estimate-demand.js';
import {planBackends} from '@shallotpass/core/engines/plan-backends.js';
import {chooseBackend} from '@shallotpass/core/placement/choose-backend.js';
import {
	computeEngineSpeed, defaultLatencyModel, type PrefillSample, type LatencyModel,
} from '@shallotpass/core/placement/engine-latency.js';
import {computeUnreportedMs} from '@shallotpass/core/placement/spread-choices.js';

export type Policies = {
	readonly choose: typeof chooseBackend;
	/** Whether a backend server is treated as one in another availability zone. */
	readonly isInOtherZone: (ownZone: string, zone: string) => boolean;
	/** Estimates the work that other daemons sent to a backend server and have not reported to this daemon yet, in milliseconds of prefill. */
	readonly computeUnreportedWorkMs: typeof computeUnreportedMs;
	/** Estimates an engine's prefill speed in tokens per millisecond, from the samples of this daemon and of the others. */
	readonly computeSpeed: (own: PrefillSample, others: PrefillSample, latencyModel: LatencyModel) => number;
	/** Whether calls with the same prompt prefix have a preferred backend server. */
	readonly hasPreferredBackends: boolean;
	readonly updateEstimate: typeof updateDemandEstimate;
	readonly roundEstimate: typeof roundWithHysteresis;
	readonly plan: typeof planBackends;
};

/** The decisions as the daemon makes them. */
export const defaultPolicies: Policies = {
	choose: chooseBackend,
	isInOtherZone: (ownZone, zone) => ownZone !== zone,
	computeUnreportedWorkMs: computeUnreportedMs,
	computeSpeed: (own, others, latencyModel) => computeEngineSpeed([own, others], latencyModel),
	hasPreferredBackends: true,
	updateEstimate: updateDemandEstimate,
	roundEstimate: roundWithHysteresis,
	plan: planBackends,
};

/** Orders only on-demand backend servers, as many as are needed, spread over the zones. */
const planOnDemandOnly: typeof planBackends = input => planBackends({...input, bounds: {...input.bounds, reclaimablePrice: undefined}});

/** Chooses a random backend server below its connection limit. */
const chooseAtRandom: typeof chooseBackend = (views, _call, random) => {
	const available = [...views].filter(view => !view.isAtConnectionLimit);
	const view = available[Math.floor(random() * available.length)];
	return view && {id: view.id, predictedMs: 0, cost: 0};
};

/** Keeps the number of backend servers that ran at the start. */
const keepInitialCount: typeof updateDemandEstimate = (previous, sample, now) => ({backends: previous?.backends ?? sample.present, assumed: 0, at: now});

/** Policy sets by their names in experiment files. */
export const policySets: Readonly<Record<string, Policies>> = {
	ours: defaultPolicies,
	// Treats all availability zones as the daemon's own.
	'any-zone': {...defaultPolicies, isInOtherZone: () => false},
	// Ignores work that other daemons have not reported yet.
	'no-spread': {...defaultPolicies, computeUnreportedWorkMs: () => 0},
	// Estimates an engine's speed from the daemon's own samples only.
	'own-speeds': {...defaultPolicies, computeSpeed: (own, _others, latencyModel) => computeEngineSpeed([own], latencyModel)},
	// Assumes the mean speed of the service for every engine.
	'one-speed': {...defaultPolicies, computeSpeed: (_own, _others, latencyModel) => latencyModel.tokensPerMs},
	// Assumes the default speed, without measurements.
	'first-guess': {...defaultPolicies, computeSpeed: () => defaultLatencyModel.tokensPerMs},
	// Has no preferred backend servers for prompt prefixes.
	'no-homes': {...defaultPolicies, hasPreferredBackends: false},
	// Sends each call to a random backend server.
	'any-engine': {...defaultPolicies, choose: chooseAtRandom},
	// Starts on-demand backend servers for every mass reclaim that the plan covers.
	'two-waves': {...defaultPolicies, plan: input => planBackends(input, massReclaims => massReclaims)},
	// Orders only on-demand backend servers.
	'full-price': {...defaultPolicies, plan: planOnDemandOnly},
	// Keeps the initial number of backend servers, all of them on-demand.
	'fixed-fleet': {...defaultPolicies, updateEstimate: keepInitialCount, plan: planOnDemandOnly},
};
