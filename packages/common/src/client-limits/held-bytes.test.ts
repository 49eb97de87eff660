import assert from 'node:assert/strict';
import test from 'node:test';
import fc from 'fast-check';
import {type BodyHold, makeHeldBytes} from './held-bytes.js';

test('large bodies beyond the common bound have no room until others are released, and small ones have', () => {
	// Guards against large requests that take the memory of the daemon together, until it is killed with all its calls.
	const held = makeHeldBytes(1_000_000);
	const first = held.begin();
	assert.equal(first.add(600_000), true);
	assert.deepEqual([held.hasRoomFor(600_000), held.hasRoomFor(1000)], [false, true]);
	const second = held.begin();
	assert.deepEqual([second.add(60_000), second.add(400_000)], [true, false]);
	second.release();
	assert.equal(held.begin().add(1000), true);
	first.release();
	first.release();
	assert.deepEqual([held.hasRoomFor(600_000), held.count()], [true, 1000]);
});

test('what is held is what was added and not released, whatever the order', () => {
	fc.assert(fc.property(fc.array(fc.record({bytes: fc.integer({min: 0, max: 300_000}), releases: fc.boolean()}), {maxLength: 40}), steps => {
		const held = makeHeldBytes(1_000_000);
		const holds: Array<{readonly hold: BodyHold; readonly bytes: number}> = [];
		for (const {bytes, releases} of steps) {
			const hold = held.begin();
			if (hold.add(bytes)) {
				holds.push({hold, bytes});
			}

			if (releases) {
				holds.shift()?.hold.release();
			}
		}

		assert.equal(held.count(), holds.reduce((sum, {bytes}) => sum + bytes, 0));
	}), {seed: 73, numRuns: 200});
});
