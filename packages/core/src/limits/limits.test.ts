import assert from 'node:assert/strict';
import test from 'node:test';
import fc from 'fast-check';
import {hashText} from '../routing/rank-by-rendezvous.js';
import {computeCost} from '../placement/choose-backend.js';
import {defaultLatencyModel} from '../placement/engine-latency.js';
import {type BackendView} from '../placement/types.js';
import {findLimitViolation, type LimitedCall, type StatedSpan} from '../testing/find-limit-violation.js';
import {makeRandom} from '../testing/make-random.js';
import {
	type BackendLimitSimulation, type DaemonFault, type LimitStep, simulateBackendLimit,
} from '../testing/simulate-backend-limit.js';
import {
	applyStatement, computeConfirmationPreference, computeNeededLevel, computeRefill, isLimited, refillLimit, takeCall,
} from './backend-limit.js';
import {
	collectParticipants, followParticipants, maxParticipants, mergeParticipants, type ReportedParticipant, updateLevel,
} from './participants.js';
import {
	computeHolding, computeStableHolding, noHolding, planSharing,
} from './plan-sharing.js';

const backend = {incarnationHash: hashText('i-1/1/a'), availabilityZone: 'zone-0'};

/** Stands for the random numbers of a limit's end. */
const random = (): number => 0;

const makeParticipants = (count: number, random: () => number): ReportedParticipant[] =>
	Array.from({length: count}, (_value, index): ReportedParticipant => [`daemon-${index}`, `zone-${index % 3}`, Math.floor(random() * 4) - 1]);

test('the shares of all daemons sum to 1, with no more holders than the limit has calls for', () => {
	fc.assert(fc.property(fc.integer({min: 1, max: 64}), fc.double({min: 0, max: 300, noNaN: true}), fc.nat(), (count, perSecond, seed) => {
		const participants = collectParticipants(makeParticipants(count, makeRandom(seed)), [], 0);
		const {maxHolders, burst, ratePerSecond} = planSharing(perSecond);
		const holdings = participants.map(({daemon}) => computeHolding(backend, participants, daemon, maxHolders));
		const held = holdings.filter(({share}) => share > 0);
		assert.ok(Math.abs(held.reduce((sum, {share}) => sum + share, 0) - 1) < 1e-9);
		assert.equal(held.length, Math.min(count, maxHolders));
		assert.equal(held.filter(({position}) => position === 0).length, 1);
		// What all holders may send in any 4 s: their rates, their full buckets, and one call each that is owed for a started run.
		const limit = applyStatement(undefined, {perSecond, statedAt: 0}, {now: 0, random});
		const full = held.reduce((sum, holding) => sum + computeRefill(limit, {holding, daemons: count, now: 0}).most, 0);
		assert.ok(full <= burst + 1e-9);
		assert.ok((4 * ratePerSecond) + full + held.length <= (6 * perSecond) + 5 + 1e-9, `limit ${perSecond}`);
	}), {seed: 1, numRuns: 300});
});

test('the shares in use sum to at most 1 while daemons know different lists', () => {
	fc.assert(fc.property(fc.integer({min: 2, max: 12}), fc.double({min: 0, max: 50, noNaN: true}), fc.nat(), (count, perSecond, seed) => {
		const random = makeRandom(seed);
		const {maxHolders} = planSharing(perSecond);
		const lists = [0, 1, 2].map(() => collectParticipants(makeParticipants(1 + Math.floor(random() * count), random), [], 0));
		const dated = lists.map((participants, index) => ({since: index * 400, participants}));
		let sum = 0;
		for (let index = 0; index < count; index++) {
			// Each daemon has known the second list; some still know the first one, some already know the third.
			const history = dated.slice(random() < 0.5 ? 0 : 1, random() < 0.5 ? 2 : 3);
			sum += computeStableHolding({
				backend, history, daemon: `daemon-${index}`, maxHolders,
			}).share;
		}

		assert.ok(sum <= 1 + 1e-9, String(sum));
	}), {seed: 1, numRuns: 300});
});

type LimitDay = Omit<BackendLimitSimulation, 'random' | 'getCallRate' | 'usualPart'> & {
	readonly seed: number;
	/** Calls per second of all daemons for the service. */
	readonly callRate: number;
};

const usualPart = 1 / 12;

/** Simulates a day in which callers are spread unevenly, and some daemons have none. */
const simulateDay = ({seed, callRate, ...day}: LimitDay): LimitedCall[] => {
	const random = makeRandom(seed);
	const weights = Array.from({length: day.daemons}, () => random() < 0.15 ? 0 : 0.3 + random());
	weights[0] = 1;
	const total = weights.reduce((sum, weight) => sum + weight, 0);
	return simulateBackendLimit({
		...day, random, usualPart, getCallRate: daemon => callRate * weights[daemon]! / total,
	});
};

