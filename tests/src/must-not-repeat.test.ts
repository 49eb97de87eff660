import assert from 'node:assert/strict';
import test from 'node:test';
import {reserve} from '@shallotpass/measure/caller-client.js';
import {waitFor} from '@shallotpass/measure/local-fleet.js';
import {startFleet} from './fleet-fixture.js';

const body = '{"issue": "Dune 12"}';

test('the same key through different daemons at once runs once, and all get the one answer', async t => {
	// A shop's till loses its connection and sends the reservation again, through whichever
	// instance the balancer picks. Run twice, it would charge the collector twice.
	const fleet = await startFleet(t, {daemons: 3});
	const answers = await Promise.all(Array.from({length: 12}, async (_value, index) =>
		reserve({address: fleet.daemons[index % 3]!.callers, key: 'order-1', body})));
	assert.equal(fleet.countExecutions(), 1);
	assert.deepEqual(new Set(answers.map(answer => answer.status)), new Set([200]));
	assert.equal(answers.filter(answer => !answer.isReplayed).length, 1);
});

test('keys of different bodies, and calls without a key, are refused without running', async t => {
	const fleet = await startFleet(t, {daemons: 1});
	const {callers} = fleet.daemons[0]!;
	await reserve({address: callers, key: 'order-1', body});
	const other = await reserve({address: callers, key: 'order-1', body: '{"issue": "Dune 13"}'});
	assert.deepEqual([other.status, other.body.kind, other.body.executed], [422, 'idempotency_key_reused', 'no']);
	const without = await reserve({address: callers, key: undefined, body});
	assert.deepEqual([without.status, without.body.kind, without.body.executed], [400, 'idempotency_key_required', 'no']);
	assert.equal(fleet.countExecutions(), 1);
});

test('while the log is down a reservation is refused as not run and a repeatable call goes on', async t => {
	// The platform's log has an outage. A reservation that was run without a record could be
	// run again by the next instance; so the shop is told to come back, and why.
	const fleet = await startFleet(t, {daemons: 2});
	fleet.platform.log.faults.add({on: 'append', kind: 'refuse'});
	fleet.platform.log.faults.add({on: 'read', kind: 'refuse'});
	const refused = await reserve({address: fleet.daemons[0]!.callers, key: 'order-1', body});
	assert.deepEqual([refused.status, refused.body.kind, refused.body.executed], [503, 'claims_unavailable', 'no']);
	assert.ok(Number(refused.retryAfter) >= 1);
	const repeatable = await reserve({
		address: fleet.daemons[0]!.callers, key: undefined, body: '{}', path: '/services/catalogue/find',
	});
	assert.equal(repeatable.status, 200);
	assert.equal(fleet.countExecutions(), 1);
	fleet.platform.log.faults.clear();
	await waitFor('the key can be used again', async () => {
		const answer = await reserve({address: fleet.daemons[1]!.callers, key: 'order-1', body});
		return answer.status === 200;
	});
	assert.equal(fleet.countExecutions(), 2);
});

test('a claim whose append took effect but whose reply was lost is found by its id', async t => {
	// The log takes the record and the connection breaks before the reply. Neither claiming
	// again under a new id nor giving up would be right: the reservation must run, once.
	const fleet = await startFleet(t, {daemons: 2});
	fleet.platform.log.faults.add({on: 'append', kind: 'lose_reply', times: 3});
	const answer = await reserve({address: fleet.daemons[0]!.callers, key: 'order-1', body});
	assert.equal(answer.status, 200);
	const again = await reserve({address: fleet.daemons[1]!.callers, key: 'order-1', body});
	assert.deepEqual([again.status, again.isReplayed], [200, true]);
	assert.equal(fleet.countExecutions(), 1);
});

type FailureCase = {
	readonly name: string;
	readonly fault: 'lose_reply' | 'mismatch' | 'break';
	readonly kind: string;
};

const failureCases: readonly FailureCase[] = [
	{name: 'closes the connection after running it', fault: 'lose_reply', kind: 'backend_failed'},
	{name: 'answers under the id of another request', fault: 'mismatch', kind: 'mismatched_answer'},
	{name: 'answers what is not HTTP', fault: 'break', kind: 'backend_failed'},
];

