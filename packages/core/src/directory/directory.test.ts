import assert from 'node:assert/strict';
import test from 'node:test';
import {
	type DirectoryRecord, dropMissing, foldDirectory, takeListing,
} from './fold-directory.js';
import {type BackendEntry, type Directory, emptyDirectory} from './types.js';

const makeEntry = (id: string, changes: Partial<BackendEntry> = {}): BackendEntry => ({
	id, service: 'llm', address: '10.0.0.1:80', availabilityZone: 'a', places: 8, isLeaving: false, leavesInMs: undefined, isReclaimable: false, startedAt: 1000, sequence: 1, ...changes,
});

const join = (offset: number, id: string, changes: Partial<BackendEntry> = {}): DirectoryRecord => ({offset, id, entry: makeEntry(id, changes)});
const leave = (offset: number, id: string): DirectoryRecord => ({offset, id, entry: undefined});

const calm = {now: 5000, lapsesUntil: 0};

const listIds = (directory: Directory): string[] => [...directory.backends.keys()];

test('an entry that is removed while the store serves is gone at once', () => {
	// Some engines leave without a word and their entry is removed. A daemon that had only been cut
	// off itself kept such engines for two seconds more, and sent them calls after they had left.
	const directory = foldDirectory(emptyDirectory, [join(0, 'x'), leave(1, 'x')], calm);
	assert.deepEqual(listIds(directory), []);
});

test('an entry that lapsed while the store was away is kept until its backend server could write again', () => {
	// The store is down for longer than three heartbeats, and all entries lapse though all engines
	// live. Without patience there would be nobody to send a call to for a second or two.
	const known = foldDirectory(emptyDirectory, [join(0, 'x'), join(1, 'y')], calm);
	const lapsed = foldDirectory(known, [leave(2, 'x'), leave(3, 'y')], {now: 6000, lapsesUntil: 7700});
	assert.deepEqual(listIds(lapsed), ['x', 'y']);
	const back = foldDirectory(lapsed, [join(4, 'x', {sequence: 9})], {now: 7000, lapsesUntil: 7700});
	assert.deepEqual(listIds(dropMissing(back, 7699)), ['y', 'x'].toSorted());
	assert.deepEqual(listIds(dropMissing(back, 7700)), ['x']);
});

test('a listing replaces what is known, and does not bring an older incarnation back', () => {
	const known = foldDirectory(emptyDirectory, [join(0, 'x', {startedAt: 2000}), join(1, 'y')], calm);
	const listed = takeListing(known, [join(7, 'x', {startedAt: 1000, isLeaving: true}), join(5, 'z')], 9, calm);
	assert.deepEqual(listIds(listed).toSorted(), ['x', 'z']);
	assert.equal(listed.backends.get('x')!.entry.startedAt, 2000);
	assert.equal(listed.next, 9);
});

test('bytes that name no backend server change nothing, and a record is folded once', () => {
	const known = foldDirectory(emptyDirectory, [join(0, 'x'), {offset: 1, id: 'x', entry: 'unreadable'}], calm);
	assert.deepEqual(listIds(known), ['x']);
	const again = foldDirectory(known, [leave(0, 'x')], calm);
	assert.deepEqual(listIds(again), ['x']);
});
