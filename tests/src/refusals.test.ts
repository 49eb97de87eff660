import assert from 'node:assert/strict';
import test from 'node:test';
import {Agent} from 'undici';
import {reserve, askStream} from '@shallotpass/measure/caller-client.js';
import {makeConfigurationText, startMember, waitFor} from '@shallotpass/measure/local-fleet.js';
import {startFleet, type Fleet, type FleetOptions} from './fleet-fixture.js';

type Refusal = {readonly status: number; readonly body: Readonly<Record<string, unknown>>; readonly retryAfter: string | undefined};

type RefusalCase = {
	readonly kind: string;
	readonly configurationText?: string;
	readonly limits?: FleetOptions['limits'];
	/** Brings the refusal about; gives it, and how often backend servers were asked by then. */
	readonly provoke: (fleet: Fleet) => Promise<Refusal>;
};

const limited = makeConfigurationText().replace('classes = ["counter", "draft"]', 'classes = ["counter", "draft"]\nrequests_per_second = 1');

const reserveOnce = async (fleet: Fleet, key: string): Promise<Refusal> => reserve({address: fleet.daemons[0]!.callers, key, body: '{"refused": true}'});

const cases: readonly RefusalCase[] = [
	{
		kind: 'rate_limited',
		configurationText: limited,
		async provoke(fleet) {
			for (let index = 0; ; index++) {
				// The first calls are within the limit; they carry another body.
				const answer = await reserve({address: fleet.daemons[0]!.callers, key: `k${index}`, body: '{}'}); // eslint-disable-line no-await-in-loop -- until it is refused
				if (answer.status !== 200) {
					return reserveOnce(fleet, 'last');
				}
			}
		},
	},
	{
		kind: 'no_backend',
		async provoke(fleet) {
			fleet.platform.list.remove('reservations-0');
			await waitFor('it is gone', async () => {
				const text = await fleet.daemons[0]!.environment.metrics.registry.getSingleMetricAsString('shallotpass_backends');
				return text.includes('state="live"} 2');
			});
			return reserveOnce(fleet, 'k');
		},
	},
	{
		kind: 'over_capacity',
		limits: {maxRunningPerBackend: 1, maxWaiting: 0},
		async provoke(fleet) {
			fleet.services[0]!.faults.add({
				on: 'call', kind: 'delay', delayMs: 600, times: 1,
			});
			const first = reserve({address: fleet.daemons[0]!.callers, key: 'first', body: '{}'});
			await waitFor('it runs', () => fleet.countExecutions() === 1);
			const refused = await reserveOnce(fleet, 'second');
			await first;
			return refused;
		},
	},
	{
		kind: 'claims_unavailable',
		async provoke(fleet) {
			fleet.platform.log.faults.add({on: 'append', kind: 'refuse'});
			return reserveOnce(fleet, 'k');
		},
	},
	{
		kind: 'connection_limit',
		limits: {maxConnections: 1},
		async provoke(fleet) {
			// One caller's connection is all that the instance takes.
			const dispatcher = new Agent({connections: 1, pipelining: 1});
			const {callers} = fleet.daemons[0]!;
			await reserve({
				address: callers, key: 'first', body: '{}', dispatcher,
			});
			const other = new Agent({connections: 1, pipelining: 1});
			const refused = await reserve({
				address: callers, key: 'second', body: '{"refused": true}', dispatcher: other,
			});
			await Promise.all([dispatcher.close(), other.close()]);
			return refused;
		},
	},
	{
		kind: 'no_configuration',
		async provoke(fleet) {
			// An instance starts while the log is away and knows no peer.
			fleet.platform.log.faults.add({on: 'read', kind: 'refuse'});
			const lonely = await startMember({id: 'lonely', availabilityZone: 'zone-1', platform: fleet.platform});
			const refused = await reserve({address: lonely.callers, key: 'k', body: '{"refused": true}'});
			await lonely.stop();
			return refused;
		},
	},
	{
		kind: 'draining',
		async provoke(fleet) {
			// A connection that was open before the instance began to leave is still used after it.
			const [daemon] = fleet.daemons;
			const dispatcher = new Agent({connections: 1, pipelining: 1});
			const long = askStream({address: daemon!.callers, marker: 'long', tokens: 800});
			await reserve({
				address: daemon!.callers, key: 'before', body: '{}', dispatcher,
			});
			const draining = daemon!.drain();
			await new Promise(resolve => {
				setTimeout(resolve, 1200);
			});
			const refused = await reserve({
				address: daemon!.callers, key: 'k', body: '{"refused": true}', dispatcher,
			});
			assert.equal((await long).isWhole, true); // eslint-disable-line unicorn/no-await-expression-member -- one look
			await Promise.all([draining, dispatcher.close()]);
			return refused;
		},
	},
];

