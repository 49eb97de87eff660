/** Repeats the fault injection experiments with increasing seeds for a number of minutes; exits with 1 if a guarantee was violated or a run failed. */
import process from 'node:process';
import {parseArgs} from 'node:util';
import {type Report} from './experiment.js';
import {runExperiment} from './run-experiment.js';

const millisecondsPerMinute = 60_000;

/** Figures of each experiment's report that must be 0. */
const zeroFigures: Readonly<Record<string, readonly string[]>> = {
	history: ['violations'],
	reclaim: ['lost', 'executionsMoreThanOnce', 'lateArrivals'],
	claims: ['executionsMoreThanOnce'],
	configuration: ['versionsReverted'],
};

const findNonZeroFigures = (name: string, report: Report): string[] =>
	(zeroFigures[name] ?? []).filter(figure => report[figure] !== 0);

const printLine = (line: string): void => {
	process.stdout.write(`${line}\n`);
};

/** Runs an experiment and returns its report. If the run fails, prints the error with the seed, so that it can be repeated, and returns undefined. */
const runWithoutProgress = async (name: string, seed: number): Promise<Report | undefined> => {
	try {
		return await runExperiment(name, seed, line => {
			// Progress lines are omitted, except for violations.
			if (line.startsWith('BROKEN')) {
				printLine(line);
			}
		});
	} catch (error) {
		printLine(`seed ${seed} ${name}: RUN FAILED, ${error instanceof Error ? error.stack ?? error.message : String(error)}`);
		return undefined;
	}
};

const readNumber = (name: string, text: string): number => {
	const value = Number(text);
	if (!Number.isFinite(value) || value <= 0) {
		process.stderr.write(`--${name}: expected a number greater than 0, found ${text}\n`);
		process.exit(2);
	}

	return value;
};

const run = async (firstSeed: number, minutes: number): Promise<number> => {
	const endsAt = Date.now() + (minutes * millisecondsPerMinute);
	let runs = 0;
	for (let seed = firstSeed; Date.now() < endsAt; seed++) {
		for (const name of Object.keys(zeroFigures)) {
			const report = await runWithoutProgress(name, seed); // eslint-disable-line no-await-in-loop -- experiments are sequential
			if (report === undefined) {
				return 1;
			}

			const violated = findNonZeroFigures(name, report);
			runs++;
			printLine(`seed ${seed} ${name}: ${violated.length === 0 ? 'held' : `BROKEN ${JSON.stringify(violated)} ${JSON.stringify(report)}`}`);
			if (violated.length > 0) {
				return 1;
			}
		}
	}

	printLine(JSON.stringify({soak: 'held', firstSeed, runs}));
	return 0;
};

const {values} = parseArgs({options: {seed: {type: 'string', default: '1'}, minutes: {type: 'string', default: '10'}}});
process.exit(await run(readNumber('seed', values.seed), readNumber('minutes', values.minutes)));
