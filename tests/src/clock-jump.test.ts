import assert from 'node:assert/strict';
import test from 'node:test';
import {type Claim} from '@shallotpass/common/log-records.js';
import {makeSettings} from '@shallotpass/measure/local-fleet.js';
import {makeMemoryLog} from '@shallotpass/platform/memory-log.js';
import {makeClaimShard} from '@shallotpass/tasks/claim-shard.js';
import {makeLogger} from '@shallotpass/telemetry/logger.js';
import {makeMetrics} from '@shallotpass/telemetry/metrics.js';

const dayMs = 24 * 60 * 60 * 1000;

test('an instance whose clock jumps ahead by a day still knows the keys that were used', async () => {
	// The time service sets an instance's clock a day ahead. Were keys forgotten by that clock,
	// the next sending of a reservation made a minute ago would run it a second time.
	let now = 1000;
	const clock = {now: () => now, async waitUntil() {/* no time passes by itself */}};
	const shard = makeClaimShard({
		environment: {
			settings: makeSettings({id: 'entry-1', availabilityZone: 'zone-1', platform: undefined}),
			clock,
			random: () => 0.5,
			metrics: makeMetrics(),
			makeLogger: task => makeLogger(task, 'entry-1'),
			signal: new AbortController().signal,
		},
		log: makeMemoryLog(clock),
		stream: 'claims-0',
		isOwnerGone: () => false,
	});
	const makeClaim = (id: string, key: string): Claim => ({
		id, account: 'a', service: 's', key, digest: 'd', owner: 'entry-1', ownerEpoch: '1', dispatchBy: now + 2000, answerBy: now + 30_000,
	});
	const first = await shard.claim(makeClaim('claim-1', 'order-1'));
	assert.equal(first.kind, 'won');
	now += dayMs;
	await shard.claim(makeClaim('claim-2', 'order-2'));
	const again = await shard.claim(makeClaim('claim-3', 'order-1'));
	assert.equal(again.kind, 'unknown');
});
