/** Simulates ways to know what engines have cached on two deployments, and reports calls on time, times to the first event and recomputed tokens. */
import * as z from 'zod';
import {makeRandom} from '@shallotpass/core/testing/make-random.js';
import {prefixDeployments} from '@shallotpass/core/testing/prefix-deployments.js';
import {simulatePrefixCache} from '@shallotpass/core/testing/simulate-prefix-cache.js';
import {prefixPolicies, summarizePrefixCalls} from '@shallotpass/core/testing/summarize-prefix-cache.js';
import {type Experiment, type Report} from './experiment.js';

const schema = z.strictObject({
	experiment: z.literal('prefixes'),
	seed: z.int(),
	seeds: z.int().positive(),
});

const durationMs = 50_000;
const countedFromMs = 20_000;

const computeMean = (values: readonly number[]): number => values.reduce((sum, value) => sum + value, 0) / values.length;

const run = async ({seed, seeds}: z.output<typeof schema>, printLine: (line: string) => void): Promise<Report> => {
	const rows = [];
	for (const [deployment, simulation] of Object.entries(prefixDeployments)) {
		for (const [policy, estimate] of Object.entries(prefixPolicies)) {
			const reports = Array.from({length: seeds}, (_seed, index) => simulatePrefixCache({
				...simulation, durationMs, countedFromMs, restarts: [], estimate, random: makeRandom(seed + index),
			}));
			const figures = reports.map(report => summarizePrefixCalls(report));
			const calls = figures[0]!.map(({kind}, index) => ({
				kind, onTime: computeMean(figures.map(list => list[index]!.onTime)), p50: computeMean(figures.map(list => list[index]!.p50)), p99: computeMean(figures.map(list => list[index]!.p99)),
			}));
			const row = {
				deployment,
				policy,
				recomputed: computeMean(reports.map(({recomputedTokens, sharedTokens}) => recomputedTokens / sharedTokens)),
				priced: computeMean(reports.map(({pricedTokens, sharedTokens}) => pricedTokens / sharedTokens)),
				calls,
			};
			rows.push(row);
			const times = calls.map(({kind, onTime, p50, p99}) => `${kind} ${onTime.toFixed(4)} ${Math.round(p50)}/${Math.round(p99)}`).join('; ');
			printLine(`${deployment}, ${policy}: recomputed ${row.recomputed.toFixed(4)}, priced ${row.priced.toFixed(4)}; on time, p50/p99 ms: ${times}`);
		}
	}

	return {experiment: 'prefixes', seeds, rows};
};

export const prefixesExperiment: Experiment<typeof schema> = {name: 'prefixes', schema, run};
