import assert from 'node:assert/strict';
import test from 'node:test';
import {type GossipMember} from './pick-relays.js';
import {
	computeStoreRole, initialStoreRole, getMaxRetryPauseMs, getLeaseLookupDelayMs, getStaleMarginMs, type ReportingMember,
} from './store-role.js';

const makeMember = (index: number, changes: Partial<GossipMember> = {}): GossipMember => ({
	id: `d${index}`, address: `10.0.0.${index}:7500`, availabilityZone: `zone-${index % 5}`, linkMbps: 10, ...changes,
});

const toReporting = (members: readonly GossipMember[], isReading = true): ReportingMember[] => members.map(member => ({...member, isReading}));

const listRoles = (members: readonly GossipMember[]) => members.map(self => computeStoreRole({self, reporting: toReporting(members.filter(member => member !== self)), relays: []}));

for (const daemons of [1, 2, 9]) {
	test(`one of ${daemons} connected daemons reads the store, and all others ask it first`, () => {
		const members = Array.from({length: daemons}, (_value, index) => makeMember(index));
		const roles = listRoles(members);
		assert.deepEqual(roles.map(({rank}) => rank).toSorted((left, right) => left - right), members.map((_member, index) => index));
		const reader = members[roles.findIndex(({rank}) => rank === 0)]!;
		for (const {rank, sources} of roles) {
			assert.ok(rank === 0 || sources[0] === reader.address);
		}
	});
}

test('the daemon with the highest bandwidth is the reader, because all others ask it', () => {
	const members = Array.from({length: 9}, (_value, index) => makeMember(index, {linkMbps: index === 4 ? 200 : 10}));
	assert.equal(listRoles(members)[4]!.rank, 0);
});

test('the standby becomes the reader when the reader has stopped', () => {
	const members = Array.from({length: 9}, (_value, index) => makeMember(index));
	const roles = listRoles(members);
	const reader = members[roles.findIndex(({rank}) => rank === 0)]!;
	const standby = members[roles.findIndex(({rank}) => rank === 1)]!;
	const remaining = members.filter(member => member !== reader);
	const after = listRoles(remaining);
	assert.equal(after[remaining.indexOf(standby)]!.rank, 0);
});

test('a daemon that receives no reports reads the store itself instead of waiting for an unreachable reader', () => {
	assert.equal(computeStoreRole({self: makeMember(0), reporting: [], relays: []}).rank, 0);
});

test('a daemon that uses relays asks them and is the last to read the store or look up the lease', () => {
	const relays = [makeMember(1), makeMember(2)];
	const role = computeStoreRole({self: makeMember(0), reporting: toReporting([makeMember(3)]), relays});
	assert.deepEqual(role.sources, relays.map(({address}) => address));
	const standby = {rank: 1};
	assert.ok(getStaleMarginMs(role) > getStaleMarginMs({rank: 2}));
	assert.ok(getStaleMarginMs(standby) < getStaleMarginMs({rank: 2}));
	assert.ok(Number.isFinite(getLeaseLookupDelayMs(role)));
	assert.equal(getLeaseLookupDelayMs(initialStoreRole), 0);
	assert.ok(getMaxRetryPauseMs(role) > getMaxRetryPauseMs(initialStoreRole));
});

test('a daemon is not relieved of reading by a better one that the store refuses, or by one that ranks after it', () => {
	const members = Array.from({length: 4}, (_value, index) => makeMember(index, {linkMbps: 40 - index}));
	const [refused, self, , last] = members;
	const isReaderKnown = (reading: readonly GossipMember[]): boolean => computeStoreRole({
		self: self!, reporting: members.filter(member => member !== self).map(member => ({...member, isReading: reading.includes(member)})), relays: [],
	}).isReaderKnown;
	assert.deepEqual([isReaderKnown([]), isReaderKnown([last!]), isReaderKnown([refused!])], [false, false, true]);
});
