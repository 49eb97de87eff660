import assert from 'node:assert/strict';
import test from 'node:test';
import {
	dequeueRequest, enqueueRequest, makeWaitingQueue, type WaitingRequest,
} from './waiting-queue.js';

const makeRequest = (id: string, change: Partial<WaitingRequest> = {}): WaitingRequest => ({
	id, account: 'a', share: 1, rank: 0, work: 100, waitingSince: 0, deadline: 1e9, isPatient: false, ...change,
});

const counter = {rank: 0, startBy: 1e6};
const draft = {rank: 10, isPatient: true};

test('a draft starts though counter answers never leave more than the places that are kept for them', () => {
	// On a market day the counter never rests. A letter that was ordered in the morning must
	// still be written; shop staff would otherwise wait for it until its deadline.
	const queue = makeWaitingQueue();
	enqueueRequest(queue, makeRequest('draft', draft), 1000);
	const taken: string[] = [];
	for (let now = 1; now <= 40; now++) {
		enqueueRequest(queue, makeRequest(`counter-${now}`, {...counter, waitingSince: now}), 1000);
		taken.push(dequeueRequest(queue, {now, running: 19, capacity: 20})!.id);
	}

	assert.ok(taken.includes('draft'), taken.join(' '));
	assert.ok(taken.indexOf('draft') >= 10, 'counter answers go before it most of the time');
});

test('a draft does not take the last free places while its turn has not come', () => {
	const queue = makeWaitingQueue();
	enqueueRequest(queue, makeRequest('draft', draft), 1000);
	assert.equal(dequeueRequest(queue, {now: 1, running: 19, capacity: 20}), undefined);
	assert.equal(dequeueRequest(queue, {now: 1, running: 10, capacity: 20})?.id, 'draft');
});

test('in one class those that can still keep their target go before those that are late', () => {
	// The line is long. Served in the order of arrival, each customer would be answered just
	// after the target; so those who are late anyway wait a little longer and the others are in time.
	const queue = makeWaitingQueue();
	enqueueRequest(queue, makeRequest('late', {startBy: 50}), 1000);
	enqueueRequest(queue, makeRequest('in-time', {account: 'b', startBy: 500, work: 300}), 1000);
	assert.equal(dequeueRequest(queue, {now: 100, running: 0, capacity: 1})?.id, 'in-time');
	assert.equal(dequeueRequest(queue, {now: 100, running: 0, capacity: 1})?.id, 'late');
});

test('accounts are served by their shares, however much one of them asks', () => {
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
