import assert from 'node:assert/strict';
import {test} from 'node:test';
import {makeKeyName} from '@shallotpass/core/claims/claim-state.js';
import {makeTestShard} from './shard-fixture.js';

test('the outcome of a claim that never took hold is recorded once and for all', async () => {
	// The log is down while a reservation comes in; its claim is given up, and the daemon notes
	// that it was not sent. Did it take that note for missing, it would write it again for ten
	// minutes, and an operator who drains the daemon would wait so long for it to stop.
	const {shard, makeClaim} = makeTestShard();
	const claim = makeClaim('claim-1', 'order-1');
	assert.equal(await shard.recordOutcome({kind: 'not_sent', claimId: claim.id, key: makeKeyName(claim)}), true);
	const late = await shard.claim(claim);
	assert.equal(late.kind, 'unavailable');
});

test('an outcome of a claim that lost its key to another changes nothing and is not written again', async () => {
	// Two daemons claim one key; the one that lost notes how its try ended. The winner's call
	// stands as it was, and the loser does not go on writing.
	const {shard, makeClaim} = makeTestShard();
	const winner = makeClaim('claim-1', 'order-1');
	const won = await shard.claim(winner);
	assert.equal(won.kind, 'won');
	const loser = makeClaim('claim-2', 'order-1');
	const lost = await shard.claim(loser);
	assert.equal(lost.kind, 'running');
	for (const kind of ['not_sent', 'unknown'] as const) {
		assert.equal(await shard.recordOutcome({kind, claimId: loser.id, key: makeKeyName(loser)}), true); // eslint-disable-line no-await-in-loop -- one after the other
	}

	const after = await shard.lookUp(winner);
	assert.equal(after.kind, 'won');
});
