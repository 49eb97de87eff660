/** Runs every compiled test file; fails when there are none, so that a broken build is not taken for a pass. */
import {readdirSync} from 'node:fs';
import path from 'node:path';
import process from 'node:process';
import {run} from 'node:test';
import {spec} from 'node:test/reporters';

const findTests = folder => readdirSync(folder, {withFileTypes: true}).flatMap(entry => {
	const name = path.join(folder, entry.name);
	if (entry.isDirectory()) {
		return entry.name === 'node_modules' ? [] : findTests(name);
	}

	return entry.name.endsWith('.test.js') ? [name] : [];
});

/** Several daemons run in one file; more files at once would make them wait for the processor. */
const filesAtOnce = 4;

const wanted = process.argv.slice(2);
const files = ['packages', 'platform', 'apps', 'scripts', 'tests']
	.flatMap(folder => findTests(folder))
	.filter(file => wanted.length === 0 || wanted.some(part => file.includes(part)));
if (files.length === 0) {
	process.stderr.write('no test files: build first\n');
	process.exit(1);
}

const stream = run({files: files.map(file => path.resolve(file)), concurrency: filesAtOnce, timeout: 300_000});
stream.on('test:fail', () => {
	process.exitCode = 1;
});
stream.compose(spec).pipe(process.stdout);
