import assert from 'node:assert/strict';
import test from 'node:test';
import {makeUsageReport} from '@shallotpass/platform/stand-ins/check-duties.js';
import {findViolations} from './check-history.js';
import {formatEvents} from './format-events.js';
import {
	type CallEnd, type EndedCall, type History, type Run,
} from './history.js';

const answer = (changes: Partial<CallEnd & {kind: 'answered'}> = {}): CallEnd => ({
	kind: 'answered', status: 200, sealedBy: 'app-0', requestId: 'c-1', body: 'answer of app-0 to c-1', isWhole: true, ...changes,
});

const makeCall = (changes: Partial<EndedCall> = {}): EndedCall => ({
	id: 'c-1', daemon: 'daemon-0', route: 'book', key: 'key', path: '/book/a', body: 'x', sentAt: 10_000, endedAt: 10_100, end: answer(), ...changes,
});

const makeRun = (changes: Partial<Run> = {}): Run => ({
	id: 'c-1', backend: 'app-0', service: 'app', path: '/book/a', body: 'x', account: 'shop', hasKey: false, at: 10_050, ...changes,
});

const makeHistory = (changes: Partial<History> = {}): History => ({
	calls: [makeCall()], runs: [makeRun()], duties: [], disturbances: [], bans: [], ownEnds: [], neverReady: [], calmFrom: 9000, hasOnlyPlannedWork: false, ...changes,
});

/** A call that is served, so that a run whose calls were refused still counts as recovered. */
const served = Array.from({length: 40}, (_value, index) => makeCall({id: `s-${index}`, end: answer({requestId: `s-${index}`, body: `answer of app-0 to s-${index}`})}));
const servedRuns = served.map(({id}) => makeRun({id}));

const refuse = (status: number, changes: Partial<EndedCall> = {}): EndedCall => makeCall({end: answer({status, sealedBy: '', body: ''}), ...changes});

test('a run in which all went well breaks nothing', () => {
	assert.deepEqual(findViolations(makeHistory()), []);
	const stream = makeCall({route: 'ask', path: '/ask/a', end: answer({sealedBy: 'engine-0', body: formatEvents()})});
	assert.deepEqual(findViolations(makeHistory({calls: [stream], runs: [makeRun({backend: 'engine-0', service: 'llm', path: '/ask/a'})]})), []);
});

const planted: ReadonlyArray<{readonly name: string; readonly history: Partial<History>; readonly expected: RegExp}> = [
	{name: 'a booking that ran twice', history: {runs: [makeRun(), makeRun({backend: 'app-1'})]}, expected: /ran 2 times/v},
	{name: 'a refusal of a booking that ran', history: {calls: [refuse(503), ...served], runs: [makeRun(), ...servedRuns]}, expected: /answered 503, and ran/v},
	{name: 'a success without a backend server', history: {runs: []}, expected: /no backend server gave/v},
	{name: 'an answer of another call', history: {calls: [makeCall({end: answer({requestId: 'c-2'})})]}, expected: /the answer of another call/v},
	{name: 'a whole answer that lacks its end', history: {calls: [makeCall({end: answer({body: 'answer of'})})]}, expected: /other bytes/v},
	{name: 'a call of another service', history: {runs: [makeRun({service: 'llm'})]}, expected: /ran at the service llm/v},
	{name: 'the memory of another run', history: {runs: [makeRun(), makeRun({memory: '127.0.0.1:1/handle-of-c-2'})]}, expected: /with the memory/v},
	{name: 'a changed body', history: {runs: [makeRun({body: 'y'})]}, expected: /another path or body/v},
	{name: 'a key that was passed on', history: {runs: [makeRun({hasKey: true})]}, expected: /key was passed on/v},
	{name: 'another account', history: {runs: [makeRun({account: 'other'})]}, expected: /for the account other/v},
	{name: 'a run that nobody asked for', history: {runs: [makeRun(), makeRun({id: 'c-9'})]}, expected: /nobody asked/v},
	{name: 'a proper call that is denied', history: {calls: [refuse(404), ...served], runs: servedRuns}, expected: /answered 404/v},
	{name: 'a call without an answer', history: {calls: [makeCall({end: undefined}), ...served], runs: servedRuns}, expected: /never answered/v},
	{
		name: 'a removed key that still runs', history: {
			bans: [{
				kind: 'key', key: 'key', from: 9000, until: 20_000,
			}],
		}, expected: /key that was removed/v,
	},
	{
		name: 'a backend server that was leaving', history: {
			bans: [{
				kind: 'backend', backend: 'app-0', from: 9000, until: 20_000,
			}],
		}, expected: /was leaving/v,
	},
	{name: 'a call lost by planned work', history: {calls: [makeCall({end: {kind: 'cut', reason: 'reset'}}), ...served], runs: [makeRun(), ...servedRuns], hasOnlyPlannedWork: true}, expected: /lost by planned work/v},
	{name: 'a daemon that ends by itself', history: {ownEnds: ['daemon-0']}, expected: /ended by itself/v},
	{name: 'a daemon that stays away', history: {neverReady: ['daemon-0']}, expected: /did not become ready/v},
	{name: 'no recovery', history: {calls: [refuse(503)], runs: []}, expected: /only 0 of 1/v},
	{
		name: 'a duty said with a fence of before',
		history: {
			duties: [2, 1].map(fence => makeUsageReport({
				holder: 'daemon-0', fence, window: fence, at: 10_000,
			})),
		},
		expected: /fence 1 after a higher one/v,
	},
	{
		name: 'too many tries',
		history: {
			calls: served.map(call => ({
				...call, route: 'read', path: '/read/a', body: '',
			})),
			runs: servedRuns.flatMap(run => [run, run, run].map(again => ({...again, path: '/read/a', body: ''}))),
		},
		expected: /more often than their route allows/v,
	},
];

for (const {name, history, expected} of planted) {
	test(`the check finds ${name}`, () => {
		const violations = findViolations(makeHistory(history));
		assert.equal(violations.length, 1, JSON.stringify(violations));
		assert.match(violations[0]!, expected);
	});
}

test('a run that goes on with its own memory has not run twice', () => {
	assert.deepEqual(findViolations(makeHistory({runs: [makeRun(), makeRun({backend: 'app-1', memory: '127.0.0.1:1/handle-of-c-1'})]})), []);
});

test('a daemon that was suspended is not blamed for what it could not know', () => {
	const disturbances = [{daemon: 'daemon-0', from: 8000, until: 9500}];
	assert.deepEqual(findViolations(makeHistory({
		disturbances, bans: [{
			kind: 'key', key: 'key', from: 9000, until: 20_000,
		}],
	})), []);
	assert.equal(findViolations(makeHistory({
		disturbances: [{...disturbances[0]!, daemon: 'daemon-1'}], bans: [{
			kind: 'key', key: 'key', from: 9000, until: 20_000,
		}],
	})).length, 1);
});
