import assert from 'node:assert/strict';
import test from 'node:test';
import fc from 'fast-check';
import {emptyEvidence, mergeEvidence} from './crash-evidence.js';
import {
	adoptEvidence, findVerdict, isUnproven, listVerdicts, makeCrashLedger, recordDeath, recordSurvival, refuteDeath, removeOldEvidence, type CrashLedger, type RequestTraits,
} from './crash-ledger.js';
import {planTrial} from './plan-trial.js';
import {adoptReportedCrashes, recordVerdicts, reportCrashes} from './reported-evidence.js';
import {type CrashDeath, type CrashEvidence} from './types.js';

const makeTraits = (request: number, partIds: readonly string[], account = 1): RequestTraits => ({digest: `digest-${request}`, account, partIds: [...partIds, `own-${request}`]});

/** Ends backend servers under requests with these parts, half a second apart. */
const endUnder = (ledger: CrashLedger, partIds: readonly string[], options: {readonly from: number; readonly count: number; readonly account?: number; readonly at?: number}): void => {
	for (let index = 0; index < options.count; index++) {
		const number = options.from + index;
		recordDeath(ledger, makeTraits(number, partIds, options.account), {
			incarnation: number, at: (options.at ?? 0) + (500 * number), request: number, hasBegun: true,
		}, 0);
	}
};

const isRefused = (ledger: CrashLedger, partIds: readonly string[], account = 1): boolean => findVerdict(ledger, makeTraits(999, partIds, account)) !== undefined;

const deathArbitrary: fc.Arbitrary<CrashDeath> = fc.record({
	incarnation: fc.integer({min: 1, max: 40}), at: fc.integer({min: 0, max: 60_000}), account: fc.integer({min: 1, max: 3}), request: fc.integer({min: 1, max: 9}), hasBegun: fc.boolean(),
});

const evidenceArbitrary: fc.Arbitrary<CrashEvidence> = fc.record({
	deaths: fc.array(deathArbitrary, {maxLength: 30}), survivals: fc.array(fc.tuple(fc.integer({min: 0, max: 40}), fc.integer({min: 0, max: 20})), {maxLength: 60}),
}).map(({deaths, survivals}) => {
	let evidence = emptyEvidence;
	for (const death of deaths) {
		evidence = mergeEvidence(evidence, {deaths: new Map([[death.incarnation, death]]), survivals: new Map()});
	}

	for (const [slot, hash] of survivals) {
		evidence = mergeEvidence(evidence, {deaths: new Map(), survivals: new Map([[slot, [hash]]])});
	}

	return evidence;
});

test('evidence that arrives twice, late, by another way or in another order is the same', () => {
	fc.assert(fc.property(evidenceArbitrary, evidenceArbitrary, evidenceArbitrary, (first, second, third) => {
		const merged = mergeEvidence(mergeEvidence(first, second), third);
		assert.deepEqual(mergeEvidence(merged, second), merged);
		assert.deepEqual(mergeEvidence(second, first), mergeEvidence(first, second));
		assert.deepEqual(mergeEvidence(first, mergeEvidence(second, third)), merged);
	}), {seed: 46, numRuns: 300});
});

test('three backend servers under requests that share a part convict it, and two do not', () => {
	const ledger = makeCrashLedger();
	endUnder(ledger, ['bad'], {from: 1, count: 2});
	assert.equal(isRefused(ledger, ['bad']), false);
	endUnder(ledger, ['bad'], {from: 3, count: 1});
	assert.equal(isRefused(ledger, ['x', 'bad']), true);
	assert.equal(findVerdict(ledger, {digest: 'other', account: 1, partIds: ['x', 'bad']}), undefined, 'the last part is the request\'s own');
});

test('one request that ends three backend servers does not convict the parts that it shares with others', () => {
	const ledger = makeCrashLedger();
	for (let incarnation = 1; incarnation <= 3; incarnation++) {
		recordDeath(ledger, makeTraits(1, ['shared']), {
			incarnation, at: incarnation * 500, request: 1, hasBegun: true,
		}, 0);
	}

	assert.equal(isRefused(ledger, ['shared']), false);
	assert.equal(findVerdict(ledger, makeTraits(1, ['shared']))?.kind, 'request');
});

test('parts that come together are refused together, until one of them shows which it was', () => {
	const ledger = makeCrashLedger();
	endUnder(ledger, ['bad', 'beside'], {from: 1, count: 3});
	assert.deepEqual([['bad', 'beside'], ['bad'], ['beside']].map(parts => isRefused(ledger, parts)), [true, false, false]);
	endUnder(ledger, ['bad'], {from: 4, count: 1});
	assert.deepEqual([['bad', 'beside'], ['bad'], ['beside']].map(parts => isRefused(ledger, parts)), [true, true, false]);
});

test('what one client account says of its prompts convicts no other account', () => {
	const ledger = makeCrashLedger();
	endUnder(ledger, ['named'], {from: 1, count: 5, account: 7});
	assert.deepEqual([isRefused(ledger, ['named'], 7), isRefused(ledger, ['named'], 8)], [true, false]);
	endUnder(ledger, ['named'], {from: 6, count: 1, account: 8});
	assert.equal(isRefused(ledger, ['named'], 9), true);
});

test('a sound request that is on three backend servers that end is not convicted once their cause is known', () => {
	const ledger = makeCrashLedger();
	endUnder(ledger, ['rare'], {from: 1, count: 3});
	assert.equal(isRefused(ledger, ['rare']), true);
	endUnder(ledger, ['bad'], {from: 1, count: 5});
	assert.deepEqual([isRefused(ledger, ['rare']), isRefused(ledger, ['bad'])], [false, true]);
});

