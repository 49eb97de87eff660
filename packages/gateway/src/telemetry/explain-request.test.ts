import assert from 'node:assert/strict';
import test from 'node:test';
import {explainRequest} from './explain-request.js';

const write = (time: number, instance: string, event: string, fields: Readonly<Record<string, unknown>> = {}): string => JSON.stringify({
	level: 'info', time, instance, event, ...fields,
});

test('the lines of a request and the state changes that affected it are listed in chronological order', () => {
	const logs = [
		[
			write(1000, 'a', 'backend_unreachable', {backend: 'x', reason: 'connect_timeout'}),
			write(1100, 'a', 'backend_unreachable', {backend: 'other', reason: 'silent'}),
			write(1300, 'a', 'call_ended', {request: 'r', account: 'shop', outcome: 'no_backend'}),
			'a line of the runtime',
		].join('\n'),
		[
			write(1200, 'a', 'call_placed', {request: 'r', backend: 'x', result: 'not_run'}),
			write(1150, 'b', 'draining'),
			write(1250, 'a', 'limit_reached', {account: 'somebody'}),
			write(1260, 'a', 'limit_reached', {account: 'shop'}),
			'{"time":12',
		].join('\n'),
	];
	const events = explainRequest('r', logs).map(line => line.split(' ').slice(1, 3).join(' '));
	assert.deepEqual(events, ['a backend_unreachable', 'a call_placed', 'a limit_reached', 'a call_ended']);
	assert.deepEqual(explainRequest('unknown', logs), []);
});

test('the lines of all attempts at one stream are listed together, from any of them', () => {
	const logs = [
		[
			write(1000, 'a', 'stream_began', {request: 'r', version: 'v1'}),
			write(1100, 'a', 'stream_began', {request: 'other', version: 'v2'}),
		].join('\n'),
		[
			write(1200, 'b', 'stream_taken_up', {request: 'r-1', resumes: 'r', version: 'v1'}),
			write(1300, 'b', 'stream_not_taken_up', {request: 'r-2', resumes: 'r', reason: 'gone'}),
		].join('\n'),
	];
	for (const id of ['r', 'r-1', 'r-2']) {
		assert.deepEqual(explainRequest(id, logs).map(line => line.split(' ')[2]), ['stream_began', 'stream_taken_up', 'stream_not_taken_up']);
	}
});
