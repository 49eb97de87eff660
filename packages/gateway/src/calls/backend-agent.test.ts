import assert from 'node:assert/strict';
import test from 'node:test';
import {BackendAgent} from './backend-agent.js';

test('the answer of a process says nothing of connections that were established after the question', () => {
	const agent = new BackendAgent();
	assert.equal(agent.isConfirmed(1), false);
	agent.confirmUpTo(3);
	agent.confirmUpTo(2);
	assert.deepEqual([1, 3, 4, undefined].map(connection => agent.isConfirmed(connection)), [true, true, false, false]);
});

test('a connection leads to a later process only if that lived before the connection was established, and after it', () => {
	const agent = new BackendAgent();
	agent.recordLaterProcess(2000, 4, 4);
	assert.deepEqual([3, 4, 5].map(connection => agent.findLaterProcess(connection)), [undefined, 2000, undefined]);
	agent.recordLaterProcess(2000, 4, 6);
	agent.recordLaterProcess(3000, 8, 9);
	assert.deepEqual([3, 5, 6, 7, 8, 9, 10].map(connection => agent.findLaterProcess(connection)), [undefined, 2000, 2000, undefined, 3000, 3000, undefined]);
	assert.equal(agent.findLaterProcess(undefined), undefined);
});

test('an address at which processes start again and again does not fill the memory', () => {
	const agent = new BackendAgent();
	for (let start = 1; start <= 100; start++) {
		agent.recordLaterProcess(start, start, start);
	}

	assert.deepEqual(Array.from({length: 100}, (_value, index) => agent.findLaterProcess(index + 1)).filter(start => start !== undefined), [97, 98, 99, 100]);
});
