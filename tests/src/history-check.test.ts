import assert from 'node:assert/strict';
import test from 'node:test';
import {findViolations, type GuaranteeName} from '@shallotpass/measure/history/check-history.js';
import {makeHistory, type CallEvent, type History} from '@shallotpass/measure/history/types.js';

const call = (changes: Partial<CallEvent>): CallEvent => ({
	kind: 'stream', key: 's', daemon: 'entry-1', sentAt: 100, endedAt: 200, outcome: 'answered', errorKind: undefined, isOwnAnswer: true, ...changes,
});

/** Makes a history without violations that contains events of every kind. */
const makeValidHistory = (): History => ({
	...makeHistory(),
	calls: [
		call({}),
		call({kind: 'once', key: 'r'}),
		call({
			kind: 'once', key: 'lost', outcome: 'unknown', errorKind: 'outcome_unknown', sentAt: 510, endedAt: 520,
		}),
		call({key: 'refused', outcome: 'not_run', errorKind: 'no_backend'}),
		call({
			daemon: 'entry-2', key: 'gone', outcome: 'cut', sentAt: 900, endedAt: 1000,
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
	acceptedVersions: [{version: 2, at: 40}],
	stops: [{daemon: 'entry-1', isPlanned: true, at: 150}, {daemon: 'entry-2', isPlanned: false, at: 950}],
	faults: [{description: 'lost replies', from: 500, to: 600}],
	finalVersions: [{daemon: 'entry-1', version: 2, at: 1000}],
	crashingRequests: [{key: 'bad', backends: 2}],
});

type ViolationCase = {readonly name: string; readonly guarantee: GuaranteeName; readonly addViolation: (history: History) => void};

const violationCases: readonly ViolationCase[] = [
	{
		name: 'a stream that fails with an unknown outcome',
		guarantee: 'accepted work survives announced reclaims',
		addViolation({calls}) {
			calls.push(call({key: 'x', outcome: 'unknown', errorKind: 'backend_failed'}));
		},
	},
	{
		name: 'a reservation with an unknown outcome without lost replies',
		guarantee: 'accepted work survives announced reclaims',
		addViolation({calls}) {
			calls.push(call({
				kind: 'once', key: 'x', outcome: 'unknown', errorKind: 'outcome_unknown',
			}));
		},
	},
	{
		name: 'a stream that fails during an outage of the log',
		guarantee: 'accepted work survives announced reclaims',
		addViolation({calls}) {
			calls.push(call({
				key: 'x', outcome: 'unknown', errorKind: 'backend_failed', sentAt: 510, endedAt: 520,
			}));
		},
	},
	{
		name: 'a token from another answer',
		guarantee: 'callers get their own answers whole',
		addViolation({calls}) {
			calls.push(call({key: 'x', isOwnAnswer: false}));
		},
	},
	{
		name: 'a stream refused as not executed that reached an engine',
		guarantee: 'what was said not to have run did not run',
		addViolation({arrivals}) {
			arrivals.push({
				kind: 'stream', backend: 'engine-2', key: 'refused', at: 130,
			});
		},
	},
	{
		name: 'a reservation that is executed by two servers',
		guarantee: 'what must not repeat runs at most once',
		addViolation({arrivals}) {
			arrivals.push({
				kind: 'once', backend: 'reservations-2', key: 'r', at: 190,
			});
		},
	},
	{
		name: 'an engine that receives a request four seconds after its notice',
		guarantee: 'a leaving backend server gets nothing new',
		addViolation({arrivals}) {
			arrivals.push({
				kind: 'stream', backend: 'engine-1', key: 's', at: 4050,
			});
		},
	},
	{
		name: 'a stream that a planned stop disconnects',
		guarantee: 'a planned stop cuts off nothing',
		addViolation({calls}) {
			calls.push(call({key: 'x', outcome: 'cut'}));
		},
	},
	{
		name: 'a daemon that reverts to an older configuration version',
		guarantee: 'the configuration is in force everywhere and never goes back',
		addViolation({versions}) {
			versions.push({daemon: 'entry-1', version: 1, at: 80});
		},
	},
	{
		name: 'a daemon that never receives the accepted configuration version',
		guarantee: 'the configuration is in force everywhere and never goes back',
		addViolation({finalVersions}) {
			finalVersions.push({daemon: 'entry-3', version: 1, at: 1000});
		},
	},
	{
		name: 'a request that crashes three engines',
		guarantee: 'a crashing request ends at most two backend servers',
		addViolation({crashingRequests}) {
			crashingRequests.push({key: 'worse', backends: 3});
		},
	},
];

test('the check finds no violation in a valid history', () => {
	assert.deepEqual(findViolations(makeValidHistory()), []);
});

for (const {name, guarantee, addViolation} of violationCases) {
	test(`the check detects ${name}`, () => {
		const history = makeValidHistory();
		addViolation(history);
		const guarantees = findViolations(history).map(violation => violation.guarantee);
		assert.ok(guarantees.includes(guarantee), guarantees.join(', '));
		assert.equal(new Set(guarantees).size, guarantee === 'a planned stop cuts off nothing' ? 2 : 1);
	});
}
