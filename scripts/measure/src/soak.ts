/** Repeats the experiments that break things, seed after seed, for some minutes; fails when a promise was broken. */
import process from 'node:process';
import {parseArgs} from 'node:util';
import {type Report} from './experiment.js';
import {runExperiment} from './run-experiment.js';

const millisecondsPerMinute = 60_000;

/** Figures that must be 0 in the report of each experiment. */
const mustBeZero: Readonly<Record<string, readonly string[]>> = {
	history: ['violations'],
	reclaim: ['lost', 'executionsMoreThanOnce', 'lateArrivals'],
	claims: ['executionsMoreThanOnce'],
	configuration: ['versionsReverted'],
};

const findBroken = (name: string, report: Report): string[] =>
	(mustBeZero[name] ?? []).filter(figure => report[figure] !== 0);

const tell = (line: string): void => {
	process.stdout.write(`${line}\n`);
};

/** The report; undefined when the run did not come to its end, which is told with its seed so that it can be repeated. */
const runQuietly = async (name: string, seed: number): Promise<Report | undefined> => {
	try {
		return await runExperiment(name, seed, line => {
			// Of what an experiment tells on its way, only what was broken is of interest.
			if (line.startsWith('BROKEN')) {
				tell(line);
			}
		});
	} catch (error) {
		tell(`seed ${seed} ${name}: NOT RUN TO ITS END, ${error instanceof Error ? error.stack ?? error.message : String(error)}`);
		return undefined;
	}
};

const readNumber = (name: string, text: string): number => {
	const value = Number(text);
	if (!Number.isFinite(value) || value <= 0) {
		process.stderr.write(`--${name}: expected a number above 0, found ${text}\n`);
		process.exit(2);
	}

	return value;
};

const run = async (firstSeed: number, minutes: number): Promise<number> => {
	const endAt = Date.now() + (minutes * millisecondsPerMinute);
	let runs = 0;
	for (let seed = firstSeed; Date.now() < endAt; seed++) {
		for (const name of Object.keys(mustBeZero)) {
			const report = await runQuietly(name, seed); // eslint-disable-line no-await-in-loop -- one after the other
			if (report === undefined) {
				return 1;
			}

			const broken = findBroken(name, report);
			runs++;
			tell(`seed ${seed} ${name}: ${broken.length === 0 ? 'held' : `BROKEN ${JSON.stringify(broken)} ${JSON.stringify(report)}`}`);
			if (broken.length > 0) {
				return 1;
			}
		}
	}

	tell(JSON.stringify({soak: 'held', firstSeed, runs}));
	return 0;
};

const {values} = parseArgs({options: {seed: {type: 'string', default: '1'}, minutes: {type: 'string', default: '10'}}});
process.exit(await run(readNumber('seed', values.seed), readNumber('minutes', values.minutes)));
