import assert from 'node:assert/strict';
import test from 'node:test';
import {makeRandom} from '../testing/make-random.js';
import {computeRetryAfter} from './compute-retry-after.js';

const random = makeRandom(1);

test('rejects a call that no backend server can answer by its deadline instead of queueing it', () => {
	const retryAfterS = computeRetryAfter({
		predictedMs: 5000, deadline: 13_000, now: 10_000, random,
	});
	assert.ok(retryAfterS !== undefined && retryAfterS > 0.5 && retryAfterS < 1, String(retryAfterS));
});

test('accepts calls that may be answered by their deadline, including those predicted to be slightly late', () => {
	for (const predictedMs of [0, 500, 3000, 4400]) {
		assert.equal(computeRetryAfter({
			predictedMs, deadline: 13_000, now: 10_000, random,
		}), undefined);
	}
});

test('spreads the retry times of rejected callers', () => {
	const times = Array.from({length: 50}, () => computeRetryAfter({
		predictedMs: 9000, deadline: 13_000, now: 10_000, random,
	})!);
	assert.ok(Math.max(...times) - Math.min(...times) > 0.25);
});
