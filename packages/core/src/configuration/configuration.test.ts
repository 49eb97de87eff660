import assert from 'node:assert/strict';
import test from 'node:test';
import {type LogRecord} from '@shallotpass/common/log-service.js';
import {type LogOffset} from '@shallotpass/common/types.js';
import fc from 'fast-check';
import {
	emptyConfigurationState, foldConfigurationRecord, getAcceptedVersion, noteTrim, settleGap,
} from './fold-configuration.js';
import {planRestatements} from './plan-restatement.js';
import {makeOffer, startFromOffer, takeOffer} from './take-offer.js';
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

const foldAll = (state: ConfigurationState, records: readonly LogRecord[]): ConfigurationState => {
	let next = state;
	for (const record of records) {
		next = foldConfigurationRecord(next, record);
	}

	return next;
};

const listVersions = (state: ConfigurationState): Record<string, number> =>
	Object.fromEntries(teams.map(team => [team, getAcceptedVersion(state, team)]));

/** Logs as racing operators write them: bases are versions that stood some time, or are made up. */
const logs = fc.array(fc.record({team: fc.constantFrom(...teams), lag: fc.nat(3), isWild: fc.boolean()}), {maxLength: 30}).map(steps => {
	const records: LogRecord[] = [];
	const versions: Record<string, number[]> = {default: [-1], other: [-1]};
	let state = emptyConfigurationState;
	for (const [offset, {team, lag, isWild}] of steps.entries()) {
		const known = versions[team]!;
		const base = isWild ? offset - lag : known[Math.max(0, known.length - 1 - (lag === 3 ? 1 : 0))]!;
		const record = makeRecord(offset, {team, base});
		records.push(record);
		state = foldConfigurationRecord(state, record);
		known.push(getAcceptedVersion(state, team));
	}

	return records;
});

test('of two operators who worked from the same version one wins, the same on every reader', () => {
	const records = [makeRecord(0, {team: 'default', base: -1}), makeRecord(1, {team: 'default', base: 0}), makeRecord(2, {team: 'default', base: 0})];
	const state = foldAll(emptyConfigurationState, records);
	assert.deepEqual(state.history.map(entry => entry.verdict), ['accepted', 'accepted', 'conflict']);
	assert.equal(getAcceptedVersion(state, 'default'), 1);
});

test('versions only rise, and records read twice change nothing', () => {
	fc.assert(fc.property(logs, records => {
		let state = emptyConfigurationState;
		for (const record of records) {
			const before = listVersions(state);
			state = foldConfigurationRecord(state, record);
			for (const team of teams) {
				assert.ok(listVersions(state)[team]! >= before[team]!);
			}

			assert.equal(foldConfigurationRecord(state, record), state);
		}
	}), {seed: 7});
});

test('readers that exchange offers in any order and at any lag agree with the log', () => {
	// Zones lose the platform at different times and keep telling each other what they know.
	// Once each has read the log, all must hold the same, whatever was passed around before.
	fc.assert(fc.property(logs, fc.array(fc.tuple(fc.nat(2), fc.nat(2), fc.nat(5)), {maxLength: 40}), (records, steps) => {
		const states = [emptyConfigurationState, emptyConfigurationState, emptyConfigurationState];
		for (const [reader, teller, count] of steps) {
			const before = listVersions(states[reader]!);
			const read = foldAll(states[reader]!, records.slice(states[reader]!.foldedTo, states[reader]!.foldedTo + count));
			states[reader] = takeOffer(read, makeOffer(states[teller]!), 0);
			for (const team of teams) {
				assert.ok(listVersions(states[reader])[team]! >= before[team]!);
			}
		}

		const truth = listVersions(foldAll(emptyConfigurationState, records));
		for (const state of states) {
			assert.deepEqual(listVersions(foldAll(state, records.slice(state.foldedTo))), truth);
		}
	}), {seed: 7, numRuns: 500});
});

