import assert from 'node:assert/strict';
import {test} from 'node:test';
import {makeKeyName} from '@shallotpass/core/claims/claim-state.js';
import {makeTestShard} from './shard-fixture.js';

test('the outcome of a claim that was never appended is recorded at the first attempt', async () => {
	// The log is down when a reservation arrives, so the daemon abandons the claim and records that the
	// call was not sent. If it treated that record as missing, it would append it again for ten minutes
	// and a drain would take that long.
	const {shard, makeClaim} = makeTestShard();
	const claim = makeClaim('claim-1', 'order-1');
	assert.equal(await shard.recordOutcome({kind: 'not_sent', claimId: claim.id, key: makeKeyName(claim)}), true);
	const lateAnswer = await shard.claim(claim);
	assert.equal(lateAnswer.kind, 'unavailable');
});

test('the outcome of a claim that lost its key to another changes nothing and is not written again', async () => {
	// Two daemons claim the same key, and the loser records an outcome for its attempt. The winner's
	// claim must not change, and the loser must not repeat the write.
	const {shard, makeClaim} = makeTestShard();
	const winner = makeClaim('claim-1', 'order-1');
	const winnerAnswer = await shard.claim(winner);
	assert.equal(winnerAnswer.kind, 'won');
	const loser = makeClaim('claim-2', 'order-1');
	const loserAnswer = await shard.claim(loser);
	assert.equal(loserAnswer.kind, 'running');
	for (const kind of ['not_sent', 'unknown'] as const) {
		assert.equal(await shard.recordOutcome({kind, claimId: loser.id, key: makeKeyName(loser)}), true); // eslint-disable-line no-await-in-loop -- one after the other
	}

	const after = await shard.lookUp(winner);
	assert.equal(after.kind, 'won');
});
