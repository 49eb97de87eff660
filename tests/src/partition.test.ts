import assert from 'node:assert/strict';
import test, {type TestContext} from 'node:test';
import {
	applyConfiguration, makeConfigurationText, startFleetDaemon, waitFor,
} from '@shallotpass/measure/local-fleet.js';
import {streamChat, sendReservation} from '@shallotpass/measure/caller-client.js';
import {startZonedFleet, type ZonedFleet} from '@shallotpass/measure/zoned-fleet.js';
import {startEngineStandIn} from '@shallotpass/stand-ins/engine-stand-in.js';
import {startPlainServiceStandIn, type PlainServiceStandIn} from '@shallotpass/stand-ins/plain-service-stand-in.js';

type ZonedTestFleet = {readonly fleet: ZonedFleet; readonly service: PlainServiceStandIn; readonly version: number};

/** Starts three zones with one daemon each, an engine and a reservation server, and waits until every zone serves reservations. */
const startZonedTestFleet = async (t: TestContext): Promise<ZonedTestFleet> => {
	const fleet = await startZonedFleet({zones: 3, daemonsPerZone: 1});
	const engine = await startEngineStandIn({models: ['assistant-7b'], parameters: {stepMs: 2}});
	const service = await startPlainServiceStandIn();
	t.after(async () => {
		await fleet.close();
		await Promise.all([engine.close(), service.close()]);
	});
	fleet.platform.list.put({
		id: 'engine-1', address: engine.address, availabilityZone: 'zone-1', role: 'backend', state: 'live', services: ['assistant'],
	});
	fleet.platform.list.put({
		id: 'reservations-1', address: service.address, availabilityZone: 'zone-1', role: 'backend', state: 'live', services: ['reservations'],
	});
	const applied = await applyConfiguration(fleet.daemons[0]!, makeConfigurationText());
	const version = applied.body.version!;
	await waitFor('the configuration is in force', () => fleet.daemons.every(daemon => daemon.getVersion('default') === version));
	await waitFor('every zone serves reservations', async () => {
		const answers = await Promise.all(fleet.daemons.map(async (daemon, index) => sendReservation({address: daemon.callers, key: `ready-${index}`, body: '{}'})));
		return answers.every(answer => answer.status === 200);
	});
	return {fleet, service, version};
};

const countRuns = (service: PlainServiceStandIn, body: string): number =>
	service.executions.filter(execution => execution.body === body).length;

test('a zone disconnected from the platform gets configurations and makes reservations through other zones', async t => {
	// One zone loses its connection to the log but still reaches the other zones. It must receive a
	// new configuration, and a reservation must be executed exactly once.
	const {fleet, service} = await startZonedTestFleet(t);
	const [isolatedZone, connectedZone] = fleet.zones;
	isolatedZone!.setPlatformRelayMode('cut');
	const applied = await applyConfiguration(connectedZone!.daemons[0]!, makeConfigurationText('while cut'));
	await waitFor('the isolated zone has the configuration', () => isolatedZone!.daemons[0]!.getVersion('default') === applied.body.version);
	const first = await sendReservation({address: isolatedZone!.daemons[0]!.callers, key: 'order-1', body: '{"order": 1}'});
	const retry = await sendReservation({address: connectedZone!.daemons[0]!.callers, key: 'order-1', body: '{"order": 1}'});
	assert.deepEqual([first.status, retry.status, retry.isReplayed], [200, 200, true]);
	assert.equal(countRuns(service, '{"order": 1}'), 1);
});

