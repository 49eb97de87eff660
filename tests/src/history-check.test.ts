import assert from 'node:assert/strict';
import test from 'node:test';
import {findViolations, type PromiseName} from '@shallotpass/measure/history/check-history.js';
import {makeHistory, type CallEvent, type History} from '@shallotpass/measure/history/types.js';

const call = (changes: Partial<CallEvent>): CallEvent => ({
	kind: 'stream', key: 's', daemon: 'entry-1', sentAt: 100, endedAt: 200, told: 'answered', errorKind: undefined, isOwnAnswer: true, ...changes,
});

/** A run in which everything was kept, with something of each kind. */
const makeKept = (): History => ({
	...makeHistory(),
	calls: [
		call({}),
		call({kind: 'once', key: 'r'}),
		call({
			kind: 'once', key: 'lost', told: 'unknown', errorKind: 'outcome_unknown', sentAt: 510, endedAt: 520,
		}),
		call({key: 'refused', told: 'not_run', errorKind: 'no_backend'}),
		call({
			daemon: 'entry-2', key: 'gone', told: 'cut', sentAt: 900, endedAt: 1000,
		}),
	],
	arrivals: [
		{
			kind: 'stream', backend: 'engine-1', key: 's', at: 110,
		},
		{
			kind: 'stream', backend: 'engine-2', key: 's', at: 150,
		},
		{
			kind: 'once', backend: 'reservations-1', key: 'r', at: 120,
		},
		{
			kind: 'once', backend: 'reservations-1', key: 'lost', at: 515,
		},
	],
	notices: [{backend: 'engine-1', at: 50, leavesAt: 9000}],
	versions: [{daemon: 'entry-1', version: 1, at: 0}, {daemon: 'entry-1', version: 2, at: 60}],
	accepted: [{version: 2, at: 40}],
	stops: [{daemon: 'entry-1', isPlanned: true, at: 150}, {daemon: 'entry-2', isPlanned: false, at: 950}],
	harms: [{what: 'lost replies', from: 500, to: 600}],
	finalVersions: [{daemon: 'entry-1', version: 2, at: 1000}],
	crashedBy: [{key: 'bad', backends: 2}],
});

type Planted = {readonly name: string; readonly promise: PromiseName; readonly plant: (history: History) => void};

const planted: readonly Planted[] = [
	{
		name: 'a question in flight at a reclaim ends as unknown',
		promise: 'accepted work survives announced reclaims',
		plant({calls}) {
			calls.push(call({key: 'x', told: 'unknown', errorKind: 'backend_failed'}));
		},
	},
	{
		name: 'a reservation is unknown though nothing was lost',
		promise: 'accepted work survives announced reclaims',
		plant({calls}) {
			calls.push(call({
				kind: 'once', key: 'x', told: 'unknown', errorKind: 'outcome_unknown',
			}));
		},
	},
	{
		name: 'an outage of the log is no excuse for a broken stream',
		promise: 'accepted work survives announced reclaims',
		plant({calls}) {
			calls.push(call({
				key: 'x', told: 'unknown', errorKind: 'backend_failed', sentAt: 510, endedAt: 520,
			}));
		},
	},
	{
		name: 'a token of another answer',
		promise: 'callers get their own answers whole',
		plant({calls}) {
			calls.push(call({key: 'x', isOwnAnswer: false}));
		},
	},
	{
		name: 'a question refused as not run that an engine had',
		promise: 'what was said not to have run did not run',
		plant({arrivals}) {
			arrivals.push({
				kind: 'stream', backend: 'engine-2', key: 'refused', at: 130,
			});
		},
	},
	{
		name: 'a reservation that runs on two servers',
		promise: 'what must not repeat runs at most once',
		plant({arrivals}) {
			arrivals.push({
				kind: 'once', backend: 'reservations-2', key: 'r', at: 190,
			});
		},
	},
	{
		name: 'an engine that is sent work four seconds after its notice',
		promise: 'a leaving backend server gets nothing new',
		plant({arrivals}) {
			arrivals.push({
				kind: 'stream', backend: 'engine-1', key: 's', at: 4050,
			});
		},
	},
	{
		name: 'a stream that a planned stop cuts off',
		promise: 'a planned stop cuts off nothing',
		plant({calls}) {
			calls.push(call({key: 'x', told: 'cut'}));
		},
	},
	{
		name: 'a daemon that goes back to an older version',
		promise: 'the configuration is in force everywhere and never goes back',
		plant({versions}) {
			versions.push({daemon: 'entry-1', version: 1, at: 80});
		},
	},
	{
		name: 'a daemon that never gets the accepted version',
		promise: 'the configuration is in force everywhere and never goes back',
		plant({finalVersions}) {
			finalVersions.push({daemon: 'entry-3', version: 1, at: 1000});
		},
	},
	{
		name: 'a request that ends three engines',
		promise: 'a crashing request ends at most two backend servers',
		plant({crashedBy}) {
			crashedBy.push({key: 'worse', backends: 3});
		},
	},
];

test('a run in which all promises were kept passes the check', () => {
	assert.deepEqual(findViolations(makeKept()), []);
});

for (const {name, promise, plant} of planted) {
	test(`the check of a history notices ${name}`, () => {
		const history = makeKept();
		plant(history);
		const promises = findViolations(history).map(violation => violation.promise);
		assert.ok(promises.includes(promise), promises.join(', '));
		assert.equal(new Set(promises).size, promise === 'a planned stop cuts off nothing' ? 2 : 1);
	});
}
