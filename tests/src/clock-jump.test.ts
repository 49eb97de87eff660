import assert from 'node:assert/strict';
import {test} from 'node:test';
import {makeTestShard} from './shard-fixture.js';

const dayMs = 24 * 60 * 60 * 1000;

test('an instance whose clock jumps ahead by a day still knows the keys that were used', async () => {
	// The time service sets an instance's clock a day ahead. Were keys forgotten by that clock,
	// the next sending of a reservation made a minute ago would run it a second time.
	const {shard, advance, makeClaim} = makeTestShard();
	const first = await shard.claim(makeClaim('claim-1', 'order-1'));
	assert.equal(first.kind, 'won');
	advance(dayMs);
	await shard.claim(makeClaim('claim-2', 'order-2'));
	const again = await shard.claim(makeClaim('claim-3', 'order-1'));
	assert.equal(again.kind, 'unknown');
});