test('a fully isolated zone serves streams and refuses reservations as not executed until it reconnects', async t => {
	// One zone loses the platform and the other zones. It still serves streams with the last
	// configuration, but it cannot record reservations.
	const {fleet, service, version} = await startZonedTestFleet(t);
	const [isolatedZone, connectedZone] = fleet.zones;
	isolatedZone!.setPlatformRelayMode('cut');
	fleet.isolateZones([isolatedZone!]);
	const applied = await applyConfiguration(connectedZone!.daemons[0]!, makeConfigurationText('unseen'));
	const [daemon] = isolatedZone!.daemons;
	const answer = await streamChat({address: daemon!.callers, marker: 'cut', tokens: 5});
	assert.equal(answer.isComplete, true);
	const refused = await sendReservation({address: daemon!.callers, key: 'order-1', body: '{"order": 1}'});
	assert.deepEqual([refused.status, refused.body.kind, refused.body.executed], [503, 'claims_unavailable', 'no']);
	assert.equal(countRuns(service, '{"order": 1}'), 0);
	assert.equal(daemon!.getVersion('default'), version);
	fleet.isolateZones([]);
	isolatedZone!.setPlatformRelayMode('open');
	await waitFor('the isolated zone has the new configuration', () => daemon!.getVersion('default') === applied.body.version);
	await waitFor('the reservation is executed', async () => {
		const later = await sendReservation({address: daemon!.callers, key: 'order-1', body: '{"order": 1}'});
		return later.status === 200;
	});
	assert.equal(countRuns(service, '{"order": 1}'), 1);
});

test('dead connections to the platform and to peers are replaced', async t => {
	// A firewall restarts and drops the state of open connections without closing them, while new ones
	// work. A daemon that did not detect this would wait on them forever and miss all changes.
	const {fleet, service} = await startZonedTestFleet(t);
	for (const zone of fleet.zones) {
		zone.setPlatformRelayMode('forgetful');
		for (const relay of zone.peerRelays) {
			relay.setMode('forgetful');
		}
	}

	const [first, second] = fleet.zones;
	const results = await Promise.all(Array.from({length: 6}, async (_value, index) => {
		const {daemons} = (index % 2 === 0 ? first : second)!;
		return sendReservation({address: daemons[0]!.callers, key: `order-${index % 3}`, body: `{"order": ${index % 3}}`});
	}));
	for (const result of results) {
		assert.ok(result.status === 200 || result.body.executed === 'no', JSON.stringify(result));
	}

	for (const order of [0, 1, 2]) {
		assert.ok(countRuns(service, `{"order": ${order}}`) <= 1);
	}

	await waitFor('reservations are executed again', async () => {
		const later = await sendReservation({address: first!.daemons[0]!.callers, key: 'order-after', body: '{"order": "after"}'});
		return later.status === 200;
	});
	const applied = await applyConfiguration(first!.daemons[0]!, makeConfigurationText('after'));
	assert.equal(applied.status, 202);
	await waitFor('every daemon has the new configuration', () => fleet.daemons.every(daemon => daemon.getVersion('default') >= applied.body.version!));
});

test('a daemon that starts while the log is down gets its configuration from a peer and serves', async t => {
	// Instances may be replaced at any time, including during an outage of the platform's log.
	const {fleet, version} = await startZonedTestFleet(t);
	fleet.platform.log.faults.add({on: 'read', kind: 'refuse'});
	fleet.platform.log.faults.add({on: 'append', kind: 'refuse'});
	const newDaemon = await startFleetDaemon({
		id: 'fresh', availabilityZone: 'zone-2', platform: fleet.platform, seeds: [fleet.zones[0]!.peerRelays[0]!.address],
	});
	t.after(async () => newDaemon.stop());
	await waitFor('the new daemon has the configuration', () => newDaemon.getVersion('default') === version);
	assert.equal(newDaemon.isReady(), true);
	await waitFor('the new daemon serves streams', async () => {
		const answer = await streamChat({address: newDaemon.callers, marker: 'new', tokens: 3});
		return answer.isComplete;
	});
});

test('a stale apply does not revert a configuration, and the configurations of two teams are independent', async t => {
	const {fleet} = await startZonedTestFleet(t);
	const [first, second] = fleet.daemons;
	const appliedOther = await applyConfiguration(first!, makeConfigurationText('other team').replaceAll(/key_sha256 = .*/gv, `key_sha256 = ["${'b'.repeat(64)}"]`), undefined, 'other');
	const appliedDefault = await applyConfiguration(first!, makeConfigurationText('second'));
	assert.equal(appliedDefault.status, 202);
	await waitFor('both configurations are in force', () => second!.getVersion('other') === appliedOther.body.version && second!.getVersion('default') === appliedDefault.body.version);
	const stale = await applyConfiguration(second!, makeConfigurationText('stale'), appliedOther.body.version);
	assert.deepEqual([stale.status, stale.body.kind], [409, 'configuration_conflict']);
	assert.equal(second!.getVersion('default'), appliedDefault.body.version);
});
