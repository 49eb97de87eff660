/** Runs the scenarios of streams at several software versions by hand and prints a line each: `npm run measure:continuity -- [--seconds N] [--seed N] [NAME...]`. */
import process from 'node:process';
import {parseArgs} from 'node:util';
import {continuityScenarios, runContinuityScenario, type ScenarioName} from '@shallotpass/platform/stand-ins/continuity-scenarios.js';
import {describeStreams} from '@shallotpass/platform/stand-ins/stream-callers.js';

const {values, positionals} = parseArgs({allowPositionals: true, options: {seconds: {type: 'string', default: '15'}, seed: {type: 'string', default: '1'}, verbose: {type: 'boolean', default: false}}});
const isScenario = (name: string): name is ScenarioName => Object.hasOwn(continuityScenarios, name);
const names = positionals.length === 0 ? Object.keys(continuityScenarios) : positionals;
for (const name of names) {
	if (!isScenario(name)) {
		process.stderr.write(`no scenario is named ${name}; there are: ${Object.keys(continuityScenarios).join(', ')}\n`);
		process.exitCode = 2;
		break;
	}

	// eslint-disable-next-line no-await-in-loop -- one scenario after the other
	const streams = await runContinuityScenario(continuityScenarios[name], {seconds: Number(values.seconds), seed: Number(values.seed)});
	process.stdout.write(`${name}: ${describeStreams(streams)}\n`);
	for (const {id, versions, attempts} of values.verbose ? streams.filter(({wasTakenUp, hasGoneOn}) => wasTakenUp && !hasGoneOn) : []) {
		process.stdout.write(`  ${id}: began at ${versions.join(' ')}; ${attempts.join(' ')}\n`);
	}
}

// Connections that the stand-ins keep open would hold the process.
process.exit();
