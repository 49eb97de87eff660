/** Streams of the second deployment of docs/design/rollouts-and-hard-load.md, and policies for them, for simulations. */
import {computeWorkRate, recordWork, type WorkRate} from '../engines/work-rate.js';
import {computeSeparationPenalty, isLongPrompt, pickLanes} from '../placement/long-prompts.js';
import {relayedReportWeight} from '../placement/smooth-reports.js';
import {type Policy, type SimulatedKind} from './simulate-mixed-sizes.js';

/** Makes the kinds with their usual rates times the factors. Callers of long streams leave after four times the objective without an event, before the deadline. */
export const makeStreamKinds = (getLongFactor: (now: number) => number, getShortFactor: (now: number) => number): SimulatedKind[] => [
	{
		name: 'long', rank: 1, getRate: now => 62.9 * getLongFactor(now), meanTokens: 6610, maxTokens: 54_600, targetMs: 1008, limitMs: 4032,
	},
	{
		name: 'short', rank: 0, getRate: now => 267 * getShortFactor(now), meanTokens: 1800, maxTokens: 14_868, targetMs: 504, limitMs: 3024,
	},
];

/** Sends each call at its own rank to the engine with the lowest cost. */
export const placementByCost: Policy = {reportWeight: 1, computePenalties: () => [], decideRank: ({request}) => request.rank};

/** Keeps lanes for long prompts and weighs relayed reports. */
export const makeLanePolicy = (): Policy => {
	let longWork: WorkRate | undefined;
	return {
		...placementByCost,
		reportWeight: relayedReportWeight,
		computePenalties({call, views, tokensPerSecond, now}) {
			const tokensPerMs = views.reduce((sum, {latencyModel}) => sum + latencyModel.tokensPerMs, 0) / views.length;
			const objectiveMs = call.kind.targetMs;
			const isLong = isLongPrompt({uncachedTokens: call.tokens, tokensPerMs, objectiveMs});
			longWork = recordWork(longWork, isLong ? call.tokens : 0, now);
			const candidates = views.map(({incarnationHash, latencyModel}) => ({incarnationHash, tokensPerMs: latencyModel.tokensPerMs}));
			const lanes = pickLanes(candidates, {tokensPerSecond, longTokensPerSecond: computeWorkRate(longWork, now)});
			return candidates.map(candidate => computeSeparationPenalty({isLong, isLane: lanes.has(candidate), objectiveMs}));
		},
	};
};
