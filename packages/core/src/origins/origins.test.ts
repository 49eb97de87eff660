import assert from 'node:assert/strict';
import test from 'node:test';
import * as fc from 'fast-check';
import {hashText} from '../routing/rank-by-rendezvous.js';
import {
	expireOrigins, findOriginRecord, makeOriginLedger, maxOriginRecords, readOrigin, recordOrigin,
} from './origin-ledger.js';
import {type OriginKeeper, pickOriginKeepers, rankOriginKeepers} from './pick-origin-keepers.js';
import {reportedOriginSchema, toOriginRecord, toReportedOrigin} from './reported-origins.js';
import {type OriginRecord} from './types.js';

const makeRecord = (key: string, softwareVersion: string, expiresAt = 1000): OriginRecord => ({
	key, origins: [{service: 'llm', softwareVersion}], begunAt: 0, expiresAt,
});

test('the order, loss and repetition of records never make a wrong origin known', () => {
	const records = fc.array(fc.record({key: fc.constantFrom('a', 'b', 'c'), version: fc.constantFrom('v1', 'v2', 'v3'), expiresAt: fc.integer({min: 1, max: 100})}), {maxLength: 30});
	fc.assert(fc.property(records, fc.array(fc.nat(), {maxLength: 60}), fc.integer({min: 0, max: 100}), (sent, arrivals, now) => {
		const ledger = makeOriginLedger();
		for (const arrival of arrivals) {
			const record = sent[arrival % Math.max(1, sent.length)];
			if (record !== undefined) {
				recordOrigin(ledger, makeRecord(record.key, record.version, record.expiresAt), now);
			}
		}

		for (const key of ['a', 'b', 'c']) {
			const known = readOrigin(findOriginRecord(ledger, key, now));
			const arrived = new Set<string>(arrivals.map(arrival => sent[arrival % Math.max(1, sent.length)]).filter(record => record?.key === key && record.expiresAt > now).map(record => record!.version));
			assert.equal(known.kind, ['unknown', 'known', 'ambiguous'][Math.min(2, arrived.size)]);
			assert.ok(known.kind !== 'known' || arrived.has(known.origin.softwareVersion));
		}
	}));
});

test('a flood of streams drops none that may still be taken up', () => {
	const ledger = makeOriginLedger();
	for (let index = 0; index < maxOriginRecords; index++) {
		recordOrigin(ledger, makeRecord(`stream-${index}`, 'v1', index < 10 ? 100 : 1000), 0);
	}

	assert.equal(recordOrigin(ledger, makeRecord('one-more', 'v1'), 50), 'full');
	assert.equal(recordOrigin(ledger, makeRecord('stream-20', 'v1'), 50), 'recorded');
	assert.equal(ledger.size, maxOriginRecords);
	assert.equal(recordOrigin(ledger, makeRecord('one-more', 'v1'), 100), 'recorded');
	expireOrigins(ledger, 1000);
	assert.equal(ledger.size, 0);
});

test('a record is the same after it was sent to another daemon', () => {
	const record = makeRecord('a', 'v1', 9000);
	const received = toOriginRecord(reportedOriginSchema.parse(toReportedOrigin(record, 500)), 2500);
	assert.deepEqual(received, {...record, begunAt: 2000, expiresAt: 11_000});
});

const makeKeeper = (index: number): OriginKeeper => ({address: `10.0.0.${index}:7500`, addressHash: hashText(`10.0.0.${index}:7500`), availabilityZone: `zone-${index % 3}`});

test('the keepers of a stream are in two zones, the same for all daemons, and change with few members only', () => {
	const members = Array.from({length: 60}, (_value, index) => makeKeeper(index));
	const counts = new Map<string, number>();
	let moved = 0;
	for (let stream = 0; stream < 600; stream++) {
		const keyHash = hashText(`stream-${stream}`);
		const keepers = pickOriginKeepers(members, keyHash);
		assert.deepEqual(pickOriginKeepers(members.toReversed(), keyHash), keepers);
		assert.deepEqual(rankOriginKeepers(members, keyHash).slice(0, 2), keepers);
		assert.notEqual(keepers[0]!.availabilityZone, keepers[1]!.availabilityZone);
		const after = new Set(pickOriginKeepers(members.slice(1), keyHash));
		moved += keepers.some(keeper => !after.has(keeper)) ? 1 : 0;
		for (const {address} of keepers) {
			counts.set(address, (counts.get(address) ?? 0) + 1);
		}
	}

	assert.ok(Math.max(...counts.values()) < 60, `one daemon keeps ${Math.max(...counts.values())} of 600 streams`);
	assert.ok(moved < 60, `${moved} of 600 streams moved when one of 60 daemons left`);
});
