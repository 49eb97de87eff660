import assert from 'node:assert/strict';
import test from 'node:test';
import fc from 'fast-check';
import {
	expireSuspects, hasPassedCrashPosition, mergeSuspects, markSuspects, type Suspect, type SuspectState,
} from './suspects.js';

const empty: SuspectState = new Map();

type Crash = {readonly backendId: string; readonly tokens?: number; readonly wasAnnounced?: boolean; readonly zoneCrashes?: number};

const markTestSuspects = (state: SuspectState, {backendId, tokens = 0, wasAnnounced = false, zoneCrashes = 1}: Crash): SuspectState => markSuspects({
	state, backendId, inFlight: [{fingerprint: 'f', tokens}], zoneCrashes, wasAnnounced, now: 0,
});

const cases: ReadonlyArray<{readonly name: string; readonly deaths: readonly Crash[]; readonly isConvicted: boolean | undefined}> = [
	{name: 'one crash makes a request a suspect but does not convict it', deaths: [{backendId: 'a'}], isConvicted: false},
	{name: 'a crash that is reported twice counts once', deaths: [{backendId: 'a'}, {backendId: 'a'}], isConvicted: false},
	{name: 'the crash of a second backend server convicts', deaths: [{backendId: 'a'}, {backendId: 'b'}], isConvicted: true},
	{name: 'an announced shutdown is ignored', deaths: [{backendId: 'a', wasAnnounced: true}], isConvicted: undefined},
	{name: 'a mass reclaim in one zone is ignored', deaths: [{backendId: 'a', zoneCrashes: 3}], isConvicted: undefined},
];

for (const {name, deaths, isConvicted} of cases) {
	test(name, () => {
		let state = empty;
		for (const crash of deaths) {
			state = markTestSuspects(state, crash);
		}

		assert.equal(state.get('f')?.isConvicted, isConvicted);
	});
}

test('a request that crashes engines late in its answer is not cleared by the first tokens', () => {
	// The engine crashed at token 100. If the first tokens of a resend cleared the request, it
	// would crash further engines at the same token.
	const state = markTestSuspects(empty, {backendId: 'a', tokens: 100});
	const suspect = state.get('f');
	assert.deepEqual([8, 100, 107, 108].map(tokens => hasPassedCrashPosition(suspect, tokens)), [false, false, false, true]);
	assert.equal(hasPassedCrashPosition(undefined, 8), true);
});

test('daemons that receive crash reports in any order reach the same state', () => {
	const suspect = fc.record({
		fingerprint: fc.constantFrom('f', 'g'),
		deaths: fc.uniqueArray(fc.constantFrom('a', 'b', 'c'), {minLength: 1}),
		isConvicted: fc.constant(false),
		tokens: fc.nat(50),
		forgetAt: fc.nat(50),
	});
	const sort = (state: SuspectState): Suspect[] => [...state.values()].toSorted((left, right) => left.fingerprint.localeCompare(right.fingerprint));
	fc.assert(fc.property(fc.array(suspect, {maxLength: 6}), fc.nat(), (updates, rotation) => {
		const cut = updates.length === 0 ? 0 : rotation % updates.length;
		const rotated = [...updates.slice(cut), ...updates.slice(0, cut)];
		const once = mergeSuspects(empty, updates);
		assert.deepEqual(sort(mergeSuspects(empty, rotated)), sort(once));
		assert.deepEqual(sort(mergeSuspects(once, updates)), sort(once));
	}), {seed: 7});
});

test('a suspect expires at its stored time', () => {
	const state = markTestSuspects(empty, {backendId: 'a'});
	const {forgetAt} = state.get('f')!;
	assert.equal(expireSuspects(state, forgetAt - 1).size, 1);
	assert.equal(expireSuspects(state, forgetAt).size, 0);
});
