import assert from 'node:assert/strict';
import test from 'node:test';
import {type FleetRecord} from '@shallotpass/common/log-records.js';
import {type LogRecord} from '@shallotpass/common/log-service.js';
import {type LogOffset} from '@shallotpass/common/types.js';
import fc from 'fast-check';
import {applyFleetRecord, maxLeaseMs, makeFleetState} from './fleet-state.js';
import {recordRefusal} from './record-refusal.js';
import {makeFleetPlanner} from './plan-fleet.js';
import {forecastDemand, smoothDemand} from './smooth-demand.js';
import {type FleetState, type FleetView, type Offer} from './types.js';

const zone = 'zone-1';

const makeLease = (holder: string, until: number, fencing?: number): FleetRecord => ({
	kind: 'lease', id: 'l', availabilityZone: zone, holder, until, fencing,
});

const makeOrders = (fencing: number, token: string): FleetRecord => ({
	kind: 'orders', id: 'o', availabilityZone: zone, fencing, orders: [{token, machineClass: 'a', isReclaimable: true}], closed: [], refusals: [],
});

const applyAll = (records: ReadonlyArray<{readonly at: number; readonly record: unknown}>): FleetState => {
	let state = makeFleetState();
	for (const [offset, {at, record}] of records.entries()) {
		const entry: LogRecord = {offset: offset as LogOffset, appendedAt: at, record};
		state = applyFleetRecord(state, entry);
		// Applying a record a second time must not change the state.
		assert.equal(applyFleetRecord(state, entry), state);
	}

	return state;
};

test('a lease is taken over only after it has expired by the log\'s time, and orders of a former holder are ignored', () => {
	const state = applyAll([
		{at: 0, record: makeLease('left', 1000)},
		{at: 500, record: makeLease('right', 2000)},
		{at: 600, record: makeOrders(0, 'of-left')},
		{at: 700, record: makeOrders(1, 'of-right')},
		{at: 800, record: makeLease('left', 1500, 0)},
		{at: 1600, record: makeLease('right', 3000)},
		{at: 1700, record: makeOrders(0, 'late-of-left')},
		{at: 1800, record: 'not a fleet record'},
	]);
	assert.deepEqual(state.leases.get(zone), {holder: 'right', until: 3000, fencing: 5});
	assert.deepEqual([...state.orders.keys()], ['of-left']);
});

test('a holder whose clock is years ahead holds the lease for at most a minute', () => {
	const state = applyAll([{at: 0, record: makeLease('left', Number.MAX_SAFE_INTEGER)}]);
	assert.equal(state.leases.get(zone)!.until, maxLeaseMs);
});

test('for any order of records the fencing token never decreases and belongs to one holder', () => {
	const record = fc.oneof(
		fc.record({holder: fc.constantFrom('left', 'right'), until: fc.nat(5000), fencing: fc.option(fc.nat(10), {nil: undefined})}).map(({holder, until, fencing}) => makeLease(holder, until, fencing)),
		fc.record({fencing: fc.nat(10), token: fc.constantFrom('a', 'b', 'c')}).map(({fencing, token}) => makeOrders(fencing, token)),
	);
	fc.assert(fc.property(fc.array(fc.record({passed: fc.nat(1000), record}), {maxLength: 20}), steps => {
		let state = makeFleetState();
		let at = 0;
		const holders = new Map<number, string>();
		let highestFencing = -1;
		for (const [offset, step] of steps.entries()) {
			at += step.passed;
			state = applyFleetRecord(state, {offset: offset as LogOffset, appendedAt: at, record: step.record});
			const lease = state.leases.get(zone);
			if (lease !== undefined) {
				assert.equal(holders.get(lease.fencing) ?? lease.holder, lease.holder);
				assert.ok(lease.fencing >= highestFencing);
				holders.set(lease.fencing, lease.holder);
				highestFencing = lease.fencing;
			}
		}
	}), {seed: 7});
});

