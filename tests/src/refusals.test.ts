import assert from 'node:assert/strict';
import test from 'node:test';
import {Agent} from 'undici';
import {sendReservation, streamChat} from '@shallotpass/measure/caller-client.js';
import {makeConfigurationText, startFleetDaemon, waitFor} from '@shallotpass/measure/local-fleet.js';
import {startFleet, type Fleet, type FleetOptions} from './fleet-fixture.js';

type Refusal = {readonly status: number; readonly body: Readonly<Record<string, unknown>>; readonly retryAfter: string | undefined};

type RefusalCase = {
	readonly kind: string;
	readonly configurationText?: string;
	readonly limits?: FleetOptions['limits'];
	/** Provokes the refusal and returns it. */
	readonly provoke: (fleet: Fleet) => Promise<Refusal>;
};

const rateLimitedConfiguration = makeConfigurationText().replace('classes = ["counter", "draft"]', 'classes = ["counter", "draft"]\nrequests_per_second = 1');

const reserveOnce = async (fleet: Fleet, key: string): Promise<Refusal> => sendReservation({address: fleet.daemons[0]!.callers, key, body: '{"refused": true}'});

const cases: readonly RefusalCase[] = [
	{
		kind: 'rate_limited',
		configurationText: rateLimitedConfiguration,
		async provoke(fleet) {
			for (let index = 0; ; index++) {
				// The first calls are within the limit. They have another body, so that the check can tell them apart.
				const answer = await sendReservation({address: fleet.daemons[0]!.callers, key: `k${index}`, body: '{}'}); // eslint-disable-line no-await-in-loop -- until it is refused
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
			await waitFor('the backend server is removed', async () => {
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
			const first = sendReservation({address: fleet.daemons[0]!.callers, key: 'first', body: '{}'});
			await waitFor('the first call is running', () => fleet.countExecutions() === 1);
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
			// The connection of one caller uses up the limit of the daemon.
			const dispatcher = new Agent({connections: 1, pipelining: 1});
			const {callers} = fleet.daemons[0]!;
			await sendReservation({
				address: callers, key: 'first', body: '{}', dispatcher,
			});
			const otherDispatcher = new Agent({connections: 1, pipelining: 1});
			const refused = await sendReservation({
				address: callers, key: 'second', body: '{"refused": true}', dispatcher: otherDispatcher,
			});
			await Promise.all([dispatcher.close(), otherDispatcher.close()]);
			return refused;
		},
	},
	{
		kind: 'no_configuration',
		async provoke(fleet) {
			// A daemon starts without peers while the log is unavailable.
			fleet.platform.log.faults.add({on: 'read', kind: 'refuse'});
			const isolatedDaemon = await startFleetDaemon({id: 'lonely', availabilityZone: 'zone-1', platform: fleet.platform});
			const refused = await sendReservation({address: isolatedDaemon.callers, key: 'k', body: '{"refused": true}'});
			await isolatedDaemon.stop();
			return refused;
		},
	},
	{
		kind: 'draining',
		async provoke(fleet) {
			// A connection that was opened before the drain is used during it.
			const [daemon] = fleet.daemons;
			const dispatcher = new Agent({connections: 1, pipelining: 1});
			const longStream = streamChat({address: daemon!.callers, marker: 'long', tokens: 800});
			await sendReservation({
				address: daemon!.callers, key: 'before', body: '{}', dispatcher,
			});
			const draining = daemon!.drain();
			await new Promise(resolve => {
				setTimeout(resolve, 1200);
			});
			const refused = await sendReservation({
				address: daemon!.callers, key: 'k', body: '{"refused": true}', dispatcher,
			});
			assert.equal((await longStream).isComplete, true); // eslint-disable-line unicorn/no-await-expression-member -- one look
			await Promise.all([draining, dispatcher.close()]);
			return refused;
		},
	},
];

for (const {kind, configurationText, limits, provoke} of cases) {
	test(`a call refused with ${kind} was not executed, and the caller is told when to retry`, async t => {
		// During a temporary shortage the caller gets a final answer at once, can rely on the call not
		// having been executed, and is told when a retry makes sense.
		const fleet = await startFleet(t, {daemons: 1, configurationText, limits});
		const refused = await provoke(fleet);
		assert.deepEqual([refused.body.kind, refused.body.executed], [kind, 'no']);
		assert.ok(Number(refused.retryAfter) >= 1);
		assert.equal(fleet.services[0]!.executions.some(execution => execution.body === '{"refused": true}'), false);
	});
}

test('requests of a higher class overtake earlier ones of a lower class, which are answered too', async t => {
	// Many drafts are waiting when interactive requests of the class "counter" arrive. These must not
	// wait for the drafts, and the drafts must not starve.
	const fleet = await startFleet(t, {
		daemons: 1, engines: [{parameters: {stepMs: 5}}], limits: {maxRunningPerBackend: 2},
	});
	const order: string[] = [];
	const askWithClass = async (marker: string, requestClass: string): Promise<void> => {
		const answer = await streamChat({
			address: fleet.daemons[0]!.callers, marker, tokens: 20, headers: {'x-request-class': requestClass},
		});
		assert.equal(answer.isComplete, true);
		order.push(requestClass);
	};

	const drafts = Array.from({length: 12}, async (_value, index) => askWithClass(`d${index}`, 'draft'));
	await waitFor('two drafts are running', () => fleet.engines[0]!.countRunning() === 2);
	const counters = Array.from({length: 3}, async (_value, index) => askWithClass(`c${index}`, 'counter'));
	await Promise.all([...drafts, ...counters]);
	assert.ok(order.lastIndexOf('counter') < 8, order.join(' '));
	assert.equal(order.filter(name => name === 'draft').length, 12);
});

test('a waiting request is refused at once when the last engine leaves, not at its deadline', async t => {
	// A request waits behind another one when the only engine is reclaimed. Waiting until its deadline
	// would be useless, so the caller is told at once that no engine is left.
	const fleet = await startFleet(t, {daemons: 1, engines: [{parameters: {stepMs: 20}}], limits: {maxRunningPerBackend: 1}});
	const running = streamChat({address: fleet.daemons[0]!.callers, marker: 'first', tokens: 150});
	await waitFor('the first request is running', () => fleet.engines[0]!.countRunning() === 1);
	const waiting = streamChat({address: fleet.daemons[0]!.callers, marker: 'second', tokens: 5});
	await waitFor('the second request is waiting', async () => {
		const text = await fleet.daemons[0]!.environment.metrics.registry.getSingleMetricAsString('shallotpass_waiting_requests');
		return text.trimEnd().endsWith(' 1');
	});
	fleet.platform.cloud.announceReclaim('engine-0', Date.now() + 60_000);
	const refused = await waiting;
	assert.deepEqual([refused.problem?.kind, refused.problem?.executed], ['no_backend', 'no']);
	assert.equal((await running).isComplete, true); // eslint-disable-line unicorn/no-await-expression-member -- one look
});
