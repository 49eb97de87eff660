import assert from 'node:assert/strict';
import test from 'node:test';
import {computeContinuityPenalty, type VersionCapacity} from './compute-continuity-penalty.js';

const many: VersionCapacity = {ready: 10, leaving: 0, places: 80};
const few: VersionCapacity = {ready: 2, leaving: 0, places: 16};
const lone: VersionCapacity = {ready: 1, leaving: 0, places: 8};

test('nothing is added while one version serves', () => {
	assert.equal(computeContinuityPenalty({
		versions: [lone], own: lone, running: 8, places: 8,
	}), 0);
});

test('a stream begins at a lone engine, or at a version of which one is left beside those that leave, only if the others are much busier', () => {
	for (const own of [lone, {...few, leaving: 3}]) {
		assert.ok(computeContinuityPenalty({
			versions: [many, own], own, running: 0, places: 8,
		}) > 100);
	}
});

test('the last places of a scarce version are left to streams that come back, those of the other are not', () => {
	const compute = (own: VersionCapacity, running: number): number => computeContinuityPenalty({
		versions: [many, few], own, running, places: 8,
	});
	assert.equal(compute(few, 5), 0);
	assert.ok(compute(few, 6) > 300);
	assert.equal(compute(many, 8), 0);
});
