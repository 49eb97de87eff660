import assert from 'node:assert/strict';
import test from 'node:test';
import fc from 'fast-check';
import {
	isUnusualPause, judgeWait, makeEndedWait, type OtherWaits, type WaitFinding,
} from './relative-waits.js';

const seed = 58;
const now = 100_000;

type TakenWait = {readonly sentAgoMs: number; readonly tookMs: number; readonly predictedMs: number; readonly waitingMs?: number};

const makeOther = ({sentAgoMs, tookMs, predictedMs, waitingMs = 0}: TakenWait): OtherWaits => {
	const since = now - sentAgoMs;
	return {ended: makeEndedWait({since, predictedMs}, since + tookMs), waitingMs};
};

const judge = (waitedMs: number, others: readonly OtherWaits[], {predictedMs = 30, usefulMs = 5000} = {}): WaitFinding => judgeWait({
	wait: {since: now - waitedMs, predictedMs}, others, usefulUntil: now + usefulMs, now,
});

test('a call is overtaken only by an answer that came meanwhile, clearly faster, and that it could still get in time', () => {
	const quick = makeOther({sentAgoMs: 500, tookMs: 30, predictedMs: 30});
	assert.equal(judge(1300, [quick]), 'overtaken');
	assert.equal(judge(1300, [quick], {usefulMs: 10}), 'alike');
	assert.equal(judge(1300, [makeOther({sentAgoMs: 5000, tookMs: 30, predictedMs: 30})]), 'unusual');
	assert.equal(judge(1300, [makeOther({sentAgoMs: 1300, tookMs: 700, predictedMs: 30})]), 'alike');
	assert.equal(judge(1300, [makeOther({
		sentAgoMs: 5000, tookMs: 30, predictedMs: 30, waitingMs: 700,
	})]), 'alike');
	assert.equal(judge(1300, []), 'alike');
	assert.equal(judge(1300, [{ended: undefined, waitingMs: 0}]), 'unknown');
});

test('a long prompt is not overtaken by short ones', () => {
	// Its prefill would begin anew elsewhere, and take as long.
	assert.equal(judge(1300, [makeOther({sentAgoMs: 500, tookMs: 30, predictedMs: 30})], {predictedMs: 1000}), 'alike');
});

test('a change of predictions does not let calls overtake each other that take as long', () => {
	assert.equal(judge(450, [makeOther({sentAgoMs: 720, tookMs: 700, predictedMs: 690})]), 'alike');
});

const arbitrarySlowness = fc.record({
	tookMs: fc.integer({min: 1, max: 20_000}),
	spread: fc.array(fc.double({min: 0.72, max: 1.4, noNaN: true}), {minLength: 2, maxLength: 12}),
	predictedMs: fc.integer({min: 1, max: 5000}),
	waitedShare: fc.double({min: 0.01, max: 1, noNaN: true}),
});

test('no call is given up while all backend servers answer as slowly, however slow that is', () => {
	fc.assert(fc.property(arbitrarySlowness, ({tookMs, spread, predictedMs, waitedShare}) => {
		const [ownSpread, ...otherSpreads] = spread;
		const others = otherSpreads.map(share => makeOther({
			sentAgoMs: tookMs * share, tookMs: tookMs * share, predictedMs, waitingMs: tookMs * share * waitedShare,
		}));
		const finding = judge(tookMs * ownSpread! * waitedShare, others, {predictedMs});
		assert.ok(finding !== 'overtaken' && finding !== 'unusual', finding);
	}), {seed, numRuns: 500});
});

test('a call is given up at one that does not answer as soon as others have answered twice as fast', () => {
	fc.assert(fc.property(arbitrarySlowness, ({tookMs, spread, predictedMs}) => {
		const others = spread.map(share => makeOther({sentAgoMs: tookMs * share, tookMs: tookMs * share, predictedMs}));
		const waitedMs = (2 * tookMs * Math.max(...spread)) + 60;
		const expectedMs = waitedMs * Math.max(1, 30 / predictedMs);
		assert.equal(judge(Math.max(waitedMs, 60), others, {predictedMs, usefulMs: expectedMs + 60}), 'overtaken');
	}), {seed, numRuns: 500});
});

test('a pause within a stream is unusual unless all others pause as long', () => {
	const pauses = [1500, 1400].map(tookMs => makeEndedWait({since: now - 5000, predictedMs: 30}, now - 5000 + tookMs));
	const wait = {since: now - 1300, predictedMs: 30};
	assert.equal(isUnusualPause(wait, pauses, now), false);
	assert.equal(isUnusualPause(wait, [...pauses, makeEndedWait({since: now - 5000, predictedMs: 30}, now - 4970)], now), true);
	assert.equal(isUnusualPause(wait, [undefined], now), true);
});