const offers: readonly Offer[] = [
	{
		availabilityZone: 'zone-1', machineClass: 'big', isReclaimable: true, creditsPerHour: 4, places: 40,
	},
	{
		availabilityZone: 'zone-1', machineClass: 'small', isReclaimable: true, creditsPerHour: 1.5, places: 10,
	},
	{
		availabilityZone: 'zone-1', machineClass: 'small', isReclaimable: false, creditsPerHour: 4, places: 10,
	},
];

const makeView = (changes: Partial<FleetView>): FleetView => ({
	now: 0, offers, instances: [], openOrders: [], fixedSlots: 0, demandSlots: 0, refusals: [], ...changes,
});

const plan = makeFleetPlanner({
	headroom: 1, peakReserve: 0, minSlots: 0, minRuntimeMs: 0,
});
const listStartedClasses = (changes: Partial<FleetView>): string[] => plan(makeView(changes)).starts.map(offer => `${offer.machineClass}${offer.isReclaimable ? '' : ' on demand'}`);

test('most slots come from the machine class with the lowest price per slot, the last few from a class that fits them', () => {
	assert.deepEqual(listStartedClasses({demandSlots: 48}), ['big', 'small']);
	assert.deepEqual(listStartedClasses({demandSlots: 5}), ['small']);
	assert.deepEqual(listStartedClasses({demandSlots: 48, fixedSlots: 50}), []);
});

test('a refused offer is skipped until its backoff ends, and on-demand instances are used last', () => {
	const refusals = ['zone-1 big reclaimable', 'zone-1 small reclaimable'].map(offer => ({offer, times: 1, until: 100}));
	assert.deepEqual(listStartedClasses({demandSlots: 5, refusals}), ['small on demand']);
	assert.deepEqual(listStartedClasses({demandSlots: 5, refusals, now: 100}), ['small']);
});

test('a plan never both starts and ends instances, and always keeps the needed slots', () => {
	const instance = fc.record({index: fc.nat(2), isLeaving: fc.boolean()});
	fc.assert(fc.property(fc.array(instance, {maxLength: 12}), fc.nat(200), (generated, demandSlots) => {
		const instances = generated.map(({index, isLeaving}, number) => ({
			...offers[index]!, id: String(number), token: String(number), startedAt: -1, isLeaving,
		}));
		const {starts, ends} = plan(makeView({instances, demandSlots}));
		assert.ok(starts.length === 0 || ends.length === 0);
		const countSlots = (list: ReadonlyArray<{readonly places?: number}>): number => list.reduce((sum, item) => sum + (item.places ?? 0), 0);
		const left = countSlots(instances.filter(item => !item.isLeaving && !ends.some(end => end.id === item.id))) + countSlots(starts);
		assert.ok(left >= demandSlots, `${left} of ${demandSlots}`);
	}), {seed: 7});
});

test('the backoff after refusals grows exponentially and is reset after a long time without refusals', () => {
	const offer = offers[0]!;
	const first = recordRefusal({
		known: undefined, offer, now: 0, firstWaitMs: 100, random: () => 0.5,
	});
	const second = recordRefusal({
		known: first, offer, now: 100, firstWaitMs: 100, random: () => 0.5,
	});
	const later = recordRefusal({
		known: second, offer, now: 100_000, firstWaitMs: 100, random: () => 0.5,
	});
	assert.deepEqual([first.until, second.until, later.times], [100, 300, 1]);
});

test('the smoothed demand rises at once, falls slowly, and is forecast to rise further', () => {
	const options = {fallMs: 1000, slopeMs: 100};
	const low = smoothDemand(undefined, 10, 0, options);
	const high = smoothDemand(low, 50, 100, options);
	const falling = smoothDemand(high, 10, 200, options);
	assert.equal(high.level, 50);
	assert.ok(falling.level > 40 && falling.level < 50);
	assert.ok(forecastDemand(high, 100) > 50);
	assert.equal(forecastDemand(smoothDemand(falling, 10, 5000, options), 1000) <= 12, true);
});
