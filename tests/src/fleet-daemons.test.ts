import assert from 'node:assert/strict';
import test from 'node:test';
import {applyConfiguration, makeConfigurationText, waitFor} from '@shallotpass/measure/local-fleet.js';
import {makeHttpCloud} from '@shallotpass/provider/http-cloud.js';
import {startCloudStandIn} from '@shallotpass/stand-ins/cloud-stand-in.js';
import {Agent} from 'undici';
import {startFleet} from './fleet-fixture.js';

test('the cloud client starts one instance per token and reports ended instances and refused starts', async t => {
	const cloud = await startCloudStandIn();
	const dispatcher = new Agent();
	t.after(async () => {
		await Promise.all([dispatcher.close(), cloud.close()]);
	});
	const client = makeHttpCloud({baseUrl: cloud.url, dispatcher});
	const startOrder = {
		token: 't1', availabilityZone: 'zone-1', machineClass: 'a', isReclaimable: true,
	};
	assert.deepEqual([await client.start(startOrder), await client.start(startOrder)], ['started', 'started']);
	const [instance, ...others] = await client.list();
	assert.deepEqual([instance!.token, instance!.isReclaimable, instance!.isLeaving, others.length], ['t1', true, false, 0]);
	cloud.announceReclaim(instance!.id, Date.now() + 60_000);
	assert.deepEqual((await client.list()).map(item => item.isLeaving), [true]); // eslint-disable-line unicorn/no-await-expression-member -- one look
	await client.end(instance!.id);
	await client.end(instance!.id);
	assert.equal(await client.start(startOrder), 'ended');
	cloud.faults.add({on: 'start', kind: 'refuse', times: 1});
	assert.equal(await client.start({...startOrder, token: 't2'}), 'refused');
	cloud.faults.add({on: 'start', kind: 'lose_reply', times: 1});
	await assert.rejects(client.start({...startOrder, token: 't3'}));
	assert.equal(await client.start({...startOrder, token: 't3'}), 'started');
	assert.equal(cloud.countAllStarted(), 2);
});

test('daemons start a required instance only once although the cloud\'s reply is lost', async t => {
	// No engine is running when demand arises. The log assigns the fleet duty of the zone to one daemon,
	// and its start order must not be executed twice although the first reply of the cloud is lost.
	const configurationText = `${makeConfigurationText()}
[[price]]
availability_zone = "zone-1"
machine_class = "a"
reclaimable = 1.0
on_demand = 3.0
places = 8
`;
	const fleet = await startFleet(t, {daemons: 4, engines: []});
	const {cloud} = fleet.platform;
	cloud.faults.add({on: 'start', kind: 'lose_reply', times: 1});
	await applyConfiguration(fleet.daemons[0]!, configurationText, fleet.daemons[0]!.getVersion('default'));
	await waitFor('an instance is running', () => cloud.listStarted().length > 0, 30_000);
	await waitFor('the result of the start is recorded', async () => {
		const texts = await Promise.all(fleet.daemons.map(async daemon => daemon.environment.metrics.registry.getSingleMetricAsString('shallotpass_fleet_starts_total')));
		return texts.some(text => text.includes('reply="started"')) || texts.some(text => text.includes('reply="unknown"'));
	}, 30_000);
	const [instance] = cloud.listStarted();
	assert.deepEqual([instance!.availabilityZone, instance!.machineClass, instance!.reclaimable], ['zone-1', 'a', true]);
	assert.equal(cloud.countAllStarted(), 1);
});
