import assert from 'node:assert/strict';
import test from 'node:test';
import fc from 'fast-check';
import {hashText} from '../routing/rank-by-rendezvous.js';
import {
	applyBrittleness, type Brittleness, computePauseMs, countOwnPlaces, countUsedPlaces, isInForce, recordRejection, limitAfterRejection,
} from './brittleness.js';
import {type Participant, toParticipant} from './participants.js';

const makeBrittleness = (rejections: number | undefined, statedAt: number): Brittleness => applyBrittleness(undefined, {rejections: rejections ?? 0, statedAt}, 100)!;

test('only the statement of the call that was sent last counts', () => {
	const known = makeBrittleness(0, 1000);
	assert.equal(applyBrittleness(known, {rejections: undefined, statedAt: 900}, 200), known);
	assert.equal(applyBrittleness(known, {rejections: undefined, statedAt: 1100}, 200)?.statement.rejections, undefined);
	assert.equal(applyBrittleness(undefined, {rejections: undefined, statedAt: 1100}, 200), undefined);
});

test('daemons keep to their places once all know of them', () => {
	const known = makeBrittleness(0, 1000);
	assert.equal(isInForce(known, 100), false);
	assert.equal(isInForce(known, 1600), true);
});

test('after a rejection nothing is sent for a second, and less for a while', () => {
	const rejected = recordRejection(makeBrittleness(1, 1000), 5000);
	assert.equal(computePauseMs(rejected, 5400), 600);
	assert.equal(limitAfterRejection(10, rejected, 6000), 5);
	assert.equal(limitAfterRejection(10, rejected, 20_000), 10);
	assert.equal(limitAfterRejection(1, rejected, 6000), 1);
});

const participantArbitrary = fc.record({index: fc.integer({min: 0, max: 40}), level: fc.integer({min: -1, max: 4}), zone: fc.constantFrom('a', 'b', 'c')});

const toParticipants = (drawn: ReadonlyArray<{index: number; level: number; zone: string}>): Participant[] =>
	[...new Map(drawn.map(({index, level, zone}) => [index, toParticipant([`daemon-${index}`, zone, level])])).values()];

const drawnLists = fc.array(fc.array(participantArbitrary, {minLength: 1, maxLength: 30}), {minLength: 1, maxLength: 3});

test('the places that daemons use never sum to more than there are, whichever of the last lists each of them knows', () => {
	fc.assert(fc.property(drawnLists, fc.integer({min: 1, max: 64}), fc.string(), (lists, places, incarnation) => {
		const history = lists.map((list, index) => ({since: index * 100, participants: toParticipants(list)}));
		const backend = {incarnationHash: hashText(incarnation), availabilityZone: 'a'};
		// Each daemon knows a stretch of the lists that all have in common with those of the others.
		const daemons = new Set(history.flatMap(({participants}) => participants.map(({daemon}) => daemon)));
		const count = (daemon: string, known: typeof history): number => countOwnPlaces({
			backend, history: known, daemon, places, now: 10_000, propagationMs: 1000,
		});
		for (let middle = 1; middle <= history.length; middle++) {
			const early = history.slice(0, middle);
			const total = [...daemons].reduce((sum, daemon, index) => sum + count(daemon, index % 2 === 0 ? history : early), 0);
			assert.ok(total <= countUsedPlaces(places), `${total} of ${places} places`);
		}
	}), {numRuns: 300, seed: 7});
});

test('all places but a tenth are used when the daemons agree', () => {
	const participants = Array.from({length: 9}, (_value, index) => toParticipant([`daemon-${index}`, 'abc'[index % 3]!, 1]));
	const history = [{since: 0, participants}];
	for (const places of [1, 6, 64]) {
		const total = participants.reduce((sum, {daemon}) => sum + countOwnPlaces({
			backend: {incarnationHash: 5, availabilityZone: 'a'}, history, daemon, places, now: 10_000, propagationMs: 1000,
		}), 0);
		assert.equal(total, countUsedPlaces(places));
	}
});
