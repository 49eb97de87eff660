/**
 * Runs all compiled test files, or only those whose path contains one of the arguments.
 * Fails if there are none, so that a broken build does not count as a pass.
 */
import {readdirSync} from 'node:fs';
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

const pathFilters = process.argv.slice(2);
const files = ['packages', 'platform', 'apps', 'scripts', 'tests']
	.flatMap(folder => findTestFiles(folder))
	.filter(file => pathFilters.length === 0 || pathFilters.some(filter => file.includes(filter)));
if (files.length === 0) {
	process.stderr.write('no test files found: build first\n');
	process.exit(1);
}

const stream = run({files: files.map(file => path.resolve(file)), concurrency: maxConcurrentFiles, timeout: 300_000});
stream.on('test:fail', () => {
	process.exitCode = 1;
});
stream.compose(spec).pipe(process.stdout);
