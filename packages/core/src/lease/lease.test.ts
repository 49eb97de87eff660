import assert from 'node:assert/strict';
import test from 'node:test';
import {
	isLeaseFree, type Lease, canTakeLease, releasedIncarnation, takeoverMarginMs, observeLease,
} from './lease.js';

const leaseMs = 3000;

test('the takeover wait starts at the first report of the lease, not when its record is first read', () => {
	const first = observeLease(undefined, {offset: 5, clockDisagreements: 0}, 1000);
	// The holder has stopped, and its record is read from the store for the first time 1.2 s later.
	const second = observeLease(first, {offset: 5, clockDisagreements: 0}, 2200);
	assert.equal(canTakeLease(second, leaseMs, 1000 + leaseMs + takeoverMarginMs - 1), false);
	assert.equal(canTakeLease(second, leaseMs, 1000 + leaseMs + takeoverMarginMs), true);
});

test('the takeover wait starts again after a renewal or a disagreement of the local clocks', () => {
	const first = observeLease(undefined, {offset: 5, clockDisagreements: 0}, 1000);
	assert.equal(observeLease(first, {offset: 6, clockDisagreements: 0}, 4000).seenAt, 4000);
	assert.equal(observeLease(first, {offset: 5, clockDisagreements: 1}, 4000).seenAt, 4000);
});

test('a restarted process takes over its own lease at once, so a restart of all daemons leaves no gap', () => {
	const lease: Lease = {
		holder: 'front-a-1', holderAddress: '10.1.0.1:7500', incarnation: 'life-1', fence: 3, reports: [], orders: [], counted: {}, spent: {at: 0, accounts: {}}, convicted: [],
	};
	const restarted = {holder: 'front-a-1', holderAddress: '10.1.0.1:7500', incarnation: 'life-2'};
	assert.equal(isLeaseFree(lease, restarted), true);
	assert.equal(isLeaseFree(lease, {...restarted, holderAddress: '10.1.0.9:7500'}), false);
	assert.equal(isLeaseFree(lease, {...restarted, holder: 'front-a-2'}), false);
	assert.equal(isLeaseFree({...lease, incarnation: releasedIncarnation}, {...restarted, holder: 'front-a-2'}), true);
});
