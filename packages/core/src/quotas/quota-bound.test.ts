import assert from 'node:assert/strict';
import test from 'node:test';
import {makeRandom} from '../testing/make-random.js';
import {
	type DaemonEnd, type LimitSimulation, type SimulatedCall, simulateLimit,
} from '../testing/simulate-limit.js';
import {computeCeiling} from './compute-ceiling.js';
import {splitCost} from './split-cost.js';

const bounds = {quotaWindowMs: 8000, quotaOvershoot: 0.1, quotaSlack: 140_000};
const limit = {
	perSecond: 36_000, burst: 72_000, plainCost: 200, countsTokens: true,
};
const ceiling = computeCeiling(limit, bounds);
const seeds = [1, 2, 3, 4, 5, 6];

/** Returns the highest cost admitted within a window, as a part of the ceiling. */
const computeWorstWindow = (calls: readonly SimulatedCall[]): number => {
	const admitted = calls.filter(call => call.isAdmitted);
	let worst = 0;
	let sum = 0;
	let first = 0;
	for (const {at, cost} of admitted) {
		sum += cost;
		while (admitted[first]!.at < at - bounds.quotaWindowMs) {
			sum -= admitted[first]!.cost;
			first++;
		}

		worst = Math.max(worst, sum);
	}

	return worst / ceiling;
};

const simulate = (daemons: number, seed: number, more: Partial<LimitSimulation>): SimulatedCall[] => simulateLimit({
	daemons, limit, bounds, keepers: Math.min(daemons, daemons > 12 ? 6 : 12), maxDelayMs: 100, meanCost: 11_000, durationMs: 20_000, random: makeRandom(seed), getRequestedRate: () => limit.perSecond, ...more,
});

const listExceeded = (cases: ReadonlyArray<{readonly name: string; readonly calls: readonly SimulatedCall[]}>): string[] => cases
	.map(({name, calls}) => ({name, worst: computeWorstWindow(calls)}))
	.filter(({worst}) => worst > 1)
	.map(({name, worst}) => `${name}: ${worst.toFixed(3)} of the ceiling`);

test('no number of daemons grants more than the ceiling when an account jumps to many times its limit', () => {
	const cases = [2, 9, 68].flatMap(daemons => [3, 12, 24, 100].flatMap(times => seeds.map(seed => ({
		name: `${daemons} daemons, ${times} times, seed ${seed}`,
		calls: simulate(daemons, seed, {getRequestedRate: now => limit.perSecond * (now < 8000 ? 0.3 : times)}),
	}))));
	assert.deepEqual(listExceeded(cases), []);
});

const endThird: readonly DaemonEnd[] = [0, 1, 2].map(daemon => ({at: 12_000, daemon, downMs: 30_000}));
const restartInTurn: readonly DaemonEnd[] = Array.from({length: 9}, (_end, index) => ({at: 9000 + (index * 1000), daemon: index, downMs: 500}));

test('what daemons granted still counts after they have ended or restarted', () => {
	const cases = [{what: 'a third ends', ends: endThird}, {what: 'restarted in turn', ends: restartInTurn}].flatMap(({what, ends}) => [3, 6].flatMap(times => seeds.map(seed => ({
		name: `${what}, ${times} times, seed ${seed}`,
		calls: simulate(9, seed, {ends, meanCost: 4000, getRequestedRate: () => limit.perSecond * times}),
	}))));
	assert.deepEqual(listExceeded(cases), []);
});

const links = [{maxDelayMs: 700}, {maxDelayMs: 100, lossShare: 0.3}, {maxDelayMs: 1500, lossShare: 0.1}];

test('reports that are late or lost let no account have more than its limit', () => {
	for (const daemons of [2, 9, 12]) {
		for (const link of links) {
			const cases = [1.5, 24].flatMap(times => [1, 2].map(seed => ({
				name: `${daemons} daemons, delay ${link.maxDelayMs}, ${times} times, seed ${seed}`,
				calls: simulate(daemons, seed, {...link, getRequestedRate: now => limit.perSecond * (now < 5000 ? 0 : times)}),
			})));
			assert.deepEqual(listExceeded(cases), []);
		}
	}
});