for (const {name, fault, kind} of failureCases) {
	test(`a backend server that ${name} is not asked again, and the key stays unknown`, async t => {
		// The call may have run. Sending it to the next server could run it twice, so the
		// caller is told that nobody knows, now and each time that it asks with the key.
		const fleet = await startFleet(t, {daemons: 2, services: 2});
		for (const service of fleet.services) {
			service.faults.add({on: 'call', kind: fault});
		}

		const answer = await reserve({address: fleet.daemons[0]!.callers, key: 'order-1', body});
		assert.deepEqual([answer.status, answer.body.kind, answer.body.executed], [502, kind, 'unknown']);
		const again = await reserve({address: fleet.daemons[1]!.callers, key: 'order-1', body});
		assert.deepEqual([again.status, again.body.kind, again.body.executed], [409, 'outcome_unknown', 'unknown']);
		assert.equal(fleet.countExecutions(), 1);
	});
}

test('a backend server that cannot be reached is passed over, and the call runs once elsewhere', async t => {
	// One of two reservation servers is gone and the list still shows it. A refused connection
	// proves that nothing was sent, so the other may be tried.
	const fleet = await startFleet(t, {daemons: 1, services: 2});
	await fleet.services[0]!.close();
	const answers = await Promise.all(Array.from({length: 8}, async (_value, index) =>
		reserve({address: fleet.daemons[0]!.callers, key: `order-${index}`, body})));
	assert.deepEqual(answers.map(answer => answer.status), Array.from({length: 8}, () => 200));
	assert.equal(fleet.countExecutions(), 8);
});

test('with no backend server left the call is not run and the key can be used again', async t => {
	const fleet = await startFleet(t, {daemons: 1});
	await fleet.services[0]!.close();
	const refused = await reserve({address: fleet.daemons[0]!.callers, key: 'order-1', body});
	assert.deepEqual([refused.status, refused.body.kind, refused.body.executed], [502, 'backend_unreachable', 'no']);
	const {startPlainServiceStandIn} = await import('@shallotpass/stand-ins/plain-service-stand-in.js');
	// At an address of its own: the old port may belong to another program by now.
	const revived = await startPlainServiceStandIn({});
	fleet.platform.list.put({
		id: 'reservations-0', address: revived.address, availabilityZone: 'zone-1', role: 'backend', state: 'live', services: ['reservations'],
	});
	t.after(async () => revived.close());
	await waitFor('the key works', async () => {
		const answer = await reserve({address: fleet.daemons[0]!.callers, key: 'order-1', body});
		return answer.status === 200;
	});
	assert.equal(revived.executions.length, 1);
});

test('a caller that gives up does not stop the call, and the next asking gets its answer', async t => {
	// The till times out and the clerk presses the button again. The first call is running at
	// the backend server by then; its answer is recorded and given to the second asking.
	const fleet = await startFleet(t, {daemons: 2});
	fleet.services[0]!.faults.add({
		on: 'call', kind: 'delay', delayMs: 400, times: 1,
	});
	const gone = new AbortController();
	const first = reserve({
		address: fleet.daemons[0]!.callers, key: 'order-1', body, signal: gone.signal,
	});
	await waitFor('it runs', () => fleet.countExecutions() === 1);
	gone.abort();
	await assert.rejects(first);
	const again = await reserve({address: fleet.daemons[1]!.callers, key: 'order-1', body});
	assert.deepEqual([again.status, again.isReplayed], [200, true]);
	assert.equal(fleet.countExecutions(), 1);
});

test('when the daemon that sent the call dies before its answer, the key is told as unknown', async t => {
	// The instance is taken away between sending the call and hearing the answer. Whether it
	// ran is known to nobody; a second run is not risked.
	const fleet = await startFleet(t, {daemons: 3});
	fleet.services[0]!.faults.add({on: 'call', kind: 'silent', times: 1});
	const first = reserve({address: fleet.daemons[2]!.callers, key: 'order-1', body});
	const failed = assert.rejects(first);
	await waitFor('it runs', () => fleet.countExecutions() === 1);
	await fleet.daemons[2]!.stop();
	await failed;
	const again = await reserve({address: fleet.daemons[0]!.callers, key: 'order-1', body});
	assert.deepEqual([again.status, again.body.kind, again.body.executed], [409, 'outcome_unknown', 'unknown']);
	assert.equal(fleet.countExecutions(), 1);
});