test('a reader that starts after a trim comes to the truth by a restatement, by a peer, or alone', () => {
	// The log has forgotten the record that stands. A new instance reads from what is left; a
	// record there may be based on one that it cannot see, so it may not judge by itself.
	fc.assert(fc.property(logs, fc.nat(29), fc.boolean(), (records, cut, isByPeer) => {
		const known = foldAll(emptyConfigurationState, records);
		const truth = listVersions(known);
		const earliest = Math.min(cut, records.length);
		const at = earliest + Math.floor((records.length - earliest) / 2);
		const restating = foldAll(emptyConfigurationState, records.slice(0, at));
		let reader = foldAll(noteTrim(emptyConfigurationState, earliest as LogOffset), records.slice(earliest));
		if (isByPeer) {
			reader = takeOffer(reader, makeOffer(restating), 0);
		} else {
			const restatements = planRestatements({
				state: restating, now: 1e9, ageMs: 0, place: 0,
			});
			reader = foldAll(reader, restatements.map((record, index) => ({
				offset: (records.length + index) as LogOffset, appendedAt: 0, record,
			})));
			reader = settleGap(reader);
		}

		for (const team of teams) {
			if (restating.accepted.has(team)) {
				assert.equal(listVersions(reader)[team], truth[team]);
			}
		}
	}), {seed: 7, numRuns: 500});
});

test('a restatement never overtakes a newer version', () => {
	const old = foldAll(emptyConfigurationState, [makeRecord(0, {team: 'default', base: -1})]);
	const [restatement] = planRestatements({
		state: old, now: 1e9, ageMs: 0, place: 0,
	});
	const state = foldAll(emptyConfigurationState, [
		makeRecord(0, {team: 'default', base: -1}),
		makeRecord(1, {team: 'default', base: 0}),
		{offset: 2 as LogOffset, appendedAt: 0, record: restatement},
	]);
	assert.equal(getAcceptedVersion(state, 'default'), 1);
});

test('one member restates first and the others see it and hold back', () => {
	const state = foldAll(emptyConfigurationState, [makeRecord(0, {team: 'default', base: -1})]);
	const plan = (place: number, now: number) => planRestatements({
		state, now, ageMs: 1000, place,
	}).length;
	assert.deepEqual([plan(0, 999), plan(0, 1000), plan(1, 1000), plan(1, 40_000)], [0, 1, 0, 1]);
	const [record] = planRestatements({
		state, now: 1000, ageMs: 1000, place: 0,
	});
	const seen = foldAll(state, [{offset: 1 as LogOffset, appendedAt: 1000, record}]);
	assert.equal(planRestatements({
		state: seen, now: 40_000, ageMs: 1000, place: 1,
	}).length, 1);
	assert.equal(planRestatements({
		state: seen, now: 1900, ageMs: 1000, place: 1,
	}).length, 0);
});

test('what is no record of ours on the stream is passed over', () => {
	fc.assert(fc.property(fc.anything(), noise => {
		const state = foldConfigurationRecord(emptyConfigurationState, {offset: 0 as LogOffset, appendedAt: 0, record: noise});
		assert.deepEqual({foldedTo: state.foldedTo, accepted: state.accepted.size}, {foldedTo: 1, accepted: 0});
	}), {seed: 7});
});

test('a reader that starts from one peer\'s offer after hearing from another agrees with one that read everything', () => {
	// A new instance hears of the newest version by a probe before the peer that it asked for a
	// start answers with what that one knew a moment ago. It must not go back.
	fc.assert(fc.property(logs, fc.nat(30), fc.nat(30), (records, heardCut, toldCut) => {
		const heard = takeOffer(emptyConfigurationState, makeOffer(foldAll(emptyConfigurationState, records.slice(0, heardCut))), 0);
		const told = makeOffer(foldAll(emptyConfigurationState, records.slice(0, toldCut)));
		const started = startFromOffer(heard, told, 0);
		for (const team of teams) {
			assert.ok(getAcceptedVersion(started, team) >= getAcceptedVersion(heard, team));
		}

		const truth = foldAll(emptyConfigurationState, records);
		assert.deepEqual(listVersions(foldAll(started, records.slice(started.foldedTo))), listVersions(truth));
	}), {seed: 7, numRuns: 500});
});
