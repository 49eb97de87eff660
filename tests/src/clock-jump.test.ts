import assert from 'node:assert/strict';
import {test} from 'node:test';
import {makeTestShard} from './shard-fixture.js';

const dayMs = 24 * 60 * 60 * 1000;

test('an instance whose clock jumps ahead by a day still knows the keys that were used', async () => {
	// The time service sets an instance's clock a day ahead. Were keys forgotten by that clock,
	// the next sending of a reservation made a minute ago would run it a second time.
	const {shard, jump, makeClaim} = makeTestShard();
	const first = await shard.claim(makeClaim('claim-1', 'order-1'));
	assert.equal(first.kind, 'won');
	jump(dayMs);
	await shard.claim(makeClaim('claim-2', 'order-2'));
	const again = await shard.claim(makeClaim('claim-3', 'order-1'));
	assert.equal(again.kind, 'unknown');
});

test('an instance whose clock jumps ahead does not trust keys that the log forgot too early', async () => {
	// The log dropped its records sooner than it promised, and with them the claim of a
	// reservation made a minute ago. Until the memory of keys is over a key that is not known may
	// have been used. A clock set a day ahead must not end that time: the reservation would run again.
	const {shard, jump, advance, log, makeClaim} = makeTestShard();
	await log.append({stream: 'claims-0', record: {kind: 'claims', outcomes: [], claims: [makeClaim('lost', 'order-1')]}});
	await log.append({stream: 'claims-0', record: {kind: 'claims', outcomes: [], claims: [makeClaim('kept', 'order-2')]}});
	log.trim('claims-0', 1);
	const before = await shard.claim(makeClaim('claim-1', 'order-1'));
	jump(dayMs);
	const after = await shard.claim(makeClaim('claim-2', 'order-1'));
	assert.deepEqual([before.kind, after.kind], ['unsafe', 'unsafe']);
	advance(dayMs);
	await log.append({stream: 'claims-0', record: {kind: 'claims', outcomes: [], claims: []}});
	await shard.lookUp(makeClaim('look', 'order-3'));
	assert.equal((await shard.claim(makeClaim('claim-3', 'order-1'))).kind, 'won'); // eslint-disable-line unicorn/no-await-expression-member -- one look
});
