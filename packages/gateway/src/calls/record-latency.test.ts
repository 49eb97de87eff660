import assert from 'node:assert/strict';
import test from 'node:test';
import {type SpeedReading} from '@shallotpass/core/placement/current-speed.js';
import {emptyPrefillRecord} from '@shallotpass/core/placement/engine-latency.js';
import {type GatewayState} from '../gateway-state.js';
import {type BackendState} from './backend-registry.js';
import {recordPlainLatency, recordSpeed, recordStreamLatency} from './record-latency.js';

type Knowledge = {
	plainMs: number;
	plainAt: number;
	prefill: typeof emptyPrefillRecord;
	speed: SpeedReading | undefined;
};

const makeKnowledge = (): Knowledge => ({
	plainMs: 20, plainAt: 0, prefill: emptyPrefillRecord, speed: undefined,
});

/** Responds to a plain call and a stream in turn, each after `tookMs` for work that usually takes 20 ms and 200 ms. */
const recordAnswers = (knowledge: Knowledge, slowness: number | undefined, factor: number): ReadonlyMap<string, number> => {
	let now = 0;
	const meanSlowness = new Map<string, number>();
	const gateway = {clocks: {steady: () => now}, registry: {latencyModels: new Map([['s', {tokensPerMs: 100, fixedMs: 0}]]), meanSlowness}} as unknown as GatewayState;
	const state = Object.assign(knowledge, {entry: {service: 's'}}) as unknown as BackendState;
	for (let answer = 0; answer < 10; answer++) {
		const sentAt = now;
		now += 20 * factor;
		recordSpeed(gateway, state, {slowness, waiting: undefined});
		recordPlainLatency(gateway, state, sentAt);
		const streamSentAt = now;
		now += 200 * factor;
		recordSpeed(gateway, state, {slowness, waiting: undefined});
		recordStreamLatency(gateway, state, {sentAt: streamSentAt, workTokens: 20_000});
	}

	return meanSlowness;
};

test('a slow moment that a backend server states does not make it count as slow afterwards', () => {
	// The mean of plain calls and the prefill speed follow slow responses within seconds, while a slow moment lasts a part of one.
	const stated = makeKnowledge();
	recordAnswers(stated, 2.5, 2.5);
	assert.ok(Math.abs(stated.plainMs - 20) < 1, String(stated.plainMs));
	const {tokens, ms} = stated.prefill;
	assert.ok(tokens / ms > 60, String(tokens / ms));
	const unstated = makeKnowledge();
	recordAnswers(unstated, undefined, 2.5);
	assert.ok(unstated.plainMs > 35, String(unstated.plainMs));
	assert.ok(unstated.prefill.tokens / unstated.prefill.ms < 45);
});

test('a response without the figure leaves the last reading, which loses its weight', () => {
	const knowledge = makeKnowledge();
	recordAnswers(knowledge, 2.5, 1);
	const {speed} = knowledge;
	recordAnswers(knowledge, undefined, 1);
	assert.equal(knowledge.speed, speed);
});

test('the mean slowness of a service follows many readings, and one slow moment hardly', () => {
	// The plan of the fleet divides by it: taken at its word, one slow machine would double the orders for seconds.
	assert.ok(recordAnswers(makeKnowledge(), 2.5, 1).get('s')! < 1.6);
	assert.equal(recordAnswers(makeKnowledge(), 1, 1).get('s'), 1);
	assert.equal(recordAnswers(makeKnowledge(), undefined, 1).get('s'), undefined);
});