const toSpans = (steps: readonly LimitStep[], end: number): StatedSpan[] => steps.flatMap(({at, perSecond}, index) =>
	perSecond === undefined ? [] : [{perSecond, from: at, until: steps[index + 1]?.at ?? end}]);

/** Time after a fault during which its daemon is excused. */
const excusedAfterMs = 3000;

const makeExcuse = (faults: readonly DaemonFault[]) => ({at, daemon}: LimitedCall): boolean =>
	faults.some(fault => `daemon-${fault.daemon}` === daemon && at >= fault.from && at < fault.until + excusedAfterMs);

const countBetween = (calls: readonly LimitedCall[], from: number, until: number): number => calls.filter(({at}) => at >= from && at < until).length;

const describeDay = (day: LimitDay): string => JSON.stringify(day);

test('any number of daemons keeps to a limit and uses at least 0.8 of it', () => {
	const cases = [2, 3, 9, 12, 30, 90].flatMap(daemons => (daemons > 30 ? [1, 4] : [0.2, 1, 1.7, 4, 20]).map(limit => ({daemons, limit, callRate: Math.max(36, daemons * 6, limit * 30)})));
	for (const {daemons, limit, callRate} of [...cases, {daemons: 9, limit: 200, callRate: 3000}, {daemons: 870, limit: 1, callRate: 5200}]) {
		let calls = 0;
		let allowed = 0;
		// One call more or less is a twelfth of a limit of 1 over the 12 s.
		for (const seed of daemons > 90 ? [1] : [1, 2, 3]) {
			const day: LimitDay = {
				daemons, zones: 3, steps: [{at: 0, perSecond: limit}], faults: [], lossRate: 0.05, durationMs: 16_000, callRate, seed,
			};
			const arrivals = simulateDay(day);
			assert.equal(findLimitViolation({spans: toSpans(day.steps, day.durationMs), calls: arrivals}), undefined, describeDay(day));
			calls += countBetween(arrivals, 4000, 16_000);
			allowed += limit * 12;
		}

		assert.ok(calls >= 0.8 * allowed, `${daemons} daemons, limit ${limit}: ${calls} of ${allowed}`);
	}
});

test('a backend server whose estimated time has become very long is asked again in time, unless it is silent', () => {
	// Its estimate would never be measured again, and the end of its limit never be learned.
	const limit = applyStatement(undefined, {perSecond: 1, statedAt: 0}, {now: 0, random});
	assert.equal(computeConfirmationPreference(limit, 900), 0);
	assert.ok(computeConfirmationPreference(limit, 1000) >= 1500);
	assert.ok(computeConfirmationPreference(limit, 8000) >= 10_000);
	const view: BackendView = {
		id: 'b', isInOtherZone: false, places: 8, isReclaimable: false, latencyModel: defaultLatencyModel, plainMs: 30, own: {running: 0, pendingTokens: []}, others: {running: 0, pendingTokens: []},
		failureRate: 0, isAtConnectionLimit: false, cachedTokens: 0, spreadPenaltyMs: 0, limitPreferenceMs: computeConfirmationPreference(limit, 8000), silentMs: 8000,
	};
	const call = {
		rank: 0, promptTokens: 0, isStream: false, isPinned: false,
	};
	assert.ok(computeCost(view, call) > computeCost({...view, silentMs: 0, limitPreferenceMs: 0}, call));
});

/** Draws times in which daemons get no processor time: each about half of the time, for up to 1.5 s. */
const drawStalls = (daemons: number, durationMs: number, random: () => number): DaemonFault[] => Array.from({length: daemons}, (_value, daemon) => {
	const stalls: DaemonFault[] = [];
	for (let from = random() * 1500; from < durationMs; from += random() * 3000) {
		const until = from + (random() * 1500);
		stalls.push({
			daemon, kind: 'stall', from, until,
		});
		from = until;
	}

	return stalls;
}).flat();

/** Longest time in which a limited backend server that is used gets no call. */
const maxUnusedMs = 4000;

for (const {daemons, limit} of [{daemons: 3, limit: 1}, {daemons: 6, limit: 0.5}, {daemons: 9, limit: 1}]) {
	for (const unsentRate of [0, 0.25]) {
		test(`${daemons} daemons that stall still use a limit of ${limit} a second${unsentRate > 0 ? ', while a quarter of the calls cannot be sent' : ''}`, () => {
			for (let seed = 1; seed <= 40; seed++) {
				const day: LimitDay = {
					daemons, zones: 1, steps: [{at: 0, perSecond: limit}], faults: drawStalls(daemons, 24_000, makeRandom(seed)), lossRate: 0.05, durationMs: 24_000, callRate: 60, seed, unsentRate,
				};
				const arrivals = simulateDay(day);
				const unused = Array.from({length: 5}, (_value, index) => 4000 + (index * maxUnusedMs)).filter(from => countBetween(arrivals, from, from + maxUnusedMs) === 0);
				assert.deepEqual(unused, [], `seed ${seed}`);
				assert.equal(findLimitViolation({spans: toSpans(day.steps, day.durationMs), calls: arrivals, isExcused: makeExcuse(day.faults)}), undefined, `seed ${seed}`);
			}
		});
	}
}

