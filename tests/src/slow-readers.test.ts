import assert from 'node:assert/strict';
import test from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import {callerKey, waitFor} from '@shallotpass/measure/local-fleet.js';
import {openPacedCaller} from '@shallotpass/platform/stand-ins/paced-caller.js';
import {parseAnswers} from '@shallotpass/platform/stand-ins/parse-answers.js';
import {startFleet} from './fleet-fixture.js';

const bodyBytes = 12_000_000;

test('answers that are written when a daemon drains are delivered to callers that read slowly', async t => {
	// Closing the idle connections of the server destroyed those whose answers were written but not sent.
	const fleet = await startFleet(t, {daemons: 1, limits: {maxBodyBytes: 2 * bodyBytes}});
	const [daemon] = fleet.daemons;
	const caller = await openPacedCaller(daemon!.callers);
	caller.setPace(0);
	caller.write([
		'POST /services/reservations/x HTTP/1.1', 'Host: x', `Authorization: Bearer ${callerKey}`, 'Idempotency-Key: k-1', `Content-Length: ${bodyBytes}`, '', 'x'.repeat(bodyBytes),
	].join('\r\n'));
	await waitFor('the call has run', () => fleet.countExecutions() === 1);
	const drained = daemon!.drain();
	await sleep(2000);
	caller.setPace(Infinity);
	await Promise.all([caller.closed, drained]);
	const [answer] = parseAnswers(caller.getReceived());
	assert.deepEqual([answer?.status, answer?.isComplete, caller.getError()], [200, true, undefined], `${caller.countReceived()} bytes`);
	assert.ok(caller.countReceived() > bodyBytes);
});

test('all requests that were read together while a daemon drains are refused', async t => {
	// The first refusal closed the connection, and the others were not written.
	const fleet = await startFleet(t, {daemons: 1});
	const [daemon] = fleet.daemons;
	fleet.services[0]!.faults.add({on: 'call', kind: 'delay', delayMs: 4000});
	const head = ['Host: x', `Authorization: Bearer ${callerKey}`];
	const busy = await openPacedCaller(daemon!.callers);
	busy.write(['POST /services/reservations/x HTTP/1.1', ...head, 'Idempotency-Key: k-1', 'Content-Length: 2', '', '{}'].join('\r\n'));
	await waitFor('the call runs', () => fleet.countExecutions() === 1);
	const caller = await openPacedCaller(daemon!.callers);
	const drained = daemon!.drain();
	await sleep(1500);
	caller.write(['GET /v1/models HTTP/1.1', ...head, '', ''].join('\r\n').repeat(3));
	await Promise.all([caller.closed, busy.closed, drained]);
	assert.deepEqual(parseAnswers(caller.getReceived()).map(({status, isComplete}) => [status, isComplete]), [[503, true], [503, true], [503, true]]);
});
