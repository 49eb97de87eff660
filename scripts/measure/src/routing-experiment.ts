/** Compares ways of choosing an engine on the users' deployments, in the same run and on the same requests. */
import {z} from 'zod';
import {round} from './latencies.js';
import {computeCapacity} from './routing/deployment.js';
import {comparedPolicies} from './routing/policy-table.js';
import {readDeployment} from './routing/read-deployment.js';
import {runInThreads, type ThreadJob} from './routing/run-in-threads.js';
import {type RunSummary} from './routing/summarize-run.js';
import {type Experiment, type Report} from './experiment.js';

const schema = z.strictObject({
	experiment: z.literal('routing'),
	seed: z.int(),
	/** Files in experiments/deployments, without their ending. */
	deployments: z.array(z.string()).min(1),
	/** 1 is what the engines carry together with full batches. */
	loads: z.array(z.number().positive()).min(1),
	/** Whether daemons are told of the engines' caches. */
	cacheEvents: z.boolean(),
	warmUpMs: z.number().nonnegative(),
	untilMs: z.number().positive(),
});

type Options = z.output<typeof schema>;

type Point = {
	readonly deployment: string;
	readonly load: number;
	readonly isReclaimed: boolean;
	readonly policies: ReadonlyArray<RunSummary & {readonly policy: string}>;
};

/** The own policy's figure over the best baseline's, less being better. */
const compareToBest = (point: Point, getFigure: (summary: RunSummary) => number): number => {
	const baselines = new Set(comparedPolicies.filter(policy => policy.isBaseline).map(policy => policy.name));
	const own = point.policies.filter(summary => !baselines.has(summary.policy)).map(summary => getFigure(summary));
	const others = point.policies.filter(summary => baselines.has(summary.policy)).map(summary => getFigure(summary));
	return round(Math.min(...own) / Math.min(...others), 3);
};

const describe = ({deployment, load, isReclaimed, policies}: Point): string => [
	`${deployment}, load ${load}${isReclaimed ? ', a zone reclaimed' : ''}`,
	...policies.map(summary => `  ${summary.policy.padEnd(16)} credits/1000 ${summary.creditsPerThousand} recomputed ${summary.recomputedShare} ${summary.classes.map(item => `${item.class} ${item.withinTarget}`).join(' ')} refused ${summary.refused} attempts ${summary.attemptsPerRequest} fairness ${summary.fairness}`),
].join('\n');

const run = async (options: Options, tell: (line: string) => void): Promise<Report> => {
	const jobs: ThreadJob[] = [];
	for (const deployment of options.deployments.map(name => readDeployment(name))) {
		for (const load of options.loads) {
			for (const isReclaimed of [false, true]) {
				const plan = {
					deployment, load, isReclaimed, seed: options.seed, hasCacheEvents: options.cacheEvents, warmUpMs: options.warmUpMs, untilMs: options.untilMs,
				};
				jobs.push(...comparedPolicies.map(({name}) => ({plan, policy: name})));
			}
		}

		tell(`${deployment.name}: a load of 1 is ${round(computeCapacity(deployment), 1)} chat requests a second`);
	}

	const summaries = await runInThreads(jobs);
	const points: Point[] = [];
	for (let first = 0; first < jobs.length; first += comparedPolicies.length) {
		const {plan} = jobs[first]!;
		points.push({
			deployment: plan.deployment.name,
			load: plan.load,
			isReclaimed: plan.isReclaimed,
			policies: comparedPolicies.map(({name}, index) => ({policy: name, ...summaries[first + index]!})),
		});
	}

	for (const point of points) {
		tell(describe(point));
	}

	return {
		experiment: 'routing',
		seed: options.seed,
		ratios: points.map(point => ({
			deployment: point.deployment,
			load: point.load,
			isReclaimed: point.isReclaimed,
			recomputed: compareToBest(point, summary => summary.recomputedShare),
			credits: compareToBest(point, summary => summary.creditsPerThousand),
		})),
		untrueRefusals: summaries.reduce((sum, summary) => sum + summary.untrueRefusals, 0),
		unanswered: summaries.reduce((sum, summary) => sum + summary.unanswered, 0),
		points,
	};
};

export const routingExperiment: Experiment<typeof schema> = {name: 'routing', schema, run};