test('daemons keep to limits that change, while reports are lost and daemons restart or are cut off', () => {
	const limitArbitrary = fc.oneof(fc.constantFrom(0, 0.2, 1, 4), fc.double({min: 0, max: 30, noNaN: true}));
	const faultArbitrary = fc.record({
		daemon: fc.nat(11), kind: fc.constantFrom('restart' as const, 'cut' as const), from: fc.integer({min: 0, max: 12_000}), lengthMs: fc.integer({min: 300, max: 6000}),
	});
	const dayArbitrary = fc.record({
		daemons: fc.constantFrom(2, 3, 6, 9, 12, 20), limits: fc.array(limitArbitrary, {minLength: 1, maxLength: 3}), faults: fc.array(faultArbitrary, {maxLength: 4}), lossRate: fc.constantFrom(0, 0.05, 0.2), seed: fc.nat(),
	});
	fc.assert(fc.property(dayArbitrary, ({daemons, limits, faults, lossRate, seed}) => {
		const steps = limits.map((perSecond, index) => ({at: index * 5000, perSecond}));
		const day: LimitDay = {
			daemons, zones: 3, steps, faults: faults.filter(({daemon}) => daemon < daemons).map(({lengthMs, ...fault}) => ({...fault, until: fault.from + lengthMs})),
			lossRate, durationMs: 16_000, callRate: Math.max(36, daemons * 6, 30 * Math.max(...limits)), seed,
		};
		const violation = findLimitViolation({spans: toSpans(steps, day.durationMs), calls: simulateDay(day), isExcused: makeExcuse(day.faults)});
		assert.equal(violation, undefined, describeDay(day));
	}), {seed: 7, numRuns: 60});
});

test('two seconds after a limit has ended the backend server gets its usual calls again, without a rush', () => {
	for (const limit of [0, 0.2, 1, 4]) {
		let usual = 0;
		let firstSecond = 0;
		let later = 0;
		const seeds = [1, 2, 3, 4, 5, 6];
		for (const seed of seeds) {
			const callRate = 120;
			const calls = simulateDay({
				daemons: 6, zones: 3, steps: [{at: 0, perSecond: limit}, {at: 10_000, perSecond: undefined}], faults: [], lossRate: 0.05, durationMs: 16_000, callRate, seed,
			});
			usual += callRate * usualPart;
			firstSecond = Math.max(firstSecond, countBetween(calls, 10_000, 11_000));
			later += countBetween(calls, 12_000, 16_000) / 4;
		}

		assert.ok(later >= 0.8 * usual, `limit ${limit}: ${later} of ${usual}`);
		assert.ok(firstSecond <= 2 * usual / seeds.length, `limit ${limit}: ${firstSecond}`);
	}
});

test('hundreds of daemons send the usual calls a second after they have learned a limit\'s end, as many as the slow start allows', () => {
	const daemons = 300;
	const draw = makeRandom(5);
	const ended = Array.from({length: daemons}, () => {
		const limit = applyStatement(undefined, {perSecond: 1, statedAt: 0}, {now: 0, random: draw});
		return applyStatement(limit, {perSecond: undefined, statedAt: 10}, {now: 1000, random: draw});
	});
	const countSenders = (now: number): number => ended.filter(limit => {
		const refill = computeRefill(limit, {holding: noHolding, daemons, now});
		return refillLimit(limit, refill, {holding: noHolding, now}).level >= 1;
	}).length;
	assert.ok(countSenders(1300) <= 20, String(countSenders(1300)));
	assert.ok(countSenders(1900) >= 60, String(countSenders(1900)));
});

test('a daemon that learns a limit has no calls in its bucket, and one without a share gets none', () => {
	const limit = applyStatement(undefined, {perSecond: 2, statedAt: 0}, {now: 1000, random});
	const holding = {share: 0.5, holders: 2, position: 1};
	const refill = computeRefill(limit, {holding, daemons: 2, now: 1000});
	assert.equal(refillLimit(limit, refill, {holding, now: 1000}).level, 0);
	assert.ok(refillLimit(limit, refill, {holding, now: 2100}).level >= 1);
	assert.equal(refillLimit(limit, refill, {holding, now: 60_000}).level, refill.most);
	const none = computeRefill(limit, {holding: noHolding, daemons: 2, now: 1000});
	assert.equal(refillLimit({...limit, level: 3}, none, {holding: noHolding, now: 60_000}).level, 0);
	assert.equal(refillLimit(takeCall(limit), none, {holding: noHolding, now: 60_000}).level, -1);
});

