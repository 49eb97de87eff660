import assert from 'node:assert/strict';
import test from 'node:test';
import fc from 'fast-check';
import {adaptConcurrency, hasCapacity, makeConcurrencyLimit} from './adapt-concurrency.js';

test('a limit stays between 1 and its maximum and decreases at most once per 500 ms', () => {
	// When an engine slows down, many answers report the overload at once. If each of them
	// decreased the limit, the engine would be left idle while requests wait.
	fc.assert(fc.property(fc.array(fc.record({isOverloaded: fc.boolean(), running: fc.nat(80), step: fc.nat(300)}), {maxLength: 200}), samples => {
		let state = makeConcurrencyLimit(64);
		let now = 0;
		let lastDecreaseAt = Number.NEGATIVE_INFINITY;
		for (const {isOverloaded, running, step} of samples) {
			now += step;
			const next = adaptConcurrency(state, {
				now, running, isOverloaded, maxConcurrency: 64,
			});
			assert.ok(next.limit >= 1 && next.limit <= 64);
			if (next.limit < state.limit) {
				assert.ok(isOverloaded && now - lastDecreaseAt >= 500);
				lastDecreaseAt = now;
			}

			state = next;
		}
	}), {seed: 11});
});

test('two daemons that share an engine converge to similar limits', () => {
	// One daemon uses the whole capacity when a second one starts. Without convergence, callers
	// of the second daemon would stay slow.
	const capacity = 40;
	let limits = [{limit: 38, nextDecreaseAt: 0}, {limit: 2, nextDecreaseAt: 0}];
	for (let now = 0; now < 600_000; now += 100) {
		const isOverloaded = limits[0]!.limit + limits[1]!.limit > capacity;
		limits = limits.map(state => adaptConcurrency(state, {
			now, running: state.limit, isOverloaded, maxConcurrency: 64,
		}));
	}

	assert.ok(Math.abs(limits[0]!.limit - limits[1]!.limit) < 4, JSON.stringify(limits));
});

test('background requests leave capacity unused but can use at least one slot of a small capacity', () => {
	assert.equal(hasCapacity(0, 1, true), true);
	assert.equal(hasCapacity(1, 2, true), true);
	assert.equal(hasCapacity(17, 20, true), false);
	assert.equal(hasCapacity(17, 20, false), true);
	assert.equal(hasCapacity(0, 0, true), false);
});
