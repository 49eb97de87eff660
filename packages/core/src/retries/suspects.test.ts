import assert from 'node:assert/strict';
import test from 'node:test';
import fc from 'fast-check';
import {
	forgetSuspects, isPastDeath, mergeSuspects, recordDeath, type Suspect, type SuspectState,
} from './suspects.js';

const empty: SuspectState = new Map();

type Death = {readonly backendId: string; readonly tokens?: number; readonly wasAnnounced?: boolean; readonly zoneDeaths?: number};

const die = (state: SuspectState, {backendId, tokens = 0, wasAnnounced = false, zoneDeaths = 1}: Death): SuspectState => recordDeath({
	state, backendId, inFlight: [{fingerprint: 'f', tokens}], zoneDeaths, wasAnnounced, now: 0,
});

const cases: ReadonlyArray<{readonly name: string; readonly deaths: readonly Death[]; readonly isConvicted: boolean | undefined}> = [
	{name: 'one death makes a suspect', deaths: [{backendId: 'a'}], isConvicted: false},
	{name: 'the same death told twice is one', deaths: [{backendId: 'a'}, {backendId: 'a'}], isConvicted: false},
	{name: 'a second backend server convicts', deaths: [{backendId: 'a'}, {backendId: 'b'}], isConvicted: true},
	{name: 'an announced end says nothing', deaths: [{backendId: 'a', wasAnnounced: true}], isConvicted: undefined},
	{name: 'a zone that goes at once says nothing', deaths: [{backendId: 'a', zoneDeaths: 3}], isConvicted: undefined},
];

for (const {name, deaths, isConvicted} of cases) {
	test(name, () => {
		let state = empty;
		for (const death of deaths) {
			state = die(state, death);
		}

		assert.equal(state.get('f')?.isConvicted, isConvicted);
	});
}

test('a request that ends engines late in its answer is not cleared by the beginning of it', () => {
	// The answer was at its hundredth token when the engine died. The caller sends the question
	// again, and its first tokens come without harm; cleared by those, it would end a third
	// engine at the hundredth, and then a fourth.
	const state = die(empty, {backendId: 'a', tokens: 100});
	const suspect = state.get('f');
	assert.deepEqual([8, 100, 107, 108].map(tokens => isPastDeath(suspect, tokens)), [false, false, false, true]);
	assert.equal(isPastDeath(undefined, 8), true);
});

test('daemons that hear of deaths in any order come to the same verdict', () => {
	const suspect = fc.record({
		fingerprint: fc.constantFrom('f', 'g'),
		deaths: fc.uniqueArray(fc.constantFrom('a', 'b', 'c'), {minLength: 1}),
		isConvicted: fc.constant(false),
		tokens: fc.nat(50),
		forgetAt: fc.nat(50),
	});
	const sort = (state: SuspectState): Suspect[] => [...state.values()].toSorted((left, right) => left.fingerprint.localeCompare(right.fingerprint));
	fc.assert(fc.property(fc.array(suspect, {maxLength: 6}), fc.nat(), (news, turn) => {
		const cut = news.length === 0 ? 0 : turn % news.length;
		const turned = [...news.slice(cut), ...news.slice(0, cut)];
		const once = mergeSuspects(empty, news);
		assert.deepEqual(sort(mergeSuspects(empty, turned)), sort(once));
		assert.deepEqual(sort(mergeSuspects(once, news)), sort(once));
	}), {seed: 7});
});

test('a suspect is forgotten at its stored time', () => {
	const state = die(empty, {backendId: 'a'});
	const {forgetAt} = state.get('f')!;
	assert.equal(forgetSuspects(state, forgetAt - 1).size, 1);
	assert.equal(forgetSuspects(state, forgetAt).size, 0);
});
