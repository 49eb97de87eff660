import assert from 'node:assert/strict';
import test from 'node:test';
import fc from 'fast-check';
import {
	computePauseEnd, type Evidence, isUnsound, listAvoided, longestPauseMs, mergeUnsoundness, recordFailure, type Unsoundness,
} from './unsoundness.js';

const seed = 58;

test('a backend server is left alone from the second unsound answer in a row on, ever longer up to a minute', () => {
	const pauses = [1, 2, 3, 4, 20].map(failures => computePauseEnd(failures, 1000) - 1000);
	assert.deepEqual(pauses, [0, 1000, 2000, 4000, longestPauseMs]);
});

test('sums of reports hold the longest pause of each backend server, and only some of many', () => {
	assert.deepEqual(mergeUnsoundness({a: [1, 2, 500], b: [1, 3, 700]}, {a: [1, 3, 900]}), {a: [1, 3, 900], b: [1, 3, 700]});
	const many = Object.fromEntries(Array.from({length: 80}, (_value, index) => [`b-${index}`, [1, 2, index] as [number, number, number]]));
	const merged = mergeUnsoundness(many, {});
	assert.equal(Object.keys(merged).length, 50);
	assert.ok(Object.values(merged).every(reported => reported[2] >= 30));
});

const recordAll = (evidences: ReadonlyArray<Exclude<Evidence, 'none'>>): Unsoundness | undefined => {
	let known: Unsoundness | undefined;
	for (const [index, evidence] of evidences.entries()) {
		known = recordFailure(known, {evidence, sentAt: index * 100, now: (index * 100) + 50});
	}

	return known;
};

test('answers of calls that were under way together count once', () => {
	const first = recordFailure(undefined, {evidence: 'anywhere', sentAt: 0, now: 100});
	assert.equal(recordFailure(first, {evidence: 'anywhere', sentAt: 50, now: 150}), first);
	assert.equal(recordFailure(first, {evidence: 'anywhere', sentAt: 150, now: 200}).failures, 2);
});

test('peers are told only of what no network can have caused', () => {
	// One daemon behind a bad link would pause a backend server for all.
	assert.equal(recordAll(['anywhere', 'anywhere'])!.isReported, true);
	assert.equal(recordAll(['here', 'anywhere'])!.isReported, false);
	assert.equal(recordAll(['anywhere', 'here'])!.isReported, false);
});

test('at most half of the backend servers of a service are kept from calls, the worst ones, and none if all look unsound', () => {
	// A detector that is wrong would take the whole service out of use.
	fc.assert(fc.property(fc.array(fc.integer({min: 0, max: 6}), {minLength: 1, maxLength: 20}), failureCounts => {
		const servers = failureCounts.map(failures => ({unsoundness: failures === 0 ? undefined : recordAll(Array.from({length: failures}, () => 'anywhere' as const))}));
		const avoided = listAvoided(servers);
		const unsound = servers.filter(({unsoundness}) => isUnsound(unsoundness));
		assert.ok(avoided.size <= Math.floor(servers.length / 2));
		assert.equal(avoided.size, unsound.length === servers.length ? 0 : Math.min(unsound.length, Math.floor(servers.length / 2)));
		const leastAvoided = Math.min(...[...avoided].map(({unsoundness}) => unsoundness!.failures));
		assert.ok(unsound.every(server => avoided.has(server) || server.unsoundness!.failures <= leastAvoided));
	}), {seed, numRuns: 500});
});
