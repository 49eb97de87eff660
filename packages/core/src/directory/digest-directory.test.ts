import assert from 'node:assert/strict';
import test from 'node:test';
import {digestDirectory} from './digest-directory.js';
import {type BackendEntry, type Directory} from './types.js';

const entry: BackendEntry = {
	id: 'engine-1', service: 'assistant', address: '10.0.0.1:8000', availabilityZone: 'a', places: 32,
	isLeaving: false, leavesInMs: undefined, isReclaimable: true, startedAt: 1000, softwareVersion: 'v1', sequence: 1,
};

const makeDirectory = (next: number, ...entries: readonly BackendEntry[]): Directory => ({
	next, removed: new Map(), backends: new Map(entries.map(known => [known.id, {entry: known, offset: next - 1, missingUntil: undefined}])),
});

test('the digest stays equal when entries are only rewritten, so that the whole list is not sent again', () => {
	const rewritten = makeDirectory(90, {...entry, sequence: 70}, {...entry, id: 'engine-0', sequence: 70});
	assert.equal(digestDirectory(makeDirectory(9, entry, {...entry, id: 'engine-0'})), digestDirectory(rewritten));
});

for (const [description, changes] of Object.entries({
	'is leaving': {isLeaving: true},
	'has restarted': {startedAt: 2000},
	'has another address': {address: '10.0.0.2:8000'},
})) {
	test(`the digest changes when a backend server ${description}`, () => {
		assert.notEqual(digestDirectory(makeDirectory(9, entry)), digestDirectory(makeDirectory(9, {...entry, ...changes})));
	});
}

test('the digest changes when a backend server is removed', () => {
	assert.notEqual(digestDirectory(makeDirectory(9, entry)), digestDirectory(makeDirectory(9)));
});

test('the digest changes when an entry is missing', () => {
	// A daemon that was disconnected may keep a removed entry for a while. Others must not take its offset for the offset of their own list.
	const directory = makeDirectory(9, entry);
	const missing = new Map([[entry.id, {entry, offset: 8, missingUntil: 700}]]);
	assert.notEqual(digestDirectory(directory), digestDirectory({...directory, backends: missing}));
});
