/** The whole path on stand-ins, told step by step. */
import process from 'node:process';
import {startEngineStandIn} from '@shallotpass/stand-ins/engine-stand-in.js';
import {startPlainServiceStandIn} from '@shallotpass/stand-ins/plain-service-stand-in.js';
import {askStream, reserve} from './caller-client.js';
import {
	applyThrough, makeConfigurationText, startMember, startPlatform, waitFor,
} from './local-fleet.js';

let step = 0;

const tell = (line: string): void => {
	step++;
	process.stdout.write(`${step}. ${line}\n`);
};

const check = (isTrue: boolean, what: string): void => {
	if (!isTrue) {
		throw new Error(`not as it should be: ${what}`);
	}
};

const run = async (): Promise<void> => {
	const platform = await startPlatform();
	const fast = await startEngineStandIn({models: ['assistant-7b'], parameters: {stepMs: 4}});
	const slow = await startEngineStandIn({models: ['assistant-7b'], parameters: {stepMs: 12}});
	const reservations = await startPlainServiceStandIn({id: 'reservations-1'});
	const place = {role: 'backend', state: 'live'} as const;
	platform.list.put({
		...place, id: 'engine-fast', address: fast.address, availabilityZone: 'zone-1', services: ['assistant'],
	});
	platform.list.put({
		...place, id: 'engine-slow', address: slow.address, availabilityZone: 'zone-2', services: ['assistant'],
	});
	platform.list.put({
		...place, id: 'reservations-1', address: reservations.address, availabilityZone: 'zone-1', services: ['reservations'],
	});
	tell('The platform stands: a log, an instance list, two model engines of different speed, a reservation service.');

	const first = await startMember({id: 'entry-1', availabilityZone: 'zone-1', platform});
	const second = await startMember({
		id: 'entry-2', availabilityZone: 'zone-2', platform, seeds: [first.peers],
	});
	await waitFor('both daemons know each other', () => first.listMembers().length === 2 && second.listMembers().length === 2);
	tell('Two daemons run, one in each availability zone, and have found each other.');

	const applied = await applyThrough(first, makeConfigurationText());
	check(applied.status === 202, `apply answered ${applied.status}`);
	await waitFor('the configuration is in force', () => first.getVersion('default') === applied.body.version && second.getVersion('default') === applied.body.version);
	tell(`A configuration was applied through entry-1; version ${applied.body.version} is in force on both daemons.`);

	await waitFor('backend servers are known', async () => {
		const warmUp = await reserve({
			address: second.callers,
			key: 'warm-up',
			body: '{}',
			path: '/services/reservations/warm-up',
		});
		return warmUp.status === 200;
	});
	const before = reservations.executions.length;
	const answer = await askStream({address: second.callers, marker: 'series', tokens: 12});
	check(answer.isWhole && answer.strayTokens === 0, 'the streamed answer is whole');
	tell(`A question to entry-2 was streamed back in ${answer.tokens} tokens, the first after ${answer.firstTokenMs?.toFixed(0)} ms: "${answer.text.trim()}".`);

	const body = '{"issue": "Dune 12", "copies": 1}';
	const once = await reserve({address: first.callers, key: 'order-1', body});
	const again = await reserve({address: second.callers, key: 'order-1', body});
	check(once.status === 200 && again.status === 200 && again.isReplayed, 'both reservations were answered');
	check(reservations.executions.length - before === 1, 'the reservation ran once');
	tell(`A reservation was sent to entry-1 and again, with the same key, to entry-2. It ran ${reservations.executions.length - before} time; both got the answer ${JSON.stringify(again.body)}.`);

	const changed = await reserve({address: second.callers, key: 'order-1', body: '{"issue": "Dune 13"}'});
	check(changed.status === 422, 'a changed body is refused');
	tell(`The same key with a different body was refused: ${String(changed.body.kind)}, executed: ${String(changed.body.executed)}.`);

	await Promise.all([first.drain(), second.drain()]);
	await Promise.all([fast.close(), slow.close(), reservations.close(), platform.close()]);
	tell('Both daemons have drained; nothing was cut off.');
};

await run();
process.exit(0);
