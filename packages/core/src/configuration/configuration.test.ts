import assert from 'node:assert/strict';
import test from 'node:test';
import {type LogRecord} from '@shallotpass/common/log-service.js';
import {type LogOffset} from '@shallotpass/common/types.js';
import fc from 'fast-check';
import {
	emptyConfigurationState, applyConfigurationRecord, getAcceptedVersion, applyTrim, closeGap,
} from './configuration-state.js';
import {planRestatements} from './plan-restatement.js';
import {makeOffer, initializeFromOffer, applyOffer} from './exchange-offers.js';
import {type ConfigurationState} from './types.js';

const teams = ['default', 'other'];

type Append = {readonly team: string; readonly base: number};

const makeRecord = (offset: number, {team, base}: Append): LogRecord => ({
	offset: offset as LogOffset,
	appendedAt: offset * 1000,
	record: {
		kind: 'configuration', id: `id-${offset}`, team, base, toml: `# ${offset}`, by: 'x', at: 0,
	},
});

const applyAll = (state: ConfigurationState, records: readonly LogRecord[]): ConfigurationState => {
	let next = state;
	for (const record of records) {
		next = applyConfigurationRecord(next, record);
	}

	return next;
};

const listVersions = (state: ConfigurationState): Record<string, number> =>
	Object.fromEntries(teams.map(team => [team, getAcceptedVersion(state, team)]));

/** Logs of concurrent operators. The base of a record is a version that was accepted earlier, or an arbitrary number. */
const logs = fc.array(fc.record({team: fc.constantFrom(...teams), lag: fc.nat(3), hasArbitraryBase: fc.boolean()}), {maxLength: 30}).map(steps => {
	const records: LogRecord[] = [];
	const versions: Record<string, number[]> = {default: [-1], other: [-1]};
	let state = emptyConfigurationState;
	for (const [offset, {team, lag, hasArbitraryBase}] of steps.entries()) {
		const known = versions[team]!;
		const base = hasArbitraryBase ? offset - lag : known[Math.max(0, known.length - 1 - (lag === 3 ? 1 : 0))]!;
		const record = makeRecord(offset, {team, base});
		records.push(record);
		state = applyConfigurationRecord(state, record);
		known.push(getAcceptedVersion(state, team));
	}

	return records;
});

test('of two records with the same base, the first in the log is accepted and the second is a conflict', () => {
	const records = [makeRecord(0, {team: 'default', base: -1}), makeRecord(1, {team: 'default', base: 0}), makeRecord(2, {team: 'default', base: 0})];
	const state = applyAll(emptyConfigurationState, records);
	assert.deepEqual(state.history.map(entry => entry.verdict), ['accepted', 'accepted', 'conflict']);
	assert.equal(getAcceptedVersion(state, 'default'), 1);
});

test('versions never decrease, and a record that is applied twice changes nothing', () => {
	fc.assert(fc.property(logs, records => {
		let state = emptyConfigurationState;
		for (const record of records) {
			const before = listVersions(state);
			state = applyConfigurationRecord(state, record);
			for (const team of teams) {
				assert.ok(listVersions(state)[team]! >= before[team]!);
			}

			assert.equal(applyConfigurationRecord(state, record), state);
		}
	}), {seed: 7});
});

test('readers that exchange offers in any order and with any lag agree with the log', () => {
	// Zones lose the connection to the platform at different times and keep exchanging offers.
	// Once all have read the log, they must have the same state, whatever offers they received before.
	fc.assert(fc.property(logs, fc.array(fc.tuple(fc.nat(2), fc.nat(2), fc.nat(5)), {maxLength: 40}), (records, steps) => {
		const states = [emptyConfigurationState, emptyConfigurationState, emptyConfigurationState];
		for (const [reader, sender, count] of steps) {
			const before = listVersions(states[reader]!);
			const read = applyAll(states[reader]!, records.slice(states[reader]!.foldedTo, states[reader]!.foldedTo + count));
			states[reader] = applyOffer(read, makeOffer(states[sender]!), 0);
			for (const team of teams) {
				assert.ok(listVersions(states[reader])[team]! >= before[team]!);
			}
		}

		const expected = listVersions(applyAll(emptyConfigurationState, records));
		for (const state of states) {
			assert.deepEqual(listVersions(applyAll(state, records.slice(state.foldedTo))), expected);
		}
	}), {seed: 7, numRuns: 500});
});

