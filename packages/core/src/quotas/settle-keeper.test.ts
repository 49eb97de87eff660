import assert from 'node:assert/strict';
import test from 'node:test';
import {makeKeeperReport, mergeKeeperReport} from './exchange-keeper-reports.js';
import {type KeeperClock, type KeeperState, makeKeeper} from './keeper-state.js';
import {trySettle} from './settle-keeper.js';

const windowMs = 8000;

const toClock = (now: number): KeeperClock => ({steady: now, trueTime: 1_000_000_000 + now});

const startKeepers = (): KeeperState[] => [0, 1].map(index => makeKeeper({
	id: `d${index}`, incarnation: `d${index}-1`, windowMs, clock: toClock(0),
}));

/** Lets both keepers hear each other. */
const exchangeReports = (keepers: readonly KeeperState[], now: number): void => {
	for (const at of [now, now + 10]) {
		for (const keeper of keepers) {
			const made = makeKeeperReport(keeper, {address: keeper.id, availabilityZone: 'a'}, toClock(at));
			for (const other of keepers) {
				mergeKeeperReport(other, made, toClock(at));
			}
		}
	}
};

const unknown = {record: {kind: 'unknown'}, hasUnheard: false} as const;

test('keepers that all started at once do not grant anew while the record of the spending is unknown', () => {
	const keepers = startKeepers();
	for (const now of [100, 2000, 7000]) {
		exchangeReports(keepers, now);
		assert.deepEqual(keepers.map(keeper => trySettle(keeper, unknown, toClock(now + 10))), [false, false], `after ${now} ms`);
	}

	assert.equal(trySettle(keepers[0]!, {...unknown, record: {kind: 'none'}}, toClock(7010)), true);
});

test('a record that is never readable does not keep keepers from granting for ever', () => {
	const keepers = startKeepers();
	exchangeReports(keepers, windowMs + 200);
	assert.equal(trySettle(keepers[0]!, unknown, toClock(windowMs + 210)), false, 'clocks differ by up to 0.3 s');
	exchangeReports(keepers, windowMs + 400);
	assert.equal(trySettle(keepers[0]!, unknown, toClock(windowMs + 410)), true);
});

test('a keeper that restarts alone needs no record, as a settled one tells what was spent', () => {
	const keepers = startKeepers();
	keepers[1]!.isSettled = true;
	exchangeReports(keepers, 100);
	assert.equal(trySettle(keepers[0]!, unknown, toClock(110)), true);
});
