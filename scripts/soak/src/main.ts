/** `npm run soak:gateway`: runs of the fault soak, seed after seed; ends with 1 when a promise was broken. */
import {mkdtempSync, rmSync} from 'node:fs';
import os from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {defineCommand, runMain} from 'citty';
import {runSoak} from './run-soak.js';

/** Each so many seeds one has planned work only, and must then lose nothing. */
const plannedOnlyEvery = 4;

const readCount = (name: string, text: string): number => {
	const value = Number(text);
	if (!Number.isInteger(value) || value < 1) {
		throw new Error(`--${name}: expected a whole number above 0, found ${text}`);
	}

	return value;
};

const command = defineCommand({
	meta: {name: 'soak', description: 'Runs daemons as processes under faults from outside and checks what callers and backend servers saw'},
	args: {
		seed: {type: 'string', default: '1', description: 'The first seed'},
		seeds: {type: 'string', default: '10', description: 'How many seeds'},
		daemons: {type: 'string', default: '3', description: 'Daemons of each run'},
		callers: {type: 'string', default: '12', description: 'Callers of each run'},
		seconds: {type: 'string', default: '15', description: 'Time in which faults begin'},
	},
	async run({args}) {
		const first = readCount('seed', args.seed);
		const count = readCount('seeds', args.seeds);
		let broken = 0;
		for (let seed = first; seed < first + count; seed++) {
			const folder = mkdtempSync(path.join(os.tmpdir(), `soak-${seed}-`));
			// eslint-disable-next-line no-await-in-loop -- one run after the other
			const report = await runSoak({
				seed,
				daemons: readCount('daemons', args.daemons),
				callers: readCount('callers', args.callers),
				faultsMs: readCount('seconds', args.seconds) * 1000,
				hasOnlyPlannedWork: seed % plannedOnlyEvery === 0,
				folder,
			});
			if (report.violations.length === 0) {
				rmSync(folder, {recursive: true});
			} else {
				broken++;
			}

			process.stdout.write(`${JSON.stringify({...report, violations: report.violations.slice(0, 10), folder: report.violations.length > 0 ? folder : undefined})}\n`);
		}

		process.exitCode = broken > 0 ? 1 : 0;
	},
});

await runMain(command);
