import assert from 'node:assert/strict';
import {readdirSync, readFileSync} from 'node:fs';
import test from 'node:test';
import {fileURLToPath} from 'node:url';
import {commands} from '@shallotpass/cli/commands.js';
import {makeReferencePages} from '@shallotpass/measure/reference-pages.js';

const root = fileURLToPath(new URL('../../', import.meta.url));

test('the reference pages are up to date and every entry has a description', () => {
	for (const {path, text} of makeReferencePages()) {
		assert.equal(readFileSync(`${root}${path}`, 'utf8'), text, `${path} is out of date; run npm run docs`);
		assert.doesNotMatch(text, /\|\s+\|$/mv, `${path} has an entry without a description`);
	}
});

test('the README lists exactly the existing commands', () => {
	const readme = readFileSync(`${root}README.md`, 'utf8');
	const listed = /operator's tool: (?<list>[^.]+)\./v.exec(readme)?.groups?.list ?? '';
	const names = [...listed.matchAll(/`(?<name>[a-z]+)`/gv)].map(match => match.groups!.name!);
	assert.deepEqual(names.toSorted(), Object.keys(commands).toSorted());
});

test('every experiment mentioned in the documentation exists', () => {
	const experiments = new Set(readdirSync(`${root}scripts/measure/experiments`).map(name => name.replace('.toml', '')));
	const pages = ['README.md', 'docs/CAPACITY.md', ...readdirSync(`${root}docs/design`).map(name => `docs/design/${name}`)];
	for (const page of pages) {
		const text = readFileSync(`${root}${page}`, 'utf8');
		for (const match of text.matchAll(/npm run measure -- (?<name>[a-z]+)/gv)) {
			assert.ok(experiments.has(match.groups!.name!), `${page}: ${match.groups!.name}`);
		}
	}
});
