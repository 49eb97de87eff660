import assert from 'node:assert/strict';
import {Buffer} from 'node:buffer';
import test from 'node:test';
import {isJsonTooLarge, maxJsonValues} from './json-size.js';

test('texts with more values than the bound are found, however they are nested', () => {
	for (const unit of ['[', '{"":', '[],', '{},', '1,', '"",']) {
		assert.equal(isJsonTooLarge(Buffer.from(unit.repeat(maxJsonValues + 1))), true, unit);
		assert.equal(isJsonTooLarge(Buffer.from(unit.repeat((maxJsonValues / 2) - 1))), false, unit);
	}

	assert.equal(isJsonTooLarge(Buffer.alloc(4 * maxJsonValues, 'x')), false);
});
