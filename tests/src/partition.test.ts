import assert from 'node:assert/strict';
import test, {type TestContext} from 'node:test';
import {
	applyThrough, makeConfigurationText, startMember, waitFor,
} from '@shallotpass/measure/local-fleet.js';
import {askStream, reserve} from '@shallotpass/measure/caller-client.js';
import {startZonedFleet, type ZonedFleet} from '@shallotpass/measure/zoned-fleet.js';
import {startEngineStandIn} from '@shallotpass/stand-ins/engine-stand-in.js';
import {startPlainServiceStandIn, type PlainServiceStandIn} from '@shallotpass/stand-ins/plain-service-stand-in.js';

type World = {readonly fleet: ZonedFleet; readonly service: PlainServiceStandIn; readonly version: number};

const startWorld = async (t: TestContext): Promise<World> => {
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
	const applied = await applyThrough(fleet.daemons[0]!, makeConfigurationText());
	const version = applied.body.version!;
	await waitFor('it is in force', () => fleet.daemons.every(daemon => daemon.getVersion('default') === version));
	await waitFor('every zone serves', async () => {
		const answers = await Promise.all(fleet.daemons.map(async (daemon, index) => reserve({address: daemon.callers, key: `ready-${index}`, body: '{}'})));
		return answers.every(answer => answer.status === 200);
	});
	return {fleet, service, version};
};

const countRuns = (service: PlainServiceStandIn, body: string): number =>
	service.executions.filter(execution => execution.body === body).length;

test('a zone cut off from the platform but not from its neighbours learns of a change and reserves through them', async t => {
	// The link from one zone to the log breaks; the zones still reach each other. Its shops
	// notice nothing: a new configuration arrives, and a reservation runs once.
	const {fleet, service} = await startWorld(t);
	const [cut, other] = fleet.zones;
	cut!.setPlatform('cut');
	const applied = await applyThrough(other!.daemons[0]!, makeConfigurationText('while cut'));
	await waitFor('the cut zone has it', () => cut!.daemons[0]!.getVersion('default') === applied.body.version);
	const first = await reserve({address: cut!.daemons[0]!.callers, key: 'order-1', body: '{"order": 1}'});
	const again = await reserve({address: other!.daemons[0]!.callers, key: 'order-1', body: '{"order": 1}'});
	assert.deepEqual([first.status, again.status, again.isReplayed], [200, 200, true]);
	assert.equal(countRuns(service, '{"order": 1}'), 1);
});

test('a zone cut off from everything serves what it can and refuses the rest truthfully, until it heals', async t => {
	// One zone loses the platform and the other zones. Questions are still answered from the
	// last configuration. A reservation cannot be recorded there, so it is refused as not run.
	const {fleet, service, version} = await startWorld(t);
	const [cut, other] = fleet.zones;
	cut!.setPlatform('cut');
	fleet.separate([cut!]);
	const applied = await applyThrough(other!.daemons[0]!, makeConfigurationText('unseen'));
	const [daemon] = cut!.daemons;
	const answer = await askStream({address: daemon!.callers, marker: 'cut', tokens: 5});
	assert.equal(answer.isWhole, true);
	const refused = await reserve({address: daemon!.callers, key: 'order-1', body: '{"order": 1}'});
	assert.deepEqual([refused.status, refused.body.kind, refused.body.executed], [503, 'claims_unavailable', 'no']);
	assert.equal(countRuns(service, '{"order": 1}'), 0);
	assert.equal(daemon!.getVersion('default'), version);
	fleet.separate([]);
	cut!.setPlatform('open');
	await waitFor('the change arrives', () => daemon!.getVersion('default') === applied.body.version);
	await waitFor('the reservation runs', async () => {
		const later = await reserve({address: daemon!.callers, key: 'order-1', body: '{"order": 1}'});
		return later.status === 200;
	});
	assert.equal(countRuns(service, '{"order": 1}'), 1);
});

test('connections to the platform and to peers that carry nothing any more are replaced', async t => {
	// A firewall is restarted and forgets every open connection; none is closed. New ones work.
	// Without looking, the daemon would wait on them for good and miss every change.
	const {fleet, service} = await startWorld(t);
	for (const zone of fleet.zones) {
		zone.setPlatform('forgetful');
		for (const relay of zone.fromPeers) {
			relay.setMode('forgetful');
		}
	}

	const [first, second] = fleet.zones;
	const results = await Promise.all(Array.from({length: 6}, async (_value, index) => {
		const {daemons} = (index % 2 === 0 ? first : second)!;
		return reserve({address: daemons[0]!.callers, key: `order-${index % 3}`, body: `{"order": ${index % 3}}`});
	}));
	for (const result of results) {
		assert.ok(result.status === 200 || result.body.executed === 'no', JSON.stringify(result));
	}

	for (const order of [0, 1, 2]) {
		assert.ok(countRuns(service, `{"order": ${order}}`) <= 1);
	}

	await waitFor('reservations run again', async () => {
		const later = await reserve({address: first!.daemons[0]!.callers, key: 'order-after', body: '{"order": "after"}'});
		return later.status === 200;
	});
	const applied = await applyThrough(first!.daemons[0]!, makeConfigurationText('after'));
	assert.equal(applied.status, 202);
	await waitFor('a change arrives everywhere', () => fleet.daemons.every(daemon => daemon.getVersion('default') >= applied.body.version!));
});

test('a daemon that starts while the log is down gets its configuration from a peer and serves', async t => {
	// Instances are replaced all the time, also during an outage of the platform's log.
	const {fleet, version} = await startWorld(t);
	fleet.platform.log.faults.add({on: 'read', kind: 'refuse'});
	fleet.platform.log.faults.add({on: 'append', kind: 'refuse'});
	const fresh = await startMember({
		id: 'fresh', availabilityZone: 'zone-2', platform: fleet.platform, seeds: [fleet.zones[0]!.fromPeers[0]!.address],
	});
	t.after(async () => fresh.stop());
	await waitFor('it has the configuration', () => fresh.getVersion('default') === version);
	assert.equal(fresh.isReady(), true);
	await waitFor('it serves', async () => {
		const answer = await askStream({address: fresh.callers, marker: 'new', tokens: 3});
		return answer.isWhole;
	});
});

test('a paused log reader that wakes up does not go back, and two teams do not touch each other', async t => {
	const {fleet} = await startWorld(t);
	const [first, second] = fleet.daemons;
	const other = await applyThrough(first!, makeConfigurationText('other team').replaceAll(/key_sha256 = .*/gv, `key_sha256 = ["${'b'.repeat(64)}"]`), undefined, 'other');
	const mine = await applyThrough(first!, makeConfigurationText('second'));
	assert.equal(mine.status, 202);
	await waitFor('both are in force', () => second!.getVersion('other') === other.body.version && second!.getVersion('default') === mine.body.version);
	const stale = await applyThrough(second!, makeConfigurationText('stale'), other.body.version);
	assert.deepEqual([stale.status, stale.body.kind], [409, 'configuration_conflict']);
	assert.equal(second!.getVersion('default'), mine.body.version);
});