test('answers between the deaths clear a part, and a death that another daemon refutes does not count', () => {
	const ledger = makeCrashLedger();
	for (let number = 1; number <= 6; number++) {
		endUnder(ledger, ['popular'], {from: number, count: 1});
		for (let answer = 0; answer < 4; answer++) {
			recordSurvival(ledger, makeTraits(100 + answer, ['popular']), {answer: (10 * number) + answer, at: (number * 500) + 300}, 0);
		}
	}

	assert.equal(isRefused(ledger, ['popular']), false);
	endUnder(ledger, ['cut-off'], {from: 11, count: 3});
	refuteDeath(ledger, 12, 6100, 0);
	assert.equal(isRefused(ledger, ['cut-off']), false);
	endUnder(ledger, ['cut-off'], {from: 12, count: 1, at: 1000});
	assert.equal(isRefused(ledger, ['cut-off']), true, 'it has ended after it was alive');
});

test('a sound part that was on each server that ended is served again after some trials, and one that ends the next is tried ever less', () => {
	const ledger = makeCrashLedger();
	endUnder(ledger, ['shared'], {from: 1, count: 3});
	const [verdict] = listVerdicts(ledger);
	assert.equal(planTrial(verdict!), 1500 + 4000);
	for (let answer = 0; answer < 4; answer++) {
		recordSurvival(ledger, makeTraits(10 + answer, ['shared']), {answer, at: 5500 + (500 * answer)}, 0);
		removeOldEvidence(ledger, 6000);
		assert.equal(isRefused(ledger, ['shared']), answer < 3);
	}

	endUnder(ledger, ['bad'], {from: 21, count: 3});
	const trialDelays = Array.from({length: 6}, (_value, index) => {
		endUnder(ledger, ['bad'], {from: 24 + index, count: 1});
		const worst = listVerdicts(ledger).find(({keys}) => keys.includes('bad'))!;
		return planTrial(worst) - worst.deaths.at(-1)!.at;
	});
	assert.deepEqual(trialDelays, [8000, 60_000, 600_000, 3_600_000, 6 * 3_600_000, 6 * 3_600_000]);
});

test('a flood of new parts evicts no verdict, and the verdict outlives an hour', () => {
	const ledger = makeCrashLedger();
	endUnder(ledger, ['bad'], {from: 1, count: 3});
	for (let number = 0; number < 600; number++) {
		recordSurvival(ledger, makeTraits(number, Array.from({length: 20}, (_value, index) => `new-${number}-${index}`)), {answer: number, at: 1000}, 0);
		endUnder(ledger, [`suspected-${number}`], {from: 1000 + number, count: 1});
	}

	removeOldEvidence(ledger, 2 * 3_600_000);
	assert.equal(isRefused(ledger, ['bad']), true);
	assert.ok(ledger.part.suspected.size + ledger.part.sound.size <= 4096 + 256);
	removeOldEvidence(ledger, 13 * 3_600_000);
	assert.equal(isRefused(ledger, ['bad']), false);
});

test('a daemon that starts learns the verdicts from the record, and from the first report that repeats them', () => {
	const ledger = makeCrashLedger();
	endUnder(ledger, ['bad'], {from: 1, count: 7});
	const [fromRecord, fromReport, fromChanges] = [makeCrashLedger(), makeCrashLedger(), makeCrashLedger()];
	adoptReportedCrashes(fromRecord, {entries: recordVerdicts(ledger), refuted: []}, 0);
	adoptReportedCrashes(fromReport, reportCrashes(ledger, {now: 60_000, hasVerdicts: true}), 0);
	adoptReportedCrashes(fromChanges, reportCrashes(ledger, {now: 60_000, hasVerdicts: false}), 0);
	assert.deepEqual([fromRecord, fromReport, fromChanges].map(known => isRefused(known, ['bad'])), [true, true, false]);
});

test('what an operator has cleared is served', () => {
	const ledger = makeCrashLedger();
	endUnder(ledger, ['bad'], {from: 1, count: 3});
	ledger.cleared = new Set(['bad']);
	ledger.verdicts = undefined;
	assert.deepEqual([isRefused(ledger, ['bad']), listVerdicts(ledger).length], [false, 0]);
});

test('a report of many suspected parts stays below the size of a datagram', () => {
	const ledger = makeCrashLedger();
	for (let part = 0; part < 60; part++) {
		endUnder(ledger, [`part-with-a-long-id-${part}`], {from: 1 + (20 * part), count: 12, at: 1_796_000_000_000});
	}

	assert.ok(JSON.stringify(reportCrashes(ledger, {now: 0, hasVerdicts: true})).length < 12_000);
	assert.ok(JSON.stringify(reportCrashes(ledger, {now: 0, hasVerdicts: false})).length < 4000);
});

test('a part counts as unproven until some answers on it have survived', () => {
	const ledger = makeCrashLedger();
	const evidence = {deaths: new Map(), survivals: new Map([[1, [1, 2, 3]]])};
	adoptEvidence(ledger, {kind: 'part', key: 'known', evidence}, 0);
	assert.equal(isUnproven(ledger, makeTraits(1, ['known'])), true);
	recordSurvival(ledger, makeTraits(2, ['known']), {answer: 4, at: 10_000}, 0);
	assert.deepEqual([isUnproven(ledger, makeTraits(3, ['known'])), isUnproven(ledger, makeTraits(4, []))], [false, false]);
});