test('at the largest size no jump gives an account more than its limit', () => {
	const cases = [1.5, 100].flatMap(times => [1, 2].map(seed => ({
		name: `870 daemons, ${times} times, seed ${seed}`,
		calls: simulate(870, seed, {keepers: 32, durationMs: 12_000, getRequestedRate: now => limit.perSecond * (now < 2000 ? 0 : times)}),
	})));
	assert.deepEqual(listExceeded(cases), []);
});

test('daemons that are cut off from each other, frozen or woken grant only their parts of a limit', () => {
	const cuts = [[0], [0, 1, 2], [0, 1, 2, 3, 4]].map(cutOff => ({what: `${cutOff.length} cut off`, more: {cuts: [{daemons: cutOff, from: 9000, until: 15_000}]}}));
	const freezes = [[8], [0, 4]].map(frozen => ({what: `${frozen.length} frozen`, more: {freezes: frozen.map(daemon => ({daemon, from: 9000, until: 13_000}))}}));
	const cases = [...cuts, ...freezes].flatMap(({what, more}) => [3, 12].flatMap(times => seeds.slice(0, 4).map(seed => ({
		name: `${what}, ${times} times, seed ${seed}`,
		calls: simulate(9, seed, {
			...more, meanCost: 4000, durationMs: 24_000, getRequestedRate: now => limit.perSecond * (now < 6000 ? 0.3 : times),
		}),
	}))));
	assert.deepEqual(listExceeded(cases), []);
});

/** Counts the refused calls of an account that stays below its limit. */
const countRefused = (daemons: number, more: Partial<LimitSimulation>): number => {
	const calls = seeds.flatMap(seed => simulate(daemons, seed, {
		meanCost: 2000, getRequestedRate: now => limit.perSecond * (now < 2000 ? 0 : 0.9), ...more,
	}));
	return calls.filter(({isAdmitted}) => !isAdmitted).length;
};

test('an account below its limit is refused nothing, however its callers are spread', () => {
	for (const daemons of [3, 9, 68]) {
		assert.equal(countRefused(daemons, {}), 0, `${daemons} daemons`);
		assert.equal(countRefused(daemons, {listUsed: () => [daemons - 1]}), 0, `one of ${daemons} daemons`);
	}

	assert.equal(countRefused(9, {listUsed: now => [now < 9000 ? 0 : 8]}), 0, 'callers that move');
});

test('an account below its limit is refused nothing while daemons restart', () => {
	for (const count of [1, 4, 9]) {
		const ends = Array.from({length: count}, (_end, daemon) => ({
			at: 10_000, daemon, downMs: 500, isPlanned: true,
		}));
		assert.equal(countRefused(9, {ends, listUsed: now => now < 10_000 || now > 12_000 ? [0, 1, 2, 3, 4, 5, 6, 7, 8] : [4, 5, 6, 7, 8]}), 0, `${count} of 9`);
	}
});

test('an account above its limit uses nearly all of it', () => {
	for (const [daemons, part] of [[3, 0.9], [9, 0.9], [12, 0.9], [68, 0.8]] as const) {
		for (const times of [1.5, 6]) {
			const admitted = seeds.map(seed => simulate(daemons, seed, {meanCost: 4000, durationMs: 30_000, getRequestedRate: () => limit.perSecond * times})
				.reduce((sum, {at, cost, isAdmitted}) => sum + (isAdmitted && at >= 14_000 ? cost : 0), 0) / 2);
			const least = part * Math.min(times * 8 * limit.perSecond, (8 * limit.perSecond) + limit.burst);
			const mean = admitted.reduce((sum, cost) => sum + cost, 0) / seeds.length;
			assert.ok(mean >= least, `${daemons} daemons, ${times} times: ${Math.round(mean)} of ${least}`);
		}
	}
});

test('a call that is too large for the part of each keeper is paid by several', () => {
	const large = {meanCost: 11_000, durationMs: 30_000, getRequestedRate: (now: number) => now < 2000 ? 0 : limit.perSecond * 0.9};
	const calls = seeds.flatMap(seed => simulate(9, seed, large));
	const refused = calls.filter(({isAdmitted}) => !isAdmitted);
	assert.ok(refused.length < calls.length / 200, `${refused.length} of ${calls.length}`);
	assert.deepEqual(splitCost(90, [50, 20, 40]), [45, 9, 36]);
	assert.equal(splitCost(100, [50, 20, 40]), undefined);
});
