import assert from 'node:assert/strict';
import type http from 'node:http';
import test from 'node:test';
import {
	findTrace, formatSends, recordAwaited, recordSend, recordSendEnd, trackCall,
} from './call-trace.js';

test('the trace of an unfinished answer tells its sends and what it waited for', () => {
	// Guards against a lost answer of which no line tells who had it and who gave it up.
	const response = {} as http.ServerResponse; // eslint-disable-line @typescript-eslint/consistent-type-assertions -- only its identity counts
	const trace = trackCall(response, 0);
	recordAwaited(trace, 'head', 10);
	recordSend(trace, 'engine-0', 200);
	recordSendEnd(trace, 'engine-0', 'given_up_silent');
	recordSend(trace, 'engine-1', 'refused_503');
	recordAwaited(trace, 'room', 1500);
	recordAwaited(trace, 'room', 1600);
	assert.equal(findTrace(response), trace);
	assert.equal(formatSends(trace), 'engine-0 200 given_up_silent, engine-1 refused_503');
	assert.deepEqual([trace.awaited, trace.since], ['room', 1500]);
});

test('the trace of a call that is turned away again and again stays small', () => {
	const trace = trackCall({} as http.ServerResponse, 0);
	for (let index = 0; index < 100; index++) {
		recordSend(trace, `engine-${index}`, 'refused_503');
	}

	assert.deepEqual([trace.sends.length, trace.sends.at(-1)?.target], [8, 'engine-99']);
});
