import assert from 'node:assert/strict';
import test from 'node:test';
import {sumSlots} from '../quotas/spending.js';
import {type News, sumNews, withoutOwn} from './news.js';
import {needsRelays, pickRelays} from './pick-relays.js';

const makeNews = (index: number, zone: string): News => ({
	id: `d${index}`,
	incarnation: `life-${index}`,
	address: `10.0.0.${index}:7500`,
	availabilityZone: zone,
	linkMbps: 10,
	daemons: 1,
	configurationVersion: index,
	demands: {shop: 10},
	spent: {shop: [60, 40]},
	loads: {engine: [1, 5, 0, 0]},
	usage: {7: {shop: 2}},
	work: {assistant: 3},
	leaseOffset: index === 3 ? 12 : -1,
	trueTime: 1000,
	crashes: {},
});

const never = () => false;

for (const daemons of [9, 90, 870]) {
	test(`${daemons} daemons pick the same relays, and the sums of their zones are the sum of all`, () => {
		const zones = daemons === 870 ? 16 : 3;
		const all = Array.from({length: daemons}, (_value, index) => makeNews(index, `zone-${index % zones}`));
		let daemonsTold = 0;
		let spent = 0;
		for (let index = 0; index < zones; index++) {
			const zone = `zone-${index}`;
			const inZone = all.filter(news => news.availabilityZone === zone);
			const relays = pickRelays(all, zone, never);
			assert.equal(relays.length, Math.min(2, inZone.length));
			assert.deepEqual(pickRelays(all.toReversed(), zone, never), relays);
			const [own, ...others] = inZone;
			const sum = sumNews(own!, others, []);
			daemonsTold += sum.daemons;
			spent += sumSlots(sum.spent.shop);
		}

		assert.equal(daemonsTold, daemons);
		assert.equal(spent, daemons * 100);
		assert.equal(needsRelays(daemons), daemons > 12);
	});
}

test('the daemons with the widest links are relays', () => {
	const members = Array.from({length: 30}, (_value, index) => ({...makeNews(index, 'zone-0'), linkMbps: index === 7 || index === 8 ? 200 : 10}));
	assert.deepEqual(pickRelays(members, 'zone-0', never).map(member => member.id).toSorted(), ['d7', 'd8']);
});

test('when the first relay is silent the second is everybody\'s first', () => {
	// The daemon that adds up for a zone is stopped. Were the others to go on telling it, each would
	// soon take itself for the only one, and the zone would spend its accounts' limits many times.
	const members = Array.from({length: 30}, (_value, index) => makeNews(index, 'zone-0'));
	const [first, second] = pickRelays(members, 'zone-0', never);
	const after = pickRelays(members, 'zone-0', address => address === first!.address);
	assert.equal(after[0]!.address, second!.address);
});

test('a daemon sees what the others do in a sum that it is a part of', () => {
	const all = Array.from({length: 5}, (_value, index) => makeNews(index, 'zone-0'));
	const sum = sumNews(all[0]!, all.slice(1), []);
	const others = withoutOwn(sum, all[2]!);
	assert.deepEqual([others.daemons, others.spent.shop, others.usage['7']!.shop, others.loads.engine], [4, [240, 160], 8, [4, 20, 0, 0]]);
	assert.equal(others.leaseOffset, 12);
});

test('what a daemon counted before it ended stays in the sum', () => {
	// A daemon is killed in the middle of a usage window. Without its counts the report of the window
	// is off, and the operators are billed wrongly.
	const all = Array.from({length: 3}, (_value, index) => makeNews(index, 'zone-0'));
	const sum = sumNews(all[0]!, [all[1]!], [all[2]!]);
	assert.deepEqual([sum.daemons, sum.usage['7']!.shop, sum.spent.shop], [2, 6, [120, 80]]);
});
