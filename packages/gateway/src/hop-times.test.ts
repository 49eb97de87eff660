import assert from 'node:assert/strict';
import test from 'node:test';
import {getMaxRetryPauseMs} from '@shallotpass/core/gossip/store-role.js';
import {
	gossipIntervalMs, listingResponseTimeoutMs, peerResponseTimeoutMs, storeResponseMarginMs,
} from './hop-times.js';

/** Time after the end of an outage from which the bounds hold, by the pages of the platform. */
const stableMs = 3000;

test('after an outage every daemon of a zone knows the store again before the bounds hold, with each hop at its worst', () => {
	const hops = [
		{name: 'a call that was sent just before the end fails', ms: Math.max(storeResponseMarginMs, listingResponseTimeoutMs)},
		{name: 'the reader pauses before the next one', ms: getMaxRetryPauseMs({rank: 1})},
		{name: 'the store answers', ms: storeResponseMarginMs},
		{name: 'a report is lost, and the next one is due', ms: 2 * gossipIntervalMs},
		{name: 'a query fails on a connection that was dropped', ms: peerResponseTimeoutMs},
		{name: 'the next report is due', ms: gossipIntervalMs},
		{name: 'the query is answered', ms: peerResponseTimeoutMs},
	];
	const sumMs = hops.reduce((sum, {ms}) => sum + ms, 0);
	assert.ok(sumMs < stableMs, `${sumMs} ms: ${JSON.stringify(hops)}`);
});
