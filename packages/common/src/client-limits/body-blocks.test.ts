import assert from 'node:assert/strict';
import {Buffer} from 'node:buffer';
import test from 'node:test';
import fc from 'fast-check';
import {makeBodyBlocks} from './body-blocks.js';

test('a body in chunks of any size is whole, and takes at most twice its length and the smallest block', () => {
	// Each chunk was kept as an object of some 400 bytes, however small it was.
	fc.assert(fc.property(fc.array(fc.integer({min: 1, max: 3000}), {minLength: 1, maxLength: 200}), fc.boolean(), (lengths, isStated) => {
		const chunks = lengths.map((length, index) => Buffer.alloc(length, index));
		const whole = Buffer.concat(chunks);
		const blocks = makeBodyBlocks(isStated ? whole.length : undefined);
		let taken = 0;
		for (const chunk of chunks) {
			taken += blocks.measure(chunk);
			blocks.add(chunk);
		}

		assert.ok(taken <= (2 * whole.length) + 512, `${taken} for ${whole.length}`);
		assert.deepEqual(blocks.take(), whole);
	}), {seed: 79, numRuns: 300});
});

test('a body whose length is stated takes just that', () => {
	const blocks = makeBodyBlocks(200_000);
	let taken = 0;
	for (let sent = 0; sent < 200_000; sent += 1000) {
		const chunk = Buffer.alloc(1000);
		taken += blocks.measure(chunk);
		blocks.add(chunk);
	}

	assert.equal(taken, 200_000);
});
