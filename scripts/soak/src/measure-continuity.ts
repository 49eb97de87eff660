/** Runs the scenarios of streams at several software versions by hand and prints a line each: `npm run measure:continuity -- [--seconds N] [--seed N] [NAME...]`. */
import {mkdtempSync} from 'node:fs';
import os from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {parseArgs} from 'node:util';
import {continuityScenarios, runContinuityScenario, type ScenarioName} from '@shallotpass/platform/stand-ins/continuity-scenarios.js';
import {describeStreams, type TakenUpStream} from '@shallotpass/platform/stand-ins/stream-callers.js';
import {runSuspended} from './run-suspended.js';

const {values, positionals} = parseArgs({allowPositionals: true, options: {seconds: {type: 'string', default: '15'}, seed: {type: 'string', default: '1'}, verbose: {type: 'boolean', default: false}}});
/** A scenario with a process of its own, beside those in one process. */
const suspendedName = 'suspended';

const runScenario = async (name: ScenarioName | typeof suspendedName): Promise<TakenUpStream[]> => {
	const seconds = Number(values.seconds);
	const seed = Number(values.seed);
	return name === suspendedName
		? runSuspended({seed, rounds: Math.ceil(seconds / secondsPerRound), folder: mkdtempSync(path.join(os.tmpdir(), 'continuity-'))})
		: runContinuityScenario(continuityScenarios[name], {seconds, seed});
};

const secondsPerRound = 3;

const isScenario = (name: string): name is ScenarioName | typeof suspendedName => name === suspendedName || Object.hasOwn(continuityScenarios, name);
const names = positionals.length === 0 ? [...Object.keys(continuityScenarios), suspendedName] : positionals;
for (const name of names) {
	if (!isScenario(name)) {
		process.stderr.write(`no scenario is named ${name}; there are: ${[...Object.keys(continuityScenarios), suspendedName].join(', ')}\n`);
		process.exitCode = 2;
		break;
	}

	const streams = await runScenario(name); // eslint-disable-line no-await-in-loop -- one scenario after the other
	process.stdout.write(`${name}: ${describeStreams(streams)}\n`);
	for (const {id, versions, attempts} of values.verbose ? streams.filter(({wasTakenUp, hasGoneOn}) => wasTakenUp && !hasGoneOn) : []) {
		process.stdout.write(`  ${id}: began at ${versions.join(' ')}; ${attempts.join(' ')}\n`);
	}
}

// Connections that the stand-ins keep open would hold the process.
process.exit();
