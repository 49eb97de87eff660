/**
 * Plays changes of the lease holder by hand and judges what the cloud API received:
 * `npm run measure:lease -- [--mode odd|plain|calm|frozen] [--runs N] [--parallel N] [--changes N] [--seconds N] [--seed N]`.
 * Prints a line for each run, which is a process of its own, and a summary as JSON.
 */
import {spawn} from 'node:child_process';
import process from 'node:process';
import {fileURLToPath} from 'node:url';
import {parseArgs} from 'node:util';
import {type LeaseRunFigures, type LeaseRunMode, runLeaseChanges} from './run-lease-changes.js';
import {runLeaseFreezes} from './run-lease-freezes.js';

const {values} = parseArgs({
	options: {
		mode: {type: 'string', default: 'odd'}, runs: {type: 'string', default: '4'}, parallel: {type: 'string', default: '2'},
		changes: {type: 'string', default: '12'}, seconds: {type: 'string', default: '60'}, seed: {type: 'string', default: '1'}, run: {type: 'boolean', default: false},
	},
});

const modes: readonly string[] = ['odd', 'plain', 'calm', 'frozen'];

/** Plays the run with this seed in a process of its own. Returns undefined if that failed. */
const startRun = async (seed: number): Promise<LeaseRunFigures | undefined> => new Promise(resolve => {
	const options = ['--run', '--mode', values.mode, '--changes', values.changes, '--seconds', values.seconds, '--seed', String(seed)];
	const child = spawn(process.execPath, [fileURLToPath(import.meta.url), ...options], {stdio: ['ignore', 'pipe', 'inherit']});
	let output = '';
	child.stdout.on('data', (chunk: Uint8Array) => {
		output += new TextDecoder().decode(chunk);
	});
	child.on('close', code => {
		resolve(code === 0 ? JSON.parse(output) as LeaseRunFigures : undefined);
	});
});

const pickMedian = (numbers: readonly number[]): number => numbers.toSorted((left, right) => left - right)[Math.floor(numbers.length / 2)] ?? Number.NaN;

const summarize = (runs: readonly LeaseRunFigures[], failed: readonly number[]) => {
	const sum = (get: (run: LeaseRunFigures) => number): number => runs.reduce((total, run) => total + get(run), 0);
	const tookMs = runs.flatMap(run => run.takeoverMs);
	return {
		mode: values.mode,
		runs: runs.length,
		failed,
		changes: sum(({changes}) => changes),
		reports: sum(({reports}) => reports),
		violations: runs.flatMap(({seed, violations}) => violations.map(violation => `seed ${seed}: ${violation}`)),
		windows: sum(({windows}) => windows),
		leftOut: sum(({leftOut}) => leftOut),
		wrong: sum(({wrong}) => wrong),
		runsWithWindowsLeftOut: runs.filter(({leftOutEvents}) => leftOutEvents > 0).length,
		takeoverMs: {median: pickMedian(tookMs), max: Math.max(...tookMs)},
		storeCallsPerSecond: sum(({storeCalls}) => storeCalls) / sum(({seconds}) => seconds),
	};
};

const playRuns = async (): Promise<void> => {
	const seeds = Array.from({length: Number(values.runs)}, (_value, index) => Number(values.seed) + index);
	const done: LeaseRunFigures[] = [];
	const failed: number[] = [];
	const playNext = async (): Promise<void> => {
		for (let seed = seeds.shift(); seed !== undefined; seed = seeds.shift()) {
			const figures = await startRun(seed); // eslint-disable-line no-await-in-loop -- one run after the other
			if (figures === undefined) {
				failed.push(seed);
				process.stdout.write(`seed ${seed}: failed\n`);
				continue;
			}

			done.push(figures);
			process.stdout.write(`${JSON.stringify({...figures, takeoverMs: figures.takeoverMs.map(ms => Math.round(ms))})}\n`);
		}
	};

	await Promise.all(Array.from({length: Number(values.parallel)}, async () => playNext()));
	const summary = summarize(done, failed);
	process.stdout.write(`${JSON.stringify(summary)}\n`);
	process.exitCode = summary.violations.length > 0 || failed.length > 0 ? 1 : 0;
};

if (!modes.includes(values.mode)) {
	process.stderr.write(`no mode is named ${values.mode}; there are: ${modes.join(', ')}\n`);
	process.exitCode = 2;
} else if (values.run) {
	const options = {changes: Number(values.changes), seconds: Number(values.seconds), seed: Number(values.seed)};
	const figures = await (values.mode === 'frozen' ? runLeaseFreezes(options) : runLeaseChanges({...options, mode: values.mode as LeaseRunMode}));
	// Connections that the stand-ins keep open would hold the process.
	process.stdout.write(JSON.stringify(figures), () => {
		process.exit();
	});
} else {
	await playRuns();
}