test('a reader that starts after a trim gets the accepted version from a restatement or a peer', () => {
	// The log has trimmed the record of the accepted version. A new daemon reads the rest, where a record
	// may be based on one that was trimmed, so the daemon can't evaluate it alone.
	fc.assert(fc.property(logs, fc.nat(29), fc.boolean(), (records, trimmedCount, usesPeer) => {
		const known = applyAll(emptyConfigurationState, records);
		const expected = listVersions(known);
		const earliest = Math.min(trimmedCount, records.length);
		const at = earliest + Math.floor((records.length - earliest) / 2);
		const author = applyAll(emptyConfigurationState, records.slice(0, at));
		let reader = applyAll(applyTrim(emptyConfigurationState, earliest as LogOffset), records.slice(earliest));
		if (usesPeer) {
			reader = applyOffer(reader, makeOffer(author), 0);
		} else {
			const restatements = planRestatements({
				state: author, now: 1e9, ageMs: 0, memberIndex: 0,
			});
			reader = applyAll(reader, restatements.map((record, index) => ({
				offset: (records.length + index) as LogOffset, appendedAt: 0, record,
			})));
			reader = closeGap(reader);
		}

		for (const team of teams) {
			if (author.accepted.has(team)) {
				assert.equal(listVersions(reader)[team], expected[team]);
			}
		}
	}), {seed: 7, numRuns: 500});
});

test('a restatement never replaces a newer version', () => {
	const old = applyAll(emptyConfigurationState, [makeRecord(0, {team: 'default', base: -1})]);
	const [restatement] = planRestatements({
		state: old, now: 1e9, ageMs: 0, memberIndex: 0,
	});
	const state = applyAll(emptyConfigurationState, [
		makeRecord(0, {team: 'default', base: -1}),
		makeRecord(1, {team: 'default', base: 0}),
		{offset: 2 as LogOffset, appendedAt: 0, record: restatement},
	]);
	assert.equal(getAcceptedVersion(state, 'default'), 1);
});

test('the first member restates, and the others wait and see its restatement', () => {
	const state = applyAll(emptyConfigurationState, [makeRecord(0, {team: 'default', base: -1})]);
	const plan = (index: number, now: number) => planRestatements({
		state, now, ageMs: 1000, memberIndex: index,
	}).length;
	assert.deepEqual([plan(0, 999), plan(0, 1000), plan(1, 1000), plan(1, 40_000)], [0, 1, 0, 1]);
	const [record] = planRestatements({
		state, now: 1000, ageMs: 1000, memberIndex: 0,
	});
	const restated = applyAll(state, [{offset: 1 as LogOffset, appendedAt: 1000, record}]);
	assert.equal(planRestatements({
		state: restated, now: 40_000, ageMs: 1000, memberIndex: 1,
	}).length, 1);
	assert.equal(planRestatements({
		state: restated, now: 1900, ageMs: 1000, memberIndex: 1,
	}).length, 0);
});

test('unknown records on the stream are skipped', () => {
	fc.assert(fc.property(fc.anything(), unknownRecord => {
		const state = applyConfigurationRecord(emptyConfigurationState, {offset: 0 as LogOffset, appendedAt: 0, record: unknownRecord});
		assert.deepEqual({foldedTo: state.foldedTo, accepted: state.accepted.size}, {foldedTo: 1, accepted: 0});
	}), {seed: 7});
});

test('a reader that starts from one peer\'s offer keeps newer versions from another and agrees with the log', () => {
	// A new daemon gets the newest version with a probe before the peer that it asked for a start
	// replies with an older state. It must not return to an older version.
	fc.assert(fc.property(logs, fc.nat(30), fc.nat(30), (records, aheadCount, offerCount) => {
		const ahead = applyOffer(emptyConfigurationState, makeOffer(applyAll(emptyConfigurationState, records.slice(0, aheadCount))), 0);
		const offer = makeOffer(applyAll(emptyConfigurationState, records.slice(0, offerCount)));
		const started = initializeFromOffer(ahead, offer, 0);
		for (const team of teams) {
			assert.ok(getAcceptedVersion(started, team) >= getAcceptedVersion(ahead, team));
		}

		const expected = applyAll(emptyConfigurationState, records);
		assert.deepEqual(listVersions(applyAll(started, records.slice(started.foldedTo))), listVersions(expected));
	}), {seed: 7, numRuns: 500});
});
