/** Simulates sets of policies on the workloads of customers with several seeds, and reports the mean and standard error of each figure. */
import * as z from 'zod';
import {customerSchema} from './policies/customer.js';
import {type SimulationReport} from './policies/simulate-policies.js';
import {runSimulations, type SimulationJob} from './policies/run-simulations.js';
import {policySets} from './policies/policies.js';
import {type Experiment, type Report} from './experiment.js';

const schema = z.strictObject({
	experiment: z.literal('policies'),
	seed: z.int(),
	seeds: z.int().positive(),
	/** Names of the policy sets to simulate; all if empty. */
	policies: z.array(z.string()),
	customers: z.array(customerSchema).min(1),
});

type Options = z.output<typeof schema>;

const figures = ['onTime', 'late', 'lost', 'worstWindows', 'price', 'readPart'] as const;

type Figure = typeof figures[number];

const computeMean = (values: readonly number[]): number => values.reduce((sum, value) => sum + value, 0) / values.length;

/** Computes the standard error of the mean. */
const computeStandardError = (values: readonly number[]): number => {
	const mean = computeMean(values);
	const variance = values.reduce((sum, value) => sum + ((value - mean) ** 2), 0) / Math.max(1, values.length - 1);
	return Math.sqrt(variance / values.length);
};

const roundFigure = (value: number): number => Number(value.toFixed(value >= 10 ? 1 : 4));

const summarize = (reports: readonly SimulationReport[]): Record<Figure, {readonly mean: number; readonly error: number}> => {
	const entries = figures.map(figure => {
		const values = reports.map(report => report[figure]);
		return [figure, {mean: roundFigure(computeMean(values)), error: roundFigure(computeStandardError(values))}] as const;
	});
	return Object.fromEntries(entries) as Record<Figure, {mean: number; error: number}>;
};

const listPolicies = ({policies}: Options): readonly string[] => {
	const known = Object.keys(policySets);
	const unknown = policies.find(name => !known.includes(name));
	if (unknown !== undefined) {
		throw new Error(`policies: expected names from ${known.join(', ')}, found ${unknown}`);
	}

	return policies.length === 0 ? known : policies;
};

const run = async (options: Options, printLine: (line: string) => void): Promise<Report> => {
	const names = listPolicies(options);
	const jobs = options.customers.flatMap(customer => names.flatMap(policy =>
		Array.from({length: options.seeds}, (_seed, index): SimulationJob => ({customer, policy, seed: options.seed + index}))));
	const reports = await runSimulations(jobs);
	const rows = options.customers.flatMap(customer => names.map(policy => {
		const rowReports = reports.filter((_report, index) => jobs[index]!.customer === customer && jobs[index]!.policy === policy);
		const row = {customer: customer.name, policy, ...summarize(rowReports)};
		printLine(`${row.customer} ${policy}: on time ${row.onTime.mean} ± ${row.onTime.error}, worst windows ${row.worstWindows.mean} ± ${row.worstWindows.error}, late ${row.late.mean}, lost ${row.lost.mean}, price ${row.price.mean}, prompt tokens read per token sent ${row.readPart.mean}`);
		return row;
	}));
	return {experiment: 'policies', seeds: options.seeds, rows};
};

export const policiesExperiment: Experiment<typeof schema> = {name: 'policies', schema, run};
