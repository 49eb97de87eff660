import assert from 'node:assert/strict';
import test from 'node:test';
import {adoptPeerDirectory, toPeerBackends} from './adopt-peer-directory.js';
import {type BackendEntry, type Directory} from './types.js';

const makeEntry = (id: string, changes: Partial<BackendEntry> = {}): BackendEntry => ({
	id, service: 'assistant', address: '10.0.0.1:8000', availabilityZone: 'a', places: 32,
	isLeaving: false, leavesInMs: undefined, isReclaimable: true, startedAt: 1000, softwareVersion: 'v1', sequence: 1, ...changes,
});

const makeDirectory = (next: number, ids: Readonly<Record<string, number | undefined>>): Directory => ({
	next, removed: new Map(), backends: new Map(Object.entries(ids).map(([id, missingUntil]) => [id, {entry: makeEntry(id), offset: 1, missingUntil}])),
});

const afterOutage = {now: 5000, expiryGraceUntil: 6700};

const listIds = (directory: Directory): string[] => [...directory.backends.keys()];

test('a backend server that has left is not restored from a peer that was disconnected in the meantime', () => {
	const peer = makeDirectory(20, {left: 2700, stays: undefined});
	const adopted = adoptPeerDirectory(makeDirectory(12, {stays: undefined}), {backends: toPeerBackends(peer, 1000), next: 20}, afterOutage);
	assert.deepEqual(listIds(adopted), ['stays']);
});

test('a backend server whose entry expired while the store was down keeps the grace period of the peer', () => {
	const peer = makeDirectory(20, {expired: 2700});
	const adopted = adoptPeerDirectory(makeDirectory(12, {expired: undefined}), {backends: toPeerBackends(peer, 1000), next: 20}, afterOutage);
	assert.equal(adopted.backends.get('expired')?.missingUntil, 6700);
	assert.equal(adopted.next, 20);
});

test('a peer that has read an older entry does not restore a leaving backend server', () => {
	// The store applied an earlier write late, and the peer read it in a listing without the newer one.
	const leaving = {entry: makeEntry('x', {isLeaving: true, sequence: 6}), offset: 11, missingUntil: undefined};
	const ready = {entry: makeEntry('x', {sequence: 5}), offset: 13, missingForMs: undefined};
	const adopted = adoptPeerDirectory({next: 12, removed: new Map(), backends: new Map([['x', leaving]])}, {backends: [ready], next: 14}, afterOutage);
	assert.equal(adopted.backends.get('x')?.entry.isLeaving, true);
});

test('the software version of a backend server stays known when a daemon that drops it passes its entry on', () => {
	const known = {entry: makeEntry('x'), offset: 11, missingUntil: undefined};
	const passOn = (changes: Partial<BackendEntry>): string | undefined => {
		const peer = {backends: [{entry: makeEntry('x', {softwareVersion: undefined, sequence: 2, ...changes}), offset: 13, missingForMs: undefined}], next: 14};
		return adoptPeerDirectory({next: 12, removed: new Map(), backends: new Map([['x', known]])}, peer, afterOutage).backends.get('x')?.entry.softwareVersion;
	};

	assert.equal(passOn({}), 'v1');
	assert.equal(passOn({startedAt: 2000}), undefined, 'another incarnation may have another version');
});
