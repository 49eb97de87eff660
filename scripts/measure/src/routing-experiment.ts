/** Compares routing policies on the users' deployments with the same requests for each policy. */
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
	/** Names of files in experiments/deployments, without extension. */
	deployments: z.array(z.string()).min(1),
	/** Loads relative to the deployment's capacity. */
	loads: z.array(z.number().positive()).min(1),
	/** Whether daemons receive the engines' cache events. */
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

/** Returns a figure of our policy relative to the best baseline; lower is better. */
const computeRatioToBest = (point: Point, getFigure: (summary: RunSummary) => number): number => {
	const baselines = new Set(comparedPolicies.filter(policy => policy.isBaseline).map(policy => policy.name));
	const ownFigures = point.policies.filter(summary => !baselines.has(summary.policy)).map(summary => getFigure(summary));
	const baselineFigures = point.policies.filter(summary => baselines.has(summary.policy)).map(summary => getFigure(summary));
	return round(Math.min(...ownFigures) / Math.min(...baselineFigures), 3);
};

const describe = ({deployment, load, isReclaimed, policies}: Point): string => [
	`${deployment}, load ${load}${isReclaimed ? ', a zone reclaimed' : ''}`,
	...policies.map(summary => `  ${summary.policy.padEnd(16)} credits/1000 ${summary.creditsPerThousand} recomputed ${summary.recomputedShare} ${summary.classes.map(item => `${item.class} ${item.withinTarget}`).join(' ')} refused ${summary.refused} attempts ${summary.attemptsPerRequest} fairness ${summary.fairness}`),
].join('\n');

const run = async (options: Options, printLine: (line: string) => void): Promise<Report> => {
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

		printLine(`${deployment.name}: a load of 1 equals ${round(computeCapacity(deployment), 1)} chat requests per second`);
	}

	const summaries = await runInThreads(jobs);
	const points: Point[] = [];
	for (let firstIndex = 0; firstIndex < jobs.length; firstIndex += comparedPolicies.length) {
		const {plan} = jobs[firstIndex]!;
		points.push({
			deployment: plan.deployment.name,
			load: plan.load,
			isReclaimed: plan.isReclaimed,
			policies: comparedPolicies.map(({name}, index) => ({policy: name, ...summaries[firstIndex + index]!})),
		});
	}

	for (const point of points) {
		printLine(describe(point));
	}

	return {
		experiment: 'routing',
		seed: options.seed,
		ratios: points.map(point => ({
			deployment: point.deployment,
			load: point.load,
			isReclaimed: point.isReclaimed,
			recomputed: computeRatioToBest(point, summary => summary.recomputedShare),
			credits: computeRatioToBest(point, summary => summary.creditsPerThousand),
		})),
		untrueRefusals: summaries.reduce((sum, summary) => sum + summary.untrueRefusals, 0),
		unanswered: summaries.reduce((sum, summary) => sum + summary.unanswered, 0),
		points,
	};
};

export const routingExperiment: Experiment<typeof schema> = {name: 'routing', schema, run};
