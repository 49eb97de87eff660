/** What a daemon believes of its engines: their pace, their places, their caches. */
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {systemClock} from '@shallotpass/common/clock.js';
import {makeSettings, waitFor} from '@shallotpass/measure/local-fleet.js';
import {sendJson, startStandIn} from '@shallotpass/stand-ins/http-stand-in.js';
import {makeBackendRegistry, type BackendRegistry} from '@shallotpass/tasks/backend-registry.js';
import {type Environment} from '@shallotpass/tasks/environment.js';
import {runLoadReports} from '@shallotpass/tasks/load-reports.js';
import {makeLogger} from '@shallotpass/telemetry/logger.js';
import {makeMetrics} from '@shallotpass/telemetry/metrics.js';
import {Agent} from 'undici';

const makeEnvironment = (signal: AbortSignal): Environment => ({
	settings: makeSettings({
		id: 'entry-1', availabilityZone: 'zone-1', platform: undefined, limits: {maxRunningPerBackend: 64},
	}),
	clock: systemClock,
	random: () => 0.5,
	metrics: makeMetrics(),
	makeLogger: task => makeLogger(task, 'entry-1'),
	signal,
});

const makeRegistry = (environment: Environment, address = '127.0.0.1:1'): BackendRegistry => {
	const registry = makeBackendRegistry({environment});
	registry.applyInstanceList({
		version: 1,
		instances: [{
			id: 'engine-1', address, role: 'backend', availabilityZone: 'zone-1', machineClass: 'a', state: 'live', services: ['assistant'],
		}],
	});
	return registry;
};

const answer = (registry: BackendRegistry, tokenMs: number): void => {
	registry.recordSpeedSample('engine-1', {
		firstTokenMs: 50, tokenMs, uncachedTokens: 0, isLate: tokenMs > 28,
	}, []);
};

test('an old engine that never reaches the target keeps its places', () => {
	// Engines were bought over years, and one gives a token each 40 ms even when it runs a single
	// call. Were its places taken away for that, it would stand idle while drafts wait.
	const registry = makeRegistry(makeEnvironment(new AbortController().signal));
	for (let index = 0; index < 200; index++) {
		registry.begin('engine-1');
		answer(registry, 40 + (index % 5));
		registry.end('engine-1');
	}

	assert.equal(registry.countSlots('assistant'), 64);
});

test('an engine that is slowed by its load loses places', () => {
	const registry = makeRegistry(makeEnvironment(new AbortController().signal));
	answer(registry, 12);
	for (let index = 0; index < 40; index++) {
		registry.begin('engine-1');
	}

	answer(registry, 45);
	assert.equal(registry.countSlots('assistant'), 34);
});

test('an engine that restarted at its address is not taken to hold what it held before', async t => {
	// The process of an engine is started anew at its address, with nothing cached. Were its old
	// blocks believed in, long histories would be sent to be read there instead of where they are kept.
	let events = [{seq: 0, kind: 'stored', blocks: ['a', 'b', 'c']}, {seq: 1, kind: 'evicted', blocks: ['c']}];
	const engine = await startStandIn((request, response) => {
		const url = new URL(request.url ?? '/', 'http://engine');
		const from = Number(url.searchParams.get('from') ?? 0);
		sendJson(response, {status: 200, body: url.pathname === '/events' ? {events: events.slice(from), next: events.length} : {running: 0, queued: 0, at: Date.now()}});
	});
	const stopping = new AbortController();
	const dispatcher = new Agent();
	t.after(async () => {
		stopping.abort();
		await dispatcher.destroy();
		await engine.close();
	});
	const environment = makeEnvironment(stopping.signal);
	const registry = makeRegistry(environment, engine.address);
	void runLoadReports({
		environment, registry, dispatcher, isEngine: () => true, listZoneMembers: () => ['entry-1'],
	});
	const countHeld = (): number => registry.countCachedBlocks('engine-1', [10n, 11n, 12n]);
	await waitFor('what is stored is known, and what was evicted not', () => countHeld() === 2);
	events = [{seq: 0, kind: 'stored', blocks: ['f']}];
	await waitFor('the old cache is forgotten', () => countHeld() === 0);
	await waitFor('the new cache is known', () => registry.countCachedBlocks('engine-1', [15n]) === 1);
});
