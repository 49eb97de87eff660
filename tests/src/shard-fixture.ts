/** Test fixture with one claim shard, an in-memory log and a manual clock. */
import {type Claim} from '@shallotpass/common/log-records.js';
import {makeSettings} from '@shallotpass/measure/local-fleet.js';
import {makeMemoryLog, type MemoryLog} from '@shallotpass/provider/memory-log.js';
import {makeClaimShard, type ClaimShard} from '@shallotpass/tasks/claim-shard.js';
import {makeLogger} from '@shallotpass/telemetry/logger.js';
import {makeMetrics} from '@shallotpass/telemetry/metrics.js';

export type TestShard = {
	readonly shard: ClaimShard;
	/** Advances the time of the log and of the instance. */
	readonly advance: (milliseconds: number) => void;
	/** Steps the clock of the instance, but not that of the log. */
	readonly jump: (milliseconds: number) => void;
	readonly log: MemoryLog;
	readonly makeClaim: (id: string, key: string) => Claim;
};

export const makeTestShard = (): TestShard => {
	let now = 1000;
	let offset = 0;
	const clock = {now: () => now + offset, async waitUntil() {/* only the test advances the time */}};
	const log = makeMemoryLog({...clock, now: () => now});
	const shard = makeClaimShard({
		environment: {
			settings: makeSettings({id: 'entry-1', availabilityZone: 'zone-1', platform: undefined}),
			clock,
			random: () => 0.5,
			metrics: makeMetrics(),
			makeLogger: task => makeLogger(task, 'entry-1'),
			signal: new AbortController().signal,
		},
		log,
		stream: 'claims-0',
		isOwnerGone: () => false,
	});
	return {
		shard,
		advance(milliseconds) {
			now += milliseconds;
		},
		jump(milliseconds) {
			offset += milliseconds;
		},
		log,
		makeClaim: (id, key) => ({
			id, account: 'a', service: 's', key, digest: 'd', owner: 'entry-1', ownerEpoch: '1', dispatchBy: now + 2000, answerBy: now + 30_000,
		}),
	};
};
