import assert from 'node:assert/strict';
import test from 'node:test';
import {getMaxRetryPauseMs, initialStoreRole} from '@shallotpass/core/gossip/store-role.js';
import {type Store} from '../ports.js';
import {followTopic} from './follow-topic.js';

/** Time within which the daemon that reads the store should notice that an outage has ended. */
const noticeMs = 1200;

/** Follows a topic whose store fails all calls after the first listing, and returns the longest time that each failing call takes. */
const listRetryTimes = async (t: {after: (callback: () => void) => void}, isListed: boolean): Promise<number[]> => {
	const controller = new AbortController();
	t.after(() => {
		controller.abort();
	});
	const times: number[] = [];
	const store: Store = {
		append: async () => ({kind: 'refused', reason: ''}),
		async read(_topic, _from, {timeoutMs}) {
			times.push(timeoutMs);
			return {kind: 'failed', reason: 'timeout'};
		},
		async readNewest(_topic, {responseTimeoutMs, timeoutMs}) {
			if (isListed) {
				return {kind: 'listing', records: [], end: 0};
			}

			times.push(responseTimeoutMs ?? timeoutMs);
			return {kind: 'failed', reason: 'timeout'};
		},
	};
	await new Promise<void>(resolve => {
		void followTopic({
			store, topic: 'directory', waitMs: 400, minIntervalMs: 400, isPaused: () => false, getMaxRetryDelayMs: () => 1, signal: controller.signal,
			handlers: {
				onListing() {/* not needed */},
				onRecords() {/* not needed */},
				onResponse() {/* not needed */},
				onFailure() {
					if (times.length >= 4) {
						resolve();
					}
				},
			},
		});
	});
	return times.slice(1);
};

for (const isListed of [true, false]) {
	test(`a daemon that ${isListed ? 'reads' : 'begins to read'} the store does not hang in a retry when an outage has ended`, async t => {
		// Its zone would keep servers that have left, and old configurations, for seconds after the outage.
		const times = await listRetryTimes(t, isListed);
		const longest = Math.max(...times);
		assert.ok(longest + getMaxRetryPauseMs(initialStoreRole) <= noticeMs, `${longest} ms`);
	});
}