test('the first holders of a limit spread their calls instead of sending all at once', () => {
	const limit = applyStatement(undefined, {perSecond: 1, statedAt: 0}, {now: 0, random});
	const times = [0, 1, 2].map(position => {
		const holding = {share: 1 / 3, holders: 3, position};
		const refill = computeRefill(limit, {holding, daemons: 3, now: 0});
		return (1 - refillLimit(limit, refill, {holding, now: 0}).level) / refill.perMs;
	});
	assert.deepEqual(times.map(time => Math.round(time)), [1053, 2105, 3158]);
});

test('less urgent calls leave what is in the bucket to more urgent ones, and started runs may owe a call', () => {
	const refill = {perMs: 0.001, most: 3};
	assert.deepEqual([0, 1, 2, 5].map(moreUrgentRanks => computeNeededLevel(refill, {hasStarted: false, moreUrgentRanks})), [1, 2, 3, 3]);
	assert.equal(computeNeededLevel(refill, {hasStarted: true, moreUrgentRanks: 2}), 0);
});

test('a changed limit keeps the bucket, and a limit that has ended is raised step by step', () => {
	const limit = refillLimit(applyStatement(undefined, {perSecond: 2, statedAt: 0}, {now: 0, random}), {perMs: 0.001, most: 3}, {holding: noHolding, now: 2000});
	assert.equal(applyStatement(limit, {perSecond: 1, statedAt: 10}, {now: 2000, random}).level, 2);
	const ended = applyStatement(limit, {perSecond: undefined, statedAt: 20}, {now: 2000, random});
	assert.deepEqual([isLimited(ended, 2000), isLimited(ended, 2999), isLimited(ended, 3000)], [true, true, false]);
	const rates = [2000, 2150, 2300].map(now => computeRefill(ended, {holding: noHolding, daemons: 1, now}).perMs * 1000);
	assert.deepEqual(rates.map(rate => Math.round(rate)), [2, 4, 8]);
});

test('levels of demand change only with the demand, not with its noise', () => {
	assert.equal(updateLevel(undefined, 0.19), undefined);
	assert.equal(updateLevel(undefined, 16), 2);
	assert.equal(updateLevel(2, 5), 2);
	assert.equal(updateLevel(2, 60), 2);
	assert.equal(updateLevel(2, 65), 3);
	assert.equal(updateLevel(-1, 0.07), -1);
	assert.equal(updateLevel(-1, 0.04), undefined);
});

test('daemons that are no longer heard keep their shares only as long as no more than half are heard', () => {
	const toReport = (daemon: string, receivedAt: number) => ({
		id: daemon, daemons: 1, participants: [[daemon, 'a', 1] as ReportedParticipant], receivedAt,
	});
	const own: ReportedParticipant[] = [['own', 'a', 1]];
	const list = (reports: Parameters<typeof collectParticipants>[1]): string[] => collectParticipants(own, reports, 10_000).map(({daemon}) => daemon);
	assert.deepEqual(list([toReport('b', 9900), toReport('c', 5000)]), ['b', 'own']);
	assert.deepEqual(list([toReport('b', 5000), toReport('c', 5000)]), ['b', 'c', 'own']);
	assert.deepEqual(list([toReport('b', 5000), toReport('b', 9900)]), ['b', 'own']);
});

test('a daemon that has just started takes no share before it knows the others', () => {
	const input = {
		own: [['own', 'a', 1] as ReportedParticipant], reports: [], startedAt: 0, hasPeers: true, propagationMs: 1000,
	};
	assert.deepEqual(followParticipants([], {...input, now: 1400}), []);
	assert.deepEqual(followParticipants([], {...input, now: 9000}), []);
	assert.equal(followParticipants([], {...input, hasPeers: false, now: 1500}).length, 1);
	assert.equal(followParticipants([], {...input, now: 10_000}).length, 1);
});

test('a merged list keeps the same sample of the daemons in any order', () => {
	const all = makeParticipants(200, makeRandom(1));
	const merged = mergeParticipants([all]);
	assert.equal(merged.length, maxParticipants);
	const inParts = mergeParticipants([mergeParticipants([all.slice(0, 90)]), mergeParticipants([all.slice(90).toReversed()])]);
	const listIds = (list: readonly ReportedParticipant[]): string[] => list.map(([daemon]) => daemon).toSorted((left, right) => left < right ? -1 : 1);
	assert.deepEqual(listIds(inParts), listIds(merged));
});
