/** Compares the cost of a day of demand under different fleet sizing policies, with the same requests and reclaims. */
import {z} from 'zod';
import {runDays} from './fleet/run-days.js';
import {fleetPolicies} from './fleet/fleet-policies.js';
import {type DayPlan} from './fleet/day-simulation.js';
import {type DaySummary} from './fleet/summarize-day.js';
import {round} from './latencies.js';
import {type Experiment, type Report} from './experiment.js';
import {readDeployment} from './routing/read-deployment.js';

const schema = z.strictObject({
	experiment: z.literal('fleet'),
	seed: z.int(),
	peakLoad: z.number().positive(),
	reclaimHours: z.array(z.number().nonnegative()),
	day: z.array(z.strictObject({deployment: z.string(), shape: z.array(z.number().min(0).max(1)).min(2)})).min(1),
});

type Options = z.output<typeof schema>;

const describe = (name: string, days: readonly DaySummary[]): string => [
	name,
	...days.map(day => `  ${day.policy.padEnd(18)} credits ${day.credits}, per 1000 within target ${day.creditsPerThousand}, within ${day.withinTarget} (${day.classes.map(item => `${item.class} ${item.withinTarget}`).join(', ')}), requests ${day.asked}, refused ${day.refused}, instances ${day.instances}, never used ${day.neverUsed}, start calls ${day.startCalls}`),
].join('\n');

/** Share of a class's answers that must meet its latency target. */
const requiredShare = 0.95;

const meetsTargets = (day: DaySummary): boolean => day.classes.every(item => item.withinTarget >= requiredShare);

/** Returns the cost per thousand answers of our policy relative to the cheapest of the baselines; undefined if there is none. */
const computeCostRatio = (own: DaySummary, baselines: readonly DaySummary[]): number | undefined =>
	baselines.length === 0 ? undefined : round(own.creditsPerThousand / Math.min(...baselines.map(day => day.creditsPerThousand)), 3);

const isBaseline = (day: DaySummary): boolean => fleetPolicies.find(policy => policy.name === day.policy)!.isBaseline;

const run = async (options: Options, printLine: (line: string) => void): Promise<Report> => {
	const plans = options.day.flatMap(({deployment, shape}) => fleetPolicies.map(({name}): DayPlan => ({
		deployment: readDeployment(deployment), policy: name, seed: options.seed, peakLoad: options.peakLoad, shape, reclaimHours: options.reclaimHours,
	})));
	const summaries = await runDays(plans);
	const ratios = options.day.map(({deployment}, index) => {
		const days = summaries.slice(index * fleetPolicies.length, (index + 1) * fleetPolicies.length);
		printLine(describe(deployment, days));
		const own = days.find(day => !isBaseline(day))!;
		const baselines = days.filter(day => isBaseline(day));
		return {
			deployment,
			keepsTargets: meetsTargets(own),
			withinTarget: own.withinTarget,
			neverUsed: own.neverUsed,
			creditsToKeepingTargets: computeCostRatio(own, baselines.filter(day => meetsTargets(day))),
			creditsToEqualShare: computeCostRatio(own, baselines.filter(day => day.withinTarget >= own.withinTarget)),
			creditsToCheapest: computeCostRatio(own, baselines),
		};
	});
	return {
		experiment: 'fleet', seed: options.seed, ratios, unanswered: summaries.reduce((sum, day) => sum + day.unanswered, 0), days: summaries,
	};
};

export const fleetExperiment: Experiment<typeof schema> = {name: 'fleet', schema, run};
