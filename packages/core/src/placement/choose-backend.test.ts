import assert from 'node:assert/strict';
import test from 'node:test';
import fc from 'fast-check';
import {
	chooseBackend, countTokensAhead, type PlacementRequest, predictWait,
} from './choose-backend.js';
import {type BackendView} from './types.js';

const idle = {running: 0, pendingTokens: [0, 0, 0]};

const makeView = (id: string, changes: Partial<BackendView> = {}): BackendView => ({
	id, isInOtherZone: false, places: 64, isReclaimable: true, latencyModel: {tokensPerMs: 100, fixedMs: 50}, plainMs: 25, own: idle, others: idle, failureRate: 0, isAtConnectionLimit: false, cachedTokens: 0, spreadPenaltyMs: 0, limitPreferenceMs: 0, silentMs: 0, ...changes,
});

const streamCall: PlacementRequest = {
	rank: 0, promptTokens: 8000, isStream: true, isPinned: false,
};

const choose = (views: readonly BackendView[], call: PlacementRequest): string | undefined => chooseBackend(views, call, () => 0)?.id;

test('keeps calls in their own zone while it has capacity, so that a network partition of the zone does not end them', () => {
	const views = [makeView('far', {isInOtherZone: true}), makeView('near')];
	assert.equal(choose(views, streamCall), 'near');
	assert.equal(choose(views, {...streamCall, isStream: false}), 'near');
	const busy = {...idle, running: 3, pendingTokens: [1000, 0, 0]};
	assert.equal(choose([views[0]!, makeView('near', {own: busy})], streamCall), 'near');
});

test('keeps calls off a backend server whose machine is slow at the moment', () => {
	// Work takes two and a half times as long there: a short call is late, and a prompt holds up those behind it.
	const views = [
		makeView('slow', {currentSlowness: {slowness: 2.5, remainingMs: 600}}),
		makeView('usual'),
		makeView('fast', {isInOtherZone: true, currentSlowness: {slowness: 0.5, remainingMs: 600}}),
	];
	for (const isStream of [true, false]) {
		assert.equal(choose(views.slice(0, 2), {...streamCall, isStream}), 'usual');
		assert.ok(predictWait(views[0]!, {...streamCall, isStream}) > 2 * predictWait(views[1]!, {...streamCall, isStream}));
	}

	assert.equal(choose(views, streamCall), 'fast');
});

test('uses another zone if the own zone is busy or if the other zone has the prompt cached', () => {
	const busy = {...idle, running: 10, pendingTokens: [20_000, 0, 0]};
	assert.equal(choose([makeView('far', {isInOtherZone: true}), makeView('near', {own: busy})], streamCall), 'far');
	assert.equal(choose([makeView('far', {isInOtherZone: true, cachedTokens: 5000}), makeView('near')], streamCall), 'far');
});

test('a call waits for its cached prompt as long as other calls would lose engine time', () => {
	const busy = {...idle, pendingTokens: [20_000, 0, 0]};
	const holder = makeView('holder', {own: busy, cachedTokens: 5000, lostEngineMs: 0});
	assert.equal(choose([holder, makeView('free', {lostEngineMs: 300})], {...streamCall, slackMs: 1000}), 'holder');
	assert.equal(choose([holder, makeView('free', {lostEngineMs: 100})], {...streamCall, slackMs: 1000}), 'free');
	assert.equal(choose([holder, makeView('free', {lostEngineMs: 300})], {...streamCall, slackMs: 150}), 'free');
	assert.equal(choose([holder, makeView('free', {lostEngineMs: 300})], streamCall), 'free');
});

test('no call is late at the server that has its prompt cached if it is on time at the best other one', () => {
	// Guards against savings that make the caller late: the wait is longer than without the knowledge only within the objective.
	const arbitraryViews = fc.array(fc.record({pending: fc.nat(90_000), cached: fc.constantFrom(0, 5000), speed: fc.integer({min: 30, max: 150})}), {minLength: 1, maxLength: 8});
	fc.assert(fc.property(arbitraryViews, fc.integer({min: 100, max: 2000}), (engines, slackMs) => {
		const views = engines.map(({pending, cached, speed}, index) => makeView(String(index), {
			own: {...idle, pendingTokens: [pending, 0, 0]}, latencyModel: {tokensPerMs: speed, fixedMs: 50}, cachedTokens: cached, lostEngineMs: 12 * (5000 - cached) / speed,
		}));
		const call = {...streamCall, slackMs};
		const chosen = chooseBackend(views, call, () => 0)!;
		const best = Math.min(...views.map(view => predictWait(view, call)));
		assert.ok(chosen.predictedMs <= Math.max(best, slackMs) + 1e-6);
	}), {seed: 4, numRuns: 500});
});

test('a call without shared parts is placed by the wait and the penalties alone', () => {
	const views = [makeView('slow', {own: {...idle, pendingTokens: [9000, 0, 0]}}), makeView('free')];
	assert.equal(choose(views, {...streamCall, slackMs: 1000}), choose(views, streamCall));
	assert.equal(chooseBackend(views, {...streamCall, slackMs: 1000}, () => 0)?.cost, chooseBackend(views, streamCall, () => 0)?.cost);
});

test('the tokens ahead of a call leave out those of calls that yield to it', () => {
	// Counted in full, a queue of yielding calls makes an engine look as many times faster as the queue is longer, and the fleet shrinks under load.
	assert.equal(countTokensAhead([1000, 2000, 90_000], {rank: 1, yieldingRank: 2}), 5000);
	assert.equal(countTokensAhead([1000, 2000, 90_000], {rank: 2, yieldingRank: 2}), 93_000);
	assert.equal(countTokensAhead([1000, 2000, 90_000], {rank: 1, yieldingRank: undefined}), 93_000);
});
