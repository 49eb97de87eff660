import assert from 'node:assert/strict';
import test from 'node:test';
import fc from 'fast-check';
import {makeRandom} from '../testing/make-random.js';
import {simulateCut} from '../testing/simulate-cut.js';
import {choosePeer, type PeerCandidate} from './choose-peer.js';
import {
	type ConnectFailure, initialPathState, type PathState, recordConnectFailure, recordConnectSuccess,
} from './path-state.js';

const known = new Set(['a', 'b', 'c', 'd', 'e']);

const fail = (state: PathState, incarnation: string, changes: Partial<ConnectFailure> = {}): PathState => recordConnectFailure(state, {
	incarnation, startedAt: 1000, now: 1250, dataAt: 900, known, ...changes,
});

test('one backend server that fails is no loss of the paths', () => {
	assert.equal(fail(fail(initialPathState, 'a'), 'a').lostSince, undefined);
});

test('two backend servers that fail while none is heard are a loss', () => {
	assert.equal(fail(fail(initialPathState, 'a'), 'b', {startedAt: 1100}).lostSince, 1000);
});

test('two backend servers that fail while others answer are no loss, four are one', () => {
	const answering = {dataAt: 1200};
	const two = fail(fail(initialPathState, 'a', answering), 'b', answering);
	assert.equal(two.lostSince, undefined);
	assert.equal(fail(fail(two, 'c', answering), 'd', answering).lostSince, 1000);
});

test('two backend servers that crash at the same moment are no loss', () => {
	const atOnce = {startedAt: 1000, now: 1005, dataAt: 990};
	assert.equal(fail(fail(initialPathState, 'a', atOnce), 'b', atOnce).lostSince, undefined);
});

test('an attempt that began before a connection was opened elsewhere is no evidence', () => {
	const opened = recordConnectSuccess(initialPathState, {incarnation: 'c', now: 1050, knownCount: 5});
	assert.equal(fail(fail(opened, 'a'), 'b').lostSince, undefined);
});

test('the only backend server that fails is a loss, as nothing tells it from one', () => {
	assert.equal(fail(initialPathState, 'a', {known: new Set(['a'])}).lostSince, 1000);
});

test('paths are back when two backend servers were reached that have not failed again', () => {
	const lost = fail(fail(initialPathState, 'a'), 'b');
	const reach = (state: PathState, incarnation: string): PathState => recordConnectSuccess(state, {incarnation, now: 2000, knownCount: 5});
	assert.equal(reach(lost, 'a').lostSince, 1000);
	assert.equal(fail(reach(lost, 'a'), 'a', {startedAt: 2100, now: 2100}).regained.size, 0);
	assert.equal(fail(reach(lost, 'a'), 'c', {startedAt: 2100, now: 2100}).regained.size, 1);
	assert.equal(reach(reach(lost, 'a'), 'b').lostSince, undefined);
});

const makeCandidate = (index: number, changes: Partial<PeerCandidate> = {}): PeerCandidate => ({
	address: String(index), availabilityZone: 'a', room: 10, inFlight: 0, ...changes,
});

test('calls go through peers of the own zone, and through other zones when none there has room', () => {
	const random = makeRandom(1);
	const near = [makeCandidate(0), makeCandidate(1, {availabilityZone: 'b'})];
	assert.equal(choosePeer(near, {ownZone: 'a', random})?.address, '0');
	assert.equal(choosePeer([makeCandidate(0, {room: 2, inFlight: 2}), near[1]!], {ownZone: 'a', random})?.address, '1');
	assert.equal(choosePeer([], {ownZone: 'a', random}), undefined);
});

const planArbitrary = fc.record({
	seed: fc.integer({min: 1, max: 1_000_000}),
	daemons: fc.constantFrom(3, 6, 9, 48, 200, 870),
	zones: fc.integer({min: 2, max: 4}),
	backends: fc.integer({min: 5, max: 60}),
	cutShare: fc.constantFrom('one', 'some of a zone', 'a zone'),
	hasOpenConnections: fc.boolean(),
	cutMs: fc.integer({min: 3500, max: 8000}),
	crashedCount: fc.integer({min: 0, max: 2}),
	lossShare: fc.constantFrom(0, 0, 0.02),
});

test('callers of daemons that are cut off are served, whatever else fails', {timeout: 120_000}, () => {
	fc.assert(fc.property(planArbitrary, ({seed, daemons, zones, backends, cutShare, crashedCount, ...plan}) => {
		const random = makeRandom(seed);
		const zone = Array.from({length: daemons}, (_value, index) => index).filter(index => index % zones === 0);
		const cutCount = {one: 1, 'some of a zone': Math.ceil(zone.length / 2), 'a zone': zone.length}[cutShare];
		const outcome = simulateCut({
			...plan, daemons, zones, backends, random, cut: zone.slice(0, cutCount), crashed: Array.from({length: crashedCount}, (_value, index) => index), callIntervalMs: daemons > 100 ? 1000 : 100,
		});
		const bound = outcome.cutCalls * 0.98;
		assert.ok(outcome.servedCutCalls >= bound - 1, `${outcome.servedCutCalls} of ${outcome.cutCalls} calls served at daemons that are cut off`);
		assert.equal(outcome.hasFalseLoss, false, 'a daemon that reaches backend servers took itself for cut off');
		assert.ok(outcome.regainedMs <= 1500, `calls are sent directly ${outcome.regainedMs} ms after the heal`);
		const helped = outcome.servedForOthers.filter(count => count > 0);
		const total = helped.reduce((sum, count) => sum + count, 0);
		const helpers = cutShare === 'a zone' ? daemons - cutCount : Math.max(1, zone.length - cutCount);
		const mean = total / helpers;
		assert.ok(Math.max(0, ...helped) <= (mean * 2) + (6 * Math.sqrt(mean)) + 6, `one daemon served ${Math.max(0, ...helped)} calls of others, the mean is ${mean}`);
	}), {numRuns: 40, seed: 40, includeErrorInReport: true});
});
