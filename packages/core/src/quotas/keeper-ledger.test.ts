import assert from 'node:assert/strict';
import test from 'node:test';
import fc from 'fast-check';
import {makeRandom} from '../testing/make-random.js';
import {dropExpiredSpending, makeKeeperReport, mergeKeeperReport} from './exchange-keeper-reports.js';
import {type KeeperReport} from './keeper-report.js';
import {type KeeperClock, type KeeperState, makeKeeper} from './keeper-state.js';
import {collectKnown} from './known-spending.js';
import {makeRecordedSpending, readRecordedSlots} from './recorded-spending.js';
import {
	decodeSlots, encodeSlots, type SlotAmounts, sumAmounts, toSlot,
} from './slot-amounts.js';
import {makeSpending, recordSpent} from './spending.js';

const windowMs = 8000;
const account = 'shop';

const toClock = (now: number): KeeperClock => ({steady: now, trueTime: 1_000_000_000 + now});

const startKeeper = (index: number, life: number, now = 0): KeeperState => makeKeeper({
	id: `d${index}`, incarnation: `d${index}-${life}`, windowMs, clock: toClock(now),
});

const pay = (keeper: KeeperState, cost: number, now: number): void => {
	const spending = keeper.payments.get(account) ?? makeSpending(windowMs);
	keeper.payments.set(account, spending);
	recordSpent(spending, cost, now);
};

const report = (keeper: KeeperState, now: number): KeeperReport => makeKeeperReport(keeper, {address: keeper.id, availabilityZone: 'a'}, toClock(now));

const listAmounts = (amounts: SlotAmounts): Array<[number, number]> => [...amounts].filter(([, amount]) => amount > 0).toSorted(([left], [right]) => left - right);

/** Reports of three keepers that pay, one of which ends and comes back. */
const drawReports = (seed: number): KeeperReport[] => {
	const random = makeRandom(seed);
	const keepers = [0, 1, 2].map(index => startKeeper(index, 1));
	const reports: KeeperReport[] = [];
	for (let now = 100; now < 6000; now += 100) {
		const index = Math.floor(random() * 3);
		if (random() < 0.05) {
			keepers[index] = startKeeper(index, now, now);
		}

		pay(keepers[index]!, Math.ceil(random() * 100), now);
		if (random() < 0.5) {
			const made = report(keepers[index]!, now);
			reports.push(made);
			for (const other of keepers.filter(other => other !== keepers[index] && random() < 0.5)) {
				mergeKeeperReport(other, made, toClock(now));
			}
		}
	}

	return reports;
};

test('the same reports give the same ledger in any order, twice or by another keeper', () => {
	fc.assert(fc.property(fc.integer({min: 1, max: 1000}), seed => {
		const reports = drawReports(seed);
		const random = makeRandom(seed);
		const mixed = [...reports, ...reports.filter(() => random() < 0.3)].map(item => ({item, order: random()})).toSorted((left, right) => left.order - right.order).map(({item}) => item);
		const [inOrder, inDisorder, byAnother, late] = [10, 11, 12, 13].map(index => startKeeper(index, 1));
		for (const item of reports) {
			mergeKeeperReport(inOrder!, item, toClock(6000));
		}

		for (const item of mixed) {
			mergeKeeperReport(inDisorder!, item, toClock(6000));
			mergeKeeperReport(byAnother!, item, toClock(6000));
		}

		// What a keeper no longer hears it passes on.
		mergeKeeperReport(late!, report(byAnother!, 7600), toClock(7600));
		const expected = listAmounts(collectKnown(inOrder!, account, toClock(6000)));
		assert.deepEqual(listAmounts(collectKnown(inDisorder!, account, toClock(6000))), expected);
		assert.deepEqual(listAmounts(collectKnown(late!, account, toClock(7600))), expected);
	}), {seed: 1, numRuns: 50});
});

test('the known spending of a past moment never falls but by age, whatever ends, restarts and is lost', () => {
	fc.assert(fc.property(fc.integer({min: 1, max: 1000}), seed => {
		const random = makeRandom(seed);
		const keepers = Array.from({length: 4}, (_keeper, index) => startKeeper(index, 1));
		const watched = startKeeper(9, 1);
		let before: SlotAmounts = new Map();
		for (let now = 100; now < 20_000; now += 100) {
			const index = Math.floor(random() * keepers.length);
			if (random() < 0.02) {
				keepers[index] = startKeeper(index, now, now);
			}

			pay(keepers[index]!, 10, now);
			const made = report(keepers[index]!, now);
			for (const other of [...keepers, watched].filter(other => other !== keepers[index] && random() < 0.6)) {
				mergeKeeperReport(other, made, toClock(now));
			}

			dropExpiredSpending(watched, toClock(now));
			const known = collectKnown(watched, account, toClock(now));
			const first = toSlot(toClock(now).trueTime - windowMs, windowMs);
			for (const [slot, amount] of before) {
				assert.ok(slot < first || (known.get(slot) ?? 0) >= amount, `slot ${slot} at ${now}`);
			}

			before = known;
		}
	}), {seed: 1, numRuns: 30});
});

test('the slots of a report keep their place in time, and none leaves the window early', () => {
	fc.assert(fc.property(fc.array(fc.record({at: fc.integer({min: 0, max: 8000}), cost: fc.integer({min: 1, max: 1000})}), {maxLength: 40}), fc.integer({min: 0, max: 9000}), (payments, later) => {
		const made = 1_000_008_000;
		const amounts: SlotAmounts = new Map();
		for (const {at, cost} of payments) {
			const slot = toSlot(1_000_000_000 + at, windowMs);
			amounts.set(slot, (amounts.get(slot) ?? 0) + cost);
		}

		const decoded = decodeSlots(encodeSlots(amounts, made, windowMs), toSlot(made, windowMs));
		const inWindow = payments.filter(({at}) => 1_000_000_000 + at >= made + later - windowMs).reduce((sum, {cost}) => sum + cost, 0);
		assert.ok(sumAmounts(decoded, made + later, windowMs) >= inWindow);
	}), {seed: 1, numRuns: 200});
});

test('a record in the store tells what was spent before an end of all, and what may have been spent since it was written', () => {
	const known: SlotAmounts = new Map([[toSlot(10_000, windowMs), 300]]);
	const record = makeRecordedSpending(new Map([[account, {known, demand: 1000, left: 900}]]), {at: 10_000, windowMs, expectedMs: 1200});
	const sum = (endedBy: number) => sumAmounts(readRecordedSlots(record, account, {windowMs, endedBy}), endedBy, windowMs);
	assert.equal(sum(10_000), 300);
	assert.equal(sum(10_600), 300 + 450);
	assert.equal(sum(12_000), 300 + 900);
});

test('a late report of an ended incarnation does not end the one that replaced it', () => {
	const watched = startKeeper(9, 1);
	const first = startKeeper(1, 1);
	const early = report(first, 1000);
	const late = report(first, 1300);
	const second = startKeeper(1, 2, 1500);
	mergeKeeperReport(watched, early, toClock(1000));
	mergeKeeperReport(watched, report(second, 1600), toClock(1600));
	mergeKeeperReport(watched, late, toClock(1700));
	const ended = [...watched.peers].map(([incarnation, {isReplaced}]) => [incarnation, isReplaced]);
	assert.deepEqual(ended, [['d1-1', true], ['d1-2', false]]);
});
