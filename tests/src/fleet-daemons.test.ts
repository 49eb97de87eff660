import assert from 'node:assert/strict';
import test from 'node:test';
import {applyThrough, makeConfigurationText, waitFor} from '@shallotpass/measure/local-fleet.js';
import {makeHttpCloud} from '@shallotpass/provider/http-cloud.js';
import {startCloudStandIn} from '@shallotpass/stand-ins/cloud-stand-in.js';
import {Agent} from 'undici';
import {startFleet} from './fleet-fixture.js';

test('the cloud starts one instance for a token, says what has ended, and refuses what it has none of', async t => {
	const cloud = await startCloudStandIn();
	const dispatcher = new Agent();
	t.after(async () => {
		await Promise.all([dispatcher.close(), cloud.close()]);
	});
	const client = makeHttpCloud({baseUrl: cloud.url, dispatcher});
	const order = {
		token: 't1', availabilityZone: 'zone-1', machineClass: 'a', isReclaimable: true,
	};
	assert.deepEqual([await client.start(order), await client.start(order)], ['started', 'started']);
	const [instance, ...others] = await client.list();
	assert.deepEqual([instance!.token, instance!.isReclaimable, instance!.isLeaving, others.length], ['t1', true, false, 0]);
	cloud.giveNotice(instance!.id, Date.now() + 60_000);
	assert.deepEqual((await client.list()).map(item => item.isLeaving), [true]); // eslint-disable-line unicorn/no-await-expression-member -- one look
	await client.end(instance!.id);
	await client.end(instance!.id);
	assert.equal(await client.start(order), 'ended');
	cloud.faults.add({on: 'start', kind: 'refuse', times: 1});
	assert.equal(await client.start({...order, token: 't2'}), 'refused');
	cloud.faults.add({on: 'start', kind: 'lose_reply', times: 1});
	await assert.rejects(client.start({...order, token: 't3'}));
	assert.equal(await client.start({...order, token: 't3'}), 'started');
	assert.equal(cloud.countEverStarted(), 2);
});

test('daemons start what the work needs, once, though replies of the cloud are lost', async t => {
	// A shop opens and no engine runs. Each daemon of the zone could do the duty; the log gives it
	// to one, and the credits pay for one instance though the cloud's first reply never came.
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
	await applyThrough(fleet.daemons[0]!, configurationText, fleet.daemons[0]!.getVersion('default'));
	await waitFor('an instance runs', () => cloud.listStarted().length > 0, 30_000);
	await waitFor('the reply comes at the second asking', async () => {
		const texts = await Promise.all(fleet.daemons.map(async daemon => daemon.environment.metrics.registry.getSingleMetricAsString('shallotpass_fleet_starts_total')));
		return texts.some(text => text.includes('reply="started"')) || texts.some(text => text.includes('reply="unknown"'));
	}, 30_000);
	const [instance] = cloud.listStarted();
	assert.deepEqual([instance!.availabilityZone, instance!.machineClass, instance!.reclaimable], ['zone-1', 'a', true]);
	assert.equal(cloud.countEverStarted(), 1);
});
