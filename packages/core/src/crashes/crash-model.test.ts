import assert from 'node:assert/strict';
import test from 'node:test';
import {makeRandom} from '../testing/make-random.js';
import {type CrashOutcome, type CrashPlan, simulateCrashingParts} from '../testing/simulate-crashing-parts.js';

/** A popular part in all prompts, one in half of them, and one of hundreds. */
const makeSoundPrompt = (random: () => number): readonly string[] => ['all', ...(random() < 0.5 ? ['half'] : []), `rare-${Math.floor(random() * 300)}`];

const basePlan = {
	daemons: 9, backends: 12, zones: 3, crashingPerSecond: 5, crashingPrompts: [['all', 'bad', 'half']], crashShare: 1, soundPerSecond: 60, makeSoundPrompt, otherDeaths: [], lossShare: 0.02, beforeMs: 2400, duringMs: 12_000,
};

const runPlan = (seed: number, changes: Partial<CrashPlan>): CrashOutcome => simulateCrashingParts({...basePlan, random: makeRandom(seed), ...changes});

/** Requests with the part that may reach backend servers after the time in which they have to be stopped. */
const allowedLate = 3;

const crashingCases: ReadonlyArray<readonly [string, Partial<CrashPlan>]> = [
	['two daemons', {daemons: 2, backends: 4}],
	['nine daemons', {}],
	['nine daemons that lose a third of their reports', {lossShare: 0.33}],
	['60 daemons behind relays', {daemons: 60, backends: 60, soundPerSecond: 300}],
	['870 daemons behind relays', {
		daemons: 870, backends: 800, zones: 16, soundPerSecond: 1000, crashingPerSecond: 10, duringMs: 7000,
	}],
	['the part stands first', {crashingPrompts: [['bad', 'all']]}],
	['the part stands beside others that only crashing prompts have', {crashingPrompts: [['all', 'bad', 'beside']]}],
	['two parts at once', {crashingPrompts: [['all', 'bad'], ['bad-too', 'all']]}],
	['three parts at once', {crashingPrompts: [['all', 'bad'], ['bad-too', 'all'], ['third', 'half']]}],
	['one request in two', {crashingPerSecond: 60}],
	['one request in two hundred', {crashingPerSecond: 0.3, duringMs: 30_000}],
	['it crashes every second time', {crashShare: 0.5}],
	['six backend servers end of other causes meanwhile', {otherDeaths: [300, 900, 1500, 2100, 2700, 3300].map(at => ({at, count: 1}))}],
	['each request of the route has the part', {soundPerSecond: 0}],
	['nothing was ever answered before, and all backend servers end at once', {
		daemons: 3, backends: 3, beforeMs: 0, lossShare: 0.4, crashingPrompts: [['all', 'bad']], makeSoundPrompt: () => ['all'],
	}],
];

for (const [name, changes] of crashingCases) {
	test(`a part that crashes backend servers is kept from them: ${name}`, () => {
		const seeds = (changes.daemons ?? 0) > 100 ? 1 : 4;
		for (let seed = 1; seed <= seeds; seed++) {
			const {lateArrivals, refusedSoundCalls, soundCalls, crashes} = runPlan(seed, changes);
			assert.ok(lateArrivals <= allowedLate, `seed ${seed}: ${lateArrivals} late after ${crashes} crashes`);
			assert.ok(refusedSoundCalls <= 0.01 * soundCalls, `seed ${seed}: ${refusedSoundCalls} of ${soundCalls} sound calls refused`);
		}
	});
}

const soundCases: ReadonlyArray<readonly [string, Partial<CrashPlan>]> = [
	['a zone loses power', {otherDeaths: [{at: 0, count: 4}, {at: 4000, count: 4}]}],
	['a large zone loses power', {
		daemons: 60, backends: 180, soundPerSecond: 600, otherDeaths: [{at: 0, count: 60}],
	}],
	['they crash in series', {otherDeaths: Array.from({length: 10}, (_value, index) => ({at: index * 300, count: 1}))}],
	['they crash in series within a second', {otherDeaths: Array.from({length: 5}, (_value, index) => ({at: index * 180, count: 1}))}],
];

for (const [name, changes] of soundCases) {
	for (const share of [0, 0.05, 0.5, 1]) {
		test(`no sound part is convicted when backend servers end of other causes: ${name}, a part in ${share} of the prompts`, () => {
			for (let seed = 1; seed <= 5; seed++) {
				const {refusedSoundCalls, soundCalls} = runPlan(seed, {
					...changes, crashingPrompts: [], duringMs: 8000, makeSoundPrompt: random => [random() < share ? 'shared' : `rare-${Math.floor(random() * 300)}`, `rare-${Math.floor(random() * 30)}`],
				});
				assert.equal(refusedSoundCalls, 0, `seed ${seed}, of ${soundCalls}`);
			}
		});
	}
}
