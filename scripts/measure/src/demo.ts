/** Demonstrates a request's path through two daemons and the stand-ins, printing each step. */
import process from 'node:process';
import {startEngineStandIn} from '@shallotpass/stand-ins/engine-stand-in.js';
import {startPlainServiceStandIn} from '@shallotpass/stand-ins/plain-service-stand-in.js';
import {streamChat, sendReservation} from './caller-client.js';
import {
	applyConfiguration, makeConfigurationText, startFleetDaemon, startPlatform, waitFor,
} from './local-fleet.js';

let step = 0;

const printStep = (line: string): void => {
	step++;
	process.stdout.write(`${step}. ${line}\n`);
};

const assertThat = (isTrue: boolean, expectation: string): void => {
	if (!isTrue) {
		throw new Error(`demo failed: expected that ${expectation}`);
	}
};

const run = async (): Promise<void> => {
	const platform = await startPlatform();
	const fast = await startEngineStandIn({models: ['assistant-7b'], parameters: {stepMs: 4}});
	const slow = await startEngineStandIn({models: ['assistant-7b'], parameters: {stepMs: 12}});
	const reservations = await startPlainServiceStandIn({id: 'reservations-1'});
	const listing = {role: 'backend', state: 'live'} as const;
	platform.list.put({
		...listing, id: 'engine-fast', address: fast.address, availabilityZone: 'zone-1', services: ['assistant'],
	});
	platform.list.put({
		...listing, id: 'engine-slow', address: slow.address, availabilityZone: 'zone-2', services: ['assistant'],
	});
	platform.list.put({
		...listing, id: 'reservations-1', address: reservations.address, availabilityZone: 'zone-1', services: ['reservations'],
	});
	printStep('The platform is running: a log, an instance list, two model engines of different speed and a reservation service.');

	const first = await startFleetDaemon({id: 'entry-1', availabilityZone: 'zone-1', platform});
	const second = await startFleetDaemon({
		id: 'entry-2', availabilityZone: 'zone-2', platform, seeds: [first.peers],
	});
	await waitFor('both daemons know each other', () => first.listMembers().length === 2 && second.listMembers().length === 2);
	printStep('Two daemons are running, one in each availability zone, and have discovered each other.');

	const applied = await applyConfiguration(first, makeConfigurationText());
	assertThat(applied.status === 202, `the configuration is accepted with status 202, got ${applied.status}`);
	await waitFor('the configuration is in force', () => first.getVersion('default') === applied.body.version && second.getVersion('default') === applied.body.version);
	printStep(`A configuration was applied through entry-1; version ${applied.body.version} is in force on both daemons.`);

	await waitFor('backend servers are known', async () => {
		const warmUp = await sendReservation({
			address: second.callers,
			key: 'warm-up',
			body: '{}',
			path: '/services/reservations/warm-up',
		});
		return warmUp.status === 200;
	});
	const before = reservations.executions.length;
	const answer = await streamChat({address: second.callers, marker: 'series', tokens: 12});
	assertThat(answer.isComplete && answer.unexpectedTokens === 0, 'the streamed answer is complete');
	printStep(`A chat request to entry-2 was answered with a stream of ${answer.tokens} tokens, the first one after ${answer.firstTokenMs?.toFixed(0)} ms: "${answer.text.trim()}".`);

	const body = '{"issue": "Dune 12", "copies": 1}';
	const once = await sendReservation({address: first.callers, key: 'order-1', body});
	const again = await sendReservation({address: second.callers, key: 'order-1', body});
	assertThat(once.status === 200 && again.status === 200 && again.isReplayed, 'both reservations are answered');
	assertThat(reservations.executions.length - before === 1, 'the reservation is executed once');
	printStep(`A reservation was sent to entry-1 and, with the same idempotency key, to entry-2. Number of executions: ${reservations.executions.length - before}. Both requests got the response ${JSON.stringify(again.body)}.`);

	const changed = await sendReservation({address: second.callers, key: 'order-1', body: '{"issue": "Dune 13"}'});
	assertThat(changed.status === 422, 'a different body is refused');
	printStep(`A request with the same key and a different body was refused: ${String(changed.body.kind)}, executed: ${String(changed.body.executed)}.`);

	await Promise.all([first.drain(), second.drain()]);
	await Promise.all([fast.close(), slow.close(), reservations.close(), platform.close()]);
	printStep('Both daemons have drained; no request was interrupted.');
};

await run();
process.exit(0);
