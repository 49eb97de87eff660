/** What a play tries: each decision is a function, and a policy set replaces some of them by a plainer form. */
import {updateDemandEstimate, roundWithHysteresis} from '@shallotpass/core/engines/estimate-demand.js';
import {planBackends} from '@shallotpass/core/engines/plan-backends.js';
import {chooseBackend} from '@shallotpass/core/placement/choose-backend.js';
import {
	computeEngineSpeed, defaultLatencyModel, type PrefillSample, type LatencyModel,
} from '@shallotpass/core/placement/engine-latency.js';
import {computeUnreportedMs} from '@shallotpass/core/placement/spread-choices.js';

export type Policies = {
	readonly choose: typeof chooseBackend;
	/** Whether a backend server counts as one of another zone. */
	readonly isRemote: (ownZone: string, zone: string) => boolean;
	readonly computeUnseen: typeof computeUnreportedMs;
	/** Tokens a millisecond of an engine, by what this daemon and the others saw of it. */
	readonly computeSpeed: (own: PrefillSample, others: PrefillSample, pace: LatencyModel) => number;
	/** Whether prompts have homes. */
	readonly hasHomes: boolean;
	readonly learnNeed: typeof updateDemandEstimate;
	readonly roundNeed: typeof roundWithHysteresis;
	readonly plan: typeof planBackends;
};

export const ours: Policies = {
	choose: chooseBackend,
	isRemote: (ownZone, zone) => ownZone !== zone,
	computeUnseen: computeUnreportedMs,
	computeSpeed: (own, others, pace) => computeEngineSpeed([own, others], pace),
	hasHomes: true,
	learnNeed: updateDemandEstimate,
	roundNeed: roundWithHysteresis,
	plan: planBackends,
};

/** Orders as many at the full price as are needed, spread over the zones, and no reclaimable ones. */
const planAtFullPrice: typeof planBackends = input => planBackends({...input, bounds: {...input.bounds, reclaimablePrice: undefined}});

/** Takes each engine in turn that has room. */
const chooseAtRandom: typeof chooseBackend = (views, _call, random) => {
	const open = [...views].filter(view => !view.isAtConnectionLimit);
	const view = open[Math.floor(random() * open.length)];
	return view && {id: view.id, predictedMs: 0, cost: 0};
};

/** Keeps what was there at the start. */
const assumeFixed: typeof updateDemandEstimate = (need, sample, now) => ({backends: need?.backends ?? sample.present, assumed: 0, at: now});

export const policySets: Readonly<Record<string, Policies>> = {
	ours,
	'any-zone': {...ours, isRemote: () => false},
	'no-spread': {...ours, computeUnseen: () => 0},
	'own-speeds': {...ours, computeSpeed: (own, _others, pace) => computeEngineSpeed([own], pace)},
	'one-speed': {...ours, computeSpeed: (_own, _others, pace) => pace.tokensPerMs},
	'first-guess': {...ours, computeSpeed: () => defaultLatencyModel.tokensPerMs},
	'no-homes': {...ours, hasHomes: false},
	'any-engine': {...ours, choose: chooseAtRandom},
	'two-waves': {...ours, plan: input => planBackends(input, waves => waves)},
	'full-price': {...ours, plan: planAtFullPrice},
	'fixed-fleet': {...ours, learnNeed: assumeFixed, plan: planAtFullPrice},
};
