import assert from 'node:assert/strict';
import test from 'node:test';
import {sendReservation} from '@shallotpass/measure/caller-client.js';
import {waitFor} from '@shallotpass/measure/local-fleet.js';
import {startFleet} from './fleet-fixture.js';

const body = '{"issue": "Dune 12"}';

test('concurrent calls with the same key on different daemons are executed once and get the same answer', async t => {
	// A client loses its connection and the load balancer routes its retry to another daemon. A second
	// execution would charge the customer twice.
	const fleet = await startFleet(t, {daemons: 3});
	const answers = await Promise.all(Array.from({length: 12}, async (_value, index) =>
		sendReservation({address: fleet.daemons[index % 3]!.callers, key: 'order-1', body})));
	assert.equal(fleet.countExecutions(), 1);
	assert.deepEqual(new Set(answers.map(answer => answer.status)), new Set([200]));
	assert.equal(answers.filter(answer => !answer.isReplayed).length, 1);
});

test('a key reused with another body and a call without a key are refused without execution', async t => {
	const fleet = await startFleet(t, {daemons: 1});
	const {callers} = fleet.daemons[0]!;
	await sendReservation({address: callers, key: 'order-1', body});
	const reusedKey = await sendReservation({address: callers, key: 'order-1', body: '{"issue": "Dune 13"}'});
	assert.deepEqual([reusedKey.status, reusedKey.body.kind, reusedKey.body.executed], [422, 'idempotency_key_reused', 'no']);
	const withoutKey = await sendReservation({address: callers, key: undefined, body});
	assert.deepEqual([withoutKey.status, withoutKey.body.kind, withoutKey.body.executed], [400, 'idempotency_key_required', 'no']);
	assert.equal(fleet.countExecutions(), 1);
});

test('while the log is down, reservations are refused as not executed and repeatable calls are served', async t => {
	// A reservation executed without a record in the log could be executed again by another daemon.
	// The caller is therefore told the reason and when to retry.
	const fleet = await startFleet(t, {daemons: 2});
	fleet.platform.log.faults.add({on: 'append', kind: 'refuse'});
	fleet.platform.log.faults.add({on: 'read', kind: 'refuse'});
	const refused = await sendReservation({address: fleet.daemons[0]!.callers, key: 'order-1', body});
	assert.deepEqual([refused.status, refused.body.kind, refused.body.executed], [503, 'claims_unavailable', 'no']);
	assert.ok(Number(refused.retryAfter) >= 1);
	const repeatable = await sendReservation({
		address: fleet.daemons[0]!.callers, key: undefined, body: '{}', path: '/services/catalogue/find',
	});
	assert.equal(repeatable.status, 200);
	assert.equal(fleet.countExecutions(), 1);
	fleet.platform.log.faults.clear();
	await waitFor('the key can be used again', async () => {
		const answer = await sendReservation({address: fleet.daemons[1]!.callers, key: 'order-1', body});
		return answer.status === 200;
	});
	assert.equal(fleet.countExecutions(), 2);
});

test('a claim whose append succeeded but whose reply was lost is found by its id', async t => {
	// The log appends the record, but the connection breaks before the reply. The daemon must neither
	// claim again with a new id nor give up: the reservation must be executed exactly once.
	const fleet = await startFleet(t, {daemons: 2});
	fleet.platform.log.faults.add({on: 'append', kind: 'lose_reply', times: 3});
	const answer = await sendReservation({address: fleet.daemons[0]!.callers, key: 'order-1', body});
	assert.equal(answer.status, 200);
	const retry = await sendReservation({address: fleet.daemons[1]!.callers, key: 'order-1', body});
	assert.deepEqual([retry.status, retry.isReplayed], [200, true]);
	assert.equal(fleet.countExecutions(), 1);
});

type FailureCase = {
	readonly name: string;
	readonly fault: 'lose_reply' | 'mismatch' | 'break';
	readonly kind: string;
};

const failureCases: readonly FailureCase[] = [
	{name: 'closes the connection after the execution', fault: 'lose_reply', kind: 'backend_failed'},
	{name: 'answers with the id of another request', fault: 'mismatch', kind: 'mismatched_answer'},
	{name: 'does not answer with valid HTTP', fault: 'break', kind: 'backend_failed'},
];

