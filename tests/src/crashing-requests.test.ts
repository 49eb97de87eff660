import assert from 'node:assert/strict';
import test from 'node:test';
import {streamChat} from '@shallotpass/measure/caller-client.js';
import {operatorKey, waitFor} from '@shallotpass/measure/local-fleet.js';
import {startFleet, type Fleet} from './fleet-fixture.js';

/** Prompt text on which the engine stand-ins crash. */
const crashMarker = 'POISON';

const isUnreachable = async (address: string): Promise<boolean> => {
	try {
		await fetch(`http://${address}/load`);
		return false;
	} catch {
		return true;
	}
};

const countUnreachable = async (fleet: Fleet): Promise<number> => {
	const results = await Promise.all(fleet.engines.map(async engine => isUnreachable(engine.address)));
	return results.filter(Boolean).length;
};

const engines = Array.from({length: 5}, () => ({crashMarker, parameters: {stepMs: 5}}));

test('a request that crashes engines crashes at most two, and concurrent requests are answered', async t => {
	// A prompt crashes every engine that reads it, and its caller retries it through every daemon.
	// At most two engines may be lost. Other streams on them must continue, and the caller must be
	// told that the request is quarantined.
	const fleet = await startFleet(t, {daemons: 3, engines});
	const otherStreams = Array.from({length: 15}, async (_value, index) =>
		streamChat({address: fleet.daemons[index % 3]!.callers, marker: `i${index}`, tokens: 150}));
	await waitFor('at least three engines are busy', () => fleet.engines.filter(engine => engine.countRunning() > 0).length >= 3);
	const errorKinds: Array<string | undefined> = [];
	for (let index = 0; index < 6; index++) {
		// eslint-disable-next-line no-await-in-loop -- the caller retries after each refusal
		const answer = await streamChat({address: fleet.daemons[index % 3]!.callers, marker: crashMarker, tokens: 5});
		errorKinds.push(answer.problem?.kind);
	}

	const answers = await Promise.all(otherStreams);
	assert.equal(await countUnreachable(fleet), 2);
	assert.deepEqual(errorKinds.slice(1), Array.from({length: 5}, () => 'request_quarantined'));
	assert.deepEqual(answers.filter(answer => !answer.isComplete || answer.unexpectedTokens > 0), []);
});

test('an operator can list quarantined requests and release them', async t => {
	const fleet = await startFleet(t, {daemons: 1, engines});
	const [daemon] = fleet.daemons;
	const headers = {authorization: `Bearer ${operatorKey}`};
	await streamChat({address: daemon!.callers, marker: crashMarker, tokens: 5});
	const listed = await fetch(`http://${daemon!.admin}/admin/v1/quarantine`, {headers});
	const {suspects} = await listed.json() as {suspects: Array<{fingerprint: string; isConvicted: boolean}>};
	assert.deepEqual(suspects.map(suspect => suspect.isConvicted), [true]);
	const removed = await fetch(`http://${daemon!.admin}/admin/v1/quarantine/${suspects[0]!.fingerprint}`, {method: 'DELETE', headers});
	assert.equal(removed.status, 200);
	const after = await fetch(`http://${daemon!.admin}/admin/v1/quarantine`, {headers});
	assert.deepEqual(await after.json(), {suspects: []});
});

test('the simultaneous loss of a zone does not make requests suspects', async t => {
	// The provider reclaims a whole zone at once, so its requests were in flight on engines that
	// stopped. None of them caused this, and all must be answered by other engines.
	const fleet = await startFleet(t, {daemons: 1, engines: Array.from({length: 6}, () => ({parameters: {stepMs: 5}}))});
	for (const [index, engine] of fleet.engines.entries()) {
		fleet.platform.list.put({
			id: `engine-${index}`, address: engine.address, availabilityZone: index < 4 ? 'zone-1' : 'zone-2', role: 'backend', state: 'live', services: ['assistant'],
		});
	}

	const [daemon] = fleet.daemons;
	const streams = Array.from({length: 24}, async (_value, index) => streamChat({address: daemon!.callers, marker: `z${index}`, tokens: 400}));
	await waitFor('all streams are running', () => fleet.engines.reduce((sum, engine) => sum + engine.countRunning(), 0) === 24);
	await Promise.all(fleet.engines.slice(0, 4).map(async engine => engine.close()));
	const answers = await Promise.all(streams);
	assert.deepEqual(answers.filter(answer => !answer.isComplete || answer.unexpectedTokens > 0).map(answer => answer.problem), []);
	const listed = await fetch(`http://${daemon!.admin}/admin/v1/quarantine`, {headers: {authorization: `Bearer ${operatorKey}`}});
	assert.deepEqual(await listed.json(), {suspects: []});
});

test('streams of a failed engine continue even if they exceed the retry budget', async t => {
	// An engine with many open streams fails without notice. The retry budget prevents an outage from
	// multiplying the load, but streams that have started must continue on other engines.
	const fleet = await startFleet(t, {daemons: 1, engines: Array.from({length: 3}, () => ({parameters: {stepMs: 10}}))});
	const streams = Array.from({length: 180}, async (_value, index) => streamChat({address: fleet.daemons[0]!.callers, marker: `d${index}`, tokens: 150}));
	await waitFor('all engines are busy', () => fleet.engines.every(engine => engine.countRunning() > 30));
	await new Promise(resolve => {
		setTimeout(resolve, 300);
	});
	await fleet.engines[0]!.close();
	const answers = await Promise.all(streams);
	assert.deepEqual(answers.filter(answer => !answer.isComplete || answer.unexpectedTokens > 0).map(answer => answer.problem?.kind), []);
});