for (const {kind, configurationText, limits, provoke} of cases) {
	test(`a caller refused with ${kind} was not run, and is told when to come back`, async t => {
		// The system is short of something for a moment. The caller gets its final answer at once,
		// may trust it, and is told when another try makes sense.
		const fleet = await startFleet(t, {daemons: 1, configurationText, limits});
		const refused = await provoke(fleet);
		assert.deepEqual([refused.body.kind, refused.body.executed], [kind, 'no']);
		assert.ok(Number(refused.retryAfter) >= 1);
		assert.equal(fleet.services[0]!.executions.some(execution => execution.body === '{"refused": true}'), false);
	});
}

test('counter answers go before drafts that came earlier, and the drafts are answered too', async t => {
	// A morning's worth of drafts is waiting when a customer asks at the counter. The counter
	// must not wait for the drafts; the drafts must come in the end.
	const fleet = await startFleet(t, {
		daemons: 1, engines: [{parameters: {stepMs: 5}}], limits: {maxRunningPerBackend: 2},
	});
	const order: string[] = [];
	const ask = async (marker: string, requestClass: string): Promise<void> => {
		const answer = await askStream({
			address: fleet.daemons[0]!.callers, marker, tokens: 20, headers: {'x-request-class': requestClass},
		});
		assert.equal(answer.isWhole, true);
		order.push(requestClass);
	};

	const drafts = Array.from({length: 12}, async (_value, index) => ask(`d${index}`, 'draft'));
	await waitFor('drafts run', () => fleet.engines[0]!.countRunning() === 2);
	const counters = Array.from({length: 3}, async (_value, index) => ask(`c${index}`, 'counter'));
	await Promise.all([...drafts, ...counters]);
	assert.ok(order.lastIndexOf('counter') < 8, order.join(' '));
	assert.equal(order.filter(name => name === 'draft').length, 12);
});

test('who waits when the last engine goes is told at once, not at its deadline', async t => {
	// A request waits behind another and has ten minutes. The only engine is taken away. There
	// is nothing left to wait for; the caller should hear so and when to come back.
	const fleet = await startFleet(t, {daemons: 1, engines: [{parameters: {stepMs: 20}}], limits: {maxRunningPerBackend: 1}});
	const running = askStream({address: fleet.daemons[0]!.callers, marker: 'first', tokens: 150});
	await waitFor('it runs', () => fleet.engines[0]!.countRunning() === 1);
	const waiting = askStream({address: fleet.daemons[0]!.callers, marker: 'second', tokens: 5});
	await waitFor('it waits', async () => {
		const text = await fleet.daemons[0]!.environment.metrics.registry.getSingleMetricAsString('shallotpass_waiting_requests');
		return text.trimEnd().endsWith(' 1');
	});
	fleet.platform.cloud.giveNotice('engine-0', Date.now() + 60_000);
	const refused = await waiting;
	assert.deepEqual([refused.problem?.kind, refused.problem?.executed], ['no_backend', 'no']);
	assert.equal((await running).isWhole, true); // eslint-disable-line unicorn/no-await-expression-member -- one look
});
