import assert from 'node:assert/strict';
import test from 'node:test';
import {
	dequeueRequest, enqueueRequest, makeWaitingQueue, type WaitingRequest,
} from './waiting-queue.js';

const makeRequest = (id: string, change: Partial<WaitingRequest> = {}): WaitingRequest => ({
	id, account: 'a', share: 1, rank: 0, work: 100, waitingSince: 0, deadline: 1e9, isBackground: false, ...change,
});

const interactive = {rank: 0, startBy: 1e6};
const background = {rank: 10, isBackground: true};

test('a background request starts even if interactive requests leave only the reserved capacity free', () => {
	// Under a constant load of interactive requests, a background request would otherwise wait
	// until its deadline.
	const queue = makeWaitingQueue();
	enqueueRequest(queue, makeRequest('background', background), 1000);
	const taken: string[] = [];
	for (let now = 1; now <= 40; now++) {
		enqueueRequest(queue, makeRequest(`interactive-${now}`, {...interactive, waitingSince: now}), 1000);
		taken.push(dequeueRequest(queue, {now, running: 19, capacity: 20})!.id);
	}

	assert.ok(taken.includes('background'), taken.join(' '));
	assert.ok(taken.indexOf('background') >= 10, 'most interactive requests start before it');
});

test('a background request does not use the reserved capacity before its oldest-first turn', () => {
	const queue = makeWaitingQueue();
	enqueueRequest(queue, makeRequest('background', background), 1000);
	assert.equal(dequeueRequest(queue, {now: 1, running: 19, capacity: 20}), undefined);
	assert.equal(dequeueRequest(queue, {now: 1, running: 10, capacity: 20})?.id, 'background');
});

test('within a class, requests that can still meet their target go before late ones', () => {
	// In a long queue that is served in order of arrival, every request would miss its target by a
	// little. Requests that are late already wait longer, so that the others are on time.
	const queue = makeWaitingQueue();
	enqueueRequest(queue, makeRequest('late', {startBy: 50}), 1000);
	enqueueRequest(queue, makeRequest('in-time', {account: 'b', startBy: 500, work: 300}), 1000);
	assert.equal(dequeueRequest(queue, {now: 100, running: 0, capacity: 1})?.id, 'in-time');
	assert.equal(dequeueRequest(queue, {now: 100, running: 0, capacity: 1})?.id, 'late');
});

test('accounts are served in proportion to their shares, regardless of how many requests each sends', () => {
	const queue = makeWaitingQueue();
	for (let index = 0; index < 60; index++) {
		enqueueRequest(queue, makeRequest(`large-${index}`, {account: 'large', share: 2, waitingSince: index}), 1000);
	}

	for (let index = 0; index < 15; index++) {
		enqueueRequest(queue, makeRequest(`small-${index}`, {account: 'small', share: 1, waitingSince: 60 + index}), 1000);
	}

	const taken = Array.from({length: 30}, () => dequeueRequest(queue, {now: 100, running: 0, capacity: 1})!.id);
	const small = taken.filter(id => id.startsWith('small')).length;
	assert.ok(small >= 8 && small <= 11, String(small));
});
