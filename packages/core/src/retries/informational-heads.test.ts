import assert from 'node:assert/strict';
import test from 'node:test';
import {hasTooManyHeads} from './informational-heads.js';
import {isBeyondLargest} from './body-sizes.js';

test('informational heads are sound that a backend server sends while it works, also if a link delivers those of some seconds at once', () => {
	assert.equal(hasTooManyHeads(12, 180), false);
	assert.equal(hasTooManyHeads(500, 1), false);
	assert.equal(hasTooManyHeads(6000, 60_000), false);
	assert.equal(hasTooManyHeads(2400, 10), true);
});

test('a body has no end that is far beyond the largest whole one', () => {
	assert.equal(isBeyondLargest(1_000_000), false);
	assert.equal(isBeyondLargest(5_000_000, 800), true);
	assert.equal(isBeyondLargest(50_000_000, 20_000_000), false);
});
