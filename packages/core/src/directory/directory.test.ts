import assert from 'node:assert/strict';
import test from 'node:test';
import {
	type DirectoryRecord, dropExpired, applyDirectoryRecords, applyListing,
} from './directory-state.js';
import {type BackendEntry, type Directory, emptyDirectory} from './types.js';

const makeEntry = (id: string, changes: Partial<BackendEntry> = {}): BackendEntry => ({
	id, service: 'llm', address: '10.0.0.1:80', availabilityZone: 'a', places: 8, isLeaving: false, leavesInMs: undefined, isReclaimable: false, startedAt: 1000, softwareVersion: 'v1', sequence: 1, ...changes,
});

const makeEntryRecord = (offset: number, id: string, changes: Partial<BackendEntry> = {}): DirectoryRecord => ({offset, id, entry: makeEntry(id, changes)});
const makeRemovalRecord = (offset: number, id: string): DirectoryRecord => ({offset, id, entry: undefined});

const storeAvailable = {now: 5000, expiryGraceUntil: 0};

const listIds = (directory: Directory): string[] => [...directory.backends.keys()];

test('an entry that is removed while the store is available is dropped at once', () => {
	// Some backend servers leave without notice and their entry is removed. A daemon that had itself been
	// disconnected kept such servers for two more seconds and sent them calls after they had left.
	const directory = applyDirectoryRecords(emptyDirectory, [makeEntryRecord(0, 'x'), makeRemovalRecord(1, 'x')], storeAvailable);
	assert.deepEqual(listIds(directory), []);
});

test('an entry that expired while the store was down is kept until its backend server could write it again', () => {
	// The store is down for longer than three heartbeats, so all entries expire although all backend
	// servers are alive. If they were dropped, no call could be sent for a second or two.
	const known = applyDirectoryRecords(emptyDirectory, [makeEntryRecord(0, 'x'), makeEntryRecord(1, 'y')], storeAvailable);
	const expired = applyDirectoryRecords(known, [makeRemovalRecord(2, 'x'), makeRemovalRecord(3, 'y')], {now: 6000, expiryGraceUntil: 7700});
	assert.deepEqual(listIds(expired), ['x', 'y']);
	const rewritten = applyDirectoryRecords(expired, [makeEntryRecord(4, 'x', {sequence: 9})], {now: 7000, expiryGraceUntil: 7700});
	assert.deepEqual(listIds(dropExpired(rewritten, 7699)), ['y', 'x'].toSorted());
	assert.deepEqual(listIds(dropExpired(rewritten, 7700)), ['x']);
});

test('a listing replaces the directory but does not restore an older incarnation', () => {
	const known = applyDirectoryRecords(emptyDirectory, [makeEntryRecord(0, 'x', {startedAt: 2000}), makeEntryRecord(1, 'y')], storeAvailable);
	const listed = applyListing(known, [makeEntryRecord(7, 'x', {startedAt: 1000, isLeaving: true}), makeEntryRecord(5, 'z')], 9, storeAvailable);
	assert.deepEqual(listIds(listed).toSorted(), ['x', 'z']);
	assert.equal(listed.backends.get('x')!.entry.startedAt, 2000);
	assert.equal(listed.next, 9);
});

test('a listing that was read before a newer directory arrived does not restore a removed backend server', () => {
	// The listing was delayed. Meanwhile a peer told the directory of offset 9, in which the backend server is removed.
	const adopted: Directory = {backends: new Map([['y', {entry: makeEntry('y'), offset: 1, missingUntil: undefined}]]), removed: new Map(), next: 9};
	const listed = applyListing(adopted, [makeEntryRecord(0, 'x'), makeEntryRecord(1, 'y')], 5, storeAvailable);
	assert.deepEqual([listIds(listed), listed.next], [['y'], 9]);
});

test('an entry that the store applies late does not restore a removed backend server', () => {
	// The write got no response and is executed seconds later, after the backend server has announced that it leaves and was removed.
	const directory = applyDirectoryRecords(emptyDirectory, [
		makeEntryRecord(0, 'x', {sequence: 4}), makeEntryRecord(1, 'x', {sequence: 6, isLeaving: true}), makeRemovalRecord(2, 'x'), makeEntryRecord(3, 'x', {sequence: 5}),
	], storeAvailable);
	assert.deepEqual(listIds(directory), []);
});

test('a backend server whose entry had only expired is used again after it has written a newer one', () => {
	const directory = applyDirectoryRecords(emptyDirectory, [makeEntryRecord(0, 'x', {sequence: 4}), makeRemovalRecord(1, 'x'), makeEntryRecord(2, 'x', {sequence: 5})], storeAvailable);
	assert.deepEqual(listIds(directory), ['x']);
});

test('an unreadable entry changes nothing, and a record is applied only once', () => {
	const known = applyDirectoryRecords(emptyDirectory, [makeEntryRecord(0, 'x'), {offset: 1, id: 'x', entry: 'unreadable'}], storeAvailable);
	assert.deepEqual(listIds(known), ['x']);
	const again = applyDirectoryRecords(known, [makeRemovalRecord(0, 'x')], storeAvailable);
	assert.deepEqual(listIds(again), ['x']);
});
