/** `npm run soak:gateway`: runs the fault soak once per seed. Exits with 1 if a run had violations. */
import {mkdtempSync, rmSync} from 'node:fs';
import os from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {defineCommand, runMain} from 'citty';
import {runSoak} from './run-soak.js';

/** Every seed divisible by this number runs with planned work only and must not lose any call. */
const plannedWorkSeedInterval = 4;

const readCount = (name: string, text: string): number => {
	const value = Number(text);
	if (!Number.isInteger(value) || value < 1) {
		throw new Error(`--${name}: expected a positive integer, found ${text}`);
	}

	return value;
};

const command = defineCommand({
	meta: {name: 'soak', description: 'Runs daemons as processes, injects external faults and checks the history of callers and backend servers'},
	args: {
		seed: {type: 'string', default: '1', description: 'First seed'},
		seeds: {type: 'string', default: '10', description: 'Number of seeds'},
		daemons: {type: 'string', default: '3', description: 'Number of daemons per run'},
		callers: {type: 'string', default: '12', description: 'Number of callers per run'},
		planned: {type: 'boolean', default: false, description: 'Runs all seeds with planned work only'},
		seconds: {type: 'string', default: '15', description: 'Length of the period in which faults start, in seconds'},
	},
	async run({args}) {
		const firstSeed = readCount('seed', args.seed);
		const seedCount = readCount('seeds', args.seeds);
		let failedRuns = 0;
		for (let seed = firstSeed; seed < firstSeed + seedCount; seed++) {
			const folder = mkdtempSync(path.join(os.tmpdir(), `soak-${seed}-`));
			// eslint-disable-next-line no-await-in-loop -- one run after the other
			const report = await runSoak({
				seed,
				daemons: readCount('daemons', args.daemons),
				callers: readCount('callers', args.callers),
				faultsMs: readCount('seconds', args.seconds) * 1000,
				hasOnlyPlannedWork: args.planned || seed % plannedWorkSeedInterval === 0,
				folder,
			});
			if (report.violations.length === 0) {
				rmSync(folder, {recursive: true});
			} else {
				failedRuns++;
			}

			process.stdout.write(`${JSON.stringify({...report, violations: report.violations.slice(0, 10), folder: report.violations.length > 0 ? folder : undefined})}\n`);
		}

		process.exitCode = failedRuns > 0 ? 1 : 0;
	},
});

await runMain(command);
