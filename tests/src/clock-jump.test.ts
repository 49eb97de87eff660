import assert from 'node:assert/strict';
import {test} from 'node:test';
import {makeTestShard} from './shard-fixture.js';

const dayMs = 24 * 60 * 60 * 1000;

test('an instance whose clock jumps ahead by a day still knows used keys', async () => {
	// The time service sets the clock a day ahead. If keys expired by that clock, a retry of a
	// reservation made a minute ago would execute it again. The result `unknown` means that the key was
	// claimed, but the outcome of its request is not known.
	const {shard, jump, makeClaim} = makeTestShard();
	const first = await shard.claim(makeClaim('claim-1', 'order-1'));
	assert.equal(first.kind, 'won');
	jump(dayMs);
	await shard.claim(makeClaim('claim-2', 'order-2'));
	const retry = await shard.claim(makeClaim('claim-3', 'order-1'));
	assert.equal(retry.kind, 'unknown');
});

test('an instance whose clock jumps ahead still refuses unclaimed keys after the log was trimmed too early', async () => {
	// The log has trimmed records before the end of its retention time, including the claim of a
	// recent reservation. Until the retention time has passed, a key without a claim in the log may have
	// been used. Setting the instance's clock a day ahead must not end this period early, or the
	// reservation would be executed again.
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
	assert.equal((await shard.claim(makeClaim('claim-3', 'order-1'))).kind, 'won'); // eslint-disable-line unicorn/no-await-expression-member -- the value is used only once
});
