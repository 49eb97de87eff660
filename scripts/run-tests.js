/**
 * Runs all compiled test files, or only those whose path contains one of the arguments.
 * Fails if there are none, so that a broken build does not count as a pass.
 * A failure of a test that KNOWN-RED.txt lists is printed and does not fail the run.
 */
import {once} from 'node:events';
import {existsSync, readdirSync, readFileSync} from 'node:fs';
import path from 'node:path';
import process from 'node:process';
import {run} from 'node:test';
import {spec} from 'node:test/reporters';

const findTestFiles = folder => readdirSync(folder, {withFileTypes: true}).flatMap(entry => {
	const name = path.join(folder, entry.name);
	if (entry.isDirectory()) {
		return entry.name === 'node_modules' ? [] : findTestFiles(name);
	}

	return entry.name.endsWith('.test.js') ? [name] : [];
});

/** Each test file runs several daemons; with more concurrent files they would compete for the CPU. */
const maxConcurrentFiles = 4;

/** Files whose tests run one at a time, after all others: they measure what a process holds under load. */
const aloneSuffix = '.alone.test.js';

const pathFilters = process.argv.slice(2);
const files = ['packages', 'platform', 'apps', 'scripts', 'tests']
	.flatMap(folder => findTestFiles(folder))
	.filter(file => pathFilters.length === 0 || pathFilters.some(filter => file.includes(filter)));
if (files.length === 0) {
	process.stderr.write('no test files found: build first\n');
	process.exit(1);
}

/** Names of the tests that are known to fail, from the lines `test: NAME`. */
const listKnownRed = () => existsSync('KNOWN-RED.txt')
	? readFileSync('KNOWN-RED.txt', 'utf8').split('\n').filter(line => line.startsWith('test: ')).map(line => line.slice('test: '.length).trim())
	: [];

const knownRed = new Set(listKnownRed());
const failedKnownRed = [];

/** Resolves when all tests of the files have run. */
const runFiles = async (selected, options) => {
	if (selected.length === 0) {
		return;
	}

	const stream = run({files: selected.map(file => path.resolve(file)), ...options});
	stream.on('test:fail', ({name}) => {
		if (knownRed.has(name)) {
			failedKnownRed.push(name);
			return;
		}

		process.exitCode = 1;
	});
	const report = stream.compose(spec);
	report.pipe(process.stdout, {end: false});
	await once(report, 'end');
};

process.on('exit', () => {
	for (const name of knownRed) {
		process.stdout.write(`known red, ${failedKnownRed.includes(name) ? 'failed' : 'not failed'} in this run: ${name}\n`);
	}
});
await runFiles(files.filter(file => !file.endsWith(aloneSuffix)), {concurrency: maxConcurrentFiles, timeout: 300_000});
await runFiles(files.filter(file => file.endsWith(aloneSuffix)), {concurrency: 1, timeout: 1_200_000});