for (const {name, fault, kind} of failureCases) {
	test(`a call is not retried and its outcome stays unknown if the backend server ${name}`, async t => {
		// The call may have been executed, and a retry on another server could execute it twice. The
		// caller is told that the outcome is unknown, now and on each later call with the key.
		const fleet = await startFleet(t, {daemons: 2, services: 2});
		for (const service of fleet.services) {
			service.faults.add({on: 'call', kind: fault});
		}

		const answer = await sendReservation({address: fleet.daemons[0]!.callers, key: 'order-1', body});
		assert.deepEqual([answer.status, answer.body.kind, answer.body.executed], [502, kind, 'unknown']);
		const retry = await sendReservation({address: fleet.daemons[1]!.callers, key: 'order-1', body});
		assert.deepEqual([retry.status, retry.body.kind, retry.body.executed], [409, 'outcome_unknown', 'unknown']);
		assert.equal(fleet.countExecutions(), 1);
	});
}

test('an unreachable backend server is skipped and the call is executed once by another', async t => {
	// One of two reservation servers is down but still listed. A refused connection proves that
	// nothing was sent, so the other server may be tried.
	const fleet = await startFleet(t, {daemons: 1, services: 2});
	await fleet.services[0]!.close();
	const answers = await Promise.all(Array.from({length: 8}, async (_value, index) =>
		sendReservation({address: fleet.daemons[0]!.callers, key: `order-${index}`, body})));
	assert.deepEqual(answers.map(answer => answer.status), Array.from({length: 8}, () => 200));
	assert.equal(fleet.countExecutions(), 8);
});

test('without a reachable backend server the call is not executed and the key can be used again', async t => {
	const fleet = await startFleet(t, {daemons: 1});
	await fleet.services[0]!.close();
	const refused = await sendReservation({address: fleet.daemons[0]!.callers, key: 'order-1', body});
	assert.deepEqual([refused.status, refused.body.kind, refused.body.executed], [502, 'backend_unreachable', 'no']);
	const {startPlainServiceStandIn} = await import('@shallotpass/stand-ins/plain-service-stand-in.js');
	// Uses a new address, because another program may have taken the old port.
	const replacement = await startPlainServiceStandIn({});
	fleet.platform.list.put({
		id: 'reservations-0', address: replacement.address, availabilityZone: 'zone-1', role: 'backend', state: 'live', services: ['reservations'],
	});
	t.after(async () => replacement.close());
	await waitFor('a call with the key succeeds', async () => {
		const answer = await sendReservation({address: fleet.daemons[0]!.callers, key: 'order-1', body});
		return answer.status === 200;
	});
	assert.equal(replacement.executions.length, 1);
});

test('a call continues after its caller disconnects, and a retry gets its answer', async t => {
	// The client times out and retries while the backend server still executes the first call. The
	// answer is recorded and returned to the retry.
	const fleet = await startFleet(t, {daemons: 2});
	fleet.services[0]!.faults.add({
		on: 'call', kind: 'delay', delayMs: 400, times: 1,
	});
	const callerAbort = new AbortController();
	const first = sendReservation({
		address: fleet.daemons[0]!.callers, key: 'order-1', body, signal: callerAbort.signal,
	});
	await waitFor('the call is running', () => fleet.countExecutions() === 1);
	callerAbort.abort();
	await assert.rejects(first);
	const retry = await sendReservation({address: fleet.daemons[1]!.callers, key: 'order-1', body});
	assert.deepEqual([retry.status, retry.isReplayed], [200, true]);
	assert.equal(fleet.countExecutions(), 1);
});

test('if a daemon stops between sending a call and receiving the answer, the outcome is unknown', async t => {
	// Whether the call was executed cannot be determined, so it must not be executed again.
	const fleet = await startFleet(t, {daemons: 3});
	fleet.services[0]!.faults.add({on: 'call', kind: 'silent', times: 1});
	const first = sendReservation({address: fleet.daemons[2]!.callers, key: 'order-1', body});
	const firstRejected = assert.rejects(first);
	await waitFor('the call is running', () => fleet.countExecutions() === 1);
	await fleet.daemons[2]!.stop();
	await firstRejected;
	const retry = await sendReservation({address: fleet.daemons[0]!.callers, key: 'order-1', body});
	assert.deepEqual([retry.status, retry.body.kind, retry.body.executed], [409, 'outcome_unknown', 'unknown']);
	assert.equal(fleet.countExecutions(), 1);
});

test('callers that wait for a call which could not be sent are not told that it is in progress', async t => {
	// A caller that is told so waits and asks again, although nothing runs.
	const fleet = await startFleet(t, {daemons: 3});
	await fleet.services[0]!.close();
	const headers = {'x-request-deadline': String(Date.now() + 8000)};
	const answers = await Promise.all(Array.from({length: 12}, async (_value, index) =>
		sendReservation({
			address: fleet.daemons[index % 3]!.callers, key: `order-${index % 4}`, body, headers,
		})));
	assert.deepEqual([...new Set(answers.map(answer => answer.body.executed))], ['no']);
});
