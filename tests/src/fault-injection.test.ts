import assert from 'node:assert/strict';
import test from 'node:test';
import {streamChat} from '@shallotpass/measure/caller-client.js';
import {findViolations} from '@shallotpass/measure/history/check-history.js';
import {runChaos} from '@shallotpass/measure/history-experiment.js';
import {startFleet} from './fleet-fixture.js';

test('all guarantees except the time bound for leaving backend servers hold in a short fault injection run', async () => {
	// Engines and whole zones are reclaimed, daemons stop and crash, the log is unavailable or loses
	// replies, and operators apply conflicting configurations, one at a time and two at once, during
	// streams and reservations. Callers may notice only pauses and correct refusals.
	const history = await runChaos({
		experiment: 'history', seed: 1, daemonsPerZone: 2, enginesPerZone: 3, streams: 8, reservers: 3, tokens: 60, stepMs: 6, lanes: 2, actions: 4,
		// Known fault: combined with the loss of a zone, such a request crashed three engines in one of many long runs. Until that is fixed, only its own tests cover it.
		leaveOut: ['a request ends engines and is sent again'],
	}, () => {/* only the history is checked */});
	const violations = findViolations(history).filter(({guarantee: promise}) => promise !== 'a leaving backend server gets nothing new');
	assert.deepEqual(violations, []);
	assert.ok(history.calls.some(call => call.kind === 'stream' && call.outcome === 'answered'));
	assert.ok(history.calls.some(call => call.kind === 'once' && call.outcome === 'answered'));
});

test('a request that crashed engines is reported as possibly executed, and its retry as not executed', async t => {
	// Two engines read the first request and crash, so it must not be reported as not executed. The
	// retry is refused before it reaches an engine.
	const marker = 'POISON';
	const fleet = await startFleet(t, {daemons: 1, engines: Array.from({length: 4}, () => ({crashMarker: marker, parameters: {stepMs: 5}}))});
	const ask = async () => streamChat({address: fleet.daemons[0]!.callers, marker, tokens: 5});
	const [first, second] = [await ask(), await ask()];
	assert.deepEqual([first.problem?.kind, first.problem?.executed], ['request_quarantined', 'unknown']);
	assert.deepEqual([second.problem?.kind, second.problem?.executed], ['request_quarantined', 'no']);
	assert.equal(fleet.engines.flatMap(engine => engine.arrivals.filter(arrival => arrival.marker === marker)).length, 2);
});
