import assert from 'node:assert/strict';
import test from 'node:test';
import fc from 'fast-check';
import {makeRandom} from '@shallotpass/core/testing/make-random.js';
import {
	defaultEngineParameters, makeEngineCore, type EngineJob, type TokenEvent,
} from './engine-core.js';

const parameters = {
	...defaultEngineParameters, stepMs: 10, sequenceMs: 1, prefillTokenMs: 0.5, prefillChunkTokens: 100, cacheTokens: 64 * 10,
};

const makeJob = (id: string, overrides: Partial<EngineJob> = {}): EngineJob => ({
	id, prompt: '', promptTokens: 0, chain: [], priority: 0, maxTokens: 1, resumeAfter: -1, ...overrides,
});

const makeChain = (first: number, blocks: number): bigint[] => Array.from({length: blocks}, (_value, index) => BigInt((first * 1000) + index));

test('a step takes a fixed time, plus a time for each sequence and for each prompt token read', () => {
	const engine = makeEngineCore(parameters);
	engine.submit(makeJob('a', {promptTokens: 150, maxTokens: 2}));
	engine.submit(makeJob('b', {promptTokens: 0, maxTokens: 1}));
	assert.deepEqual(engine.step(), {durationMs: 10 + 2 + 50, tokens: [{id: 'b', index: 0, isLast: true}]});
	assert.deepEqual(engine.step(), {durationMs: 10 + 1 + 25, tokens: [{id: 'a', index: 0, isLast: false}]});
	assert.deepEqual(engine.step(), {durationMs: 10 + 1, tokens: [{id: 'a', index: 1, isLast: true}]});
	assert.equal(engine.step(), undefined);
});

test('the prompt of an urgent call is read before that of an earlier, less urgent call', () => {
	// If prompts were read in the order of arrival, an urgent call would wait until the long prompt of
	// the earlier call is read completely.
	const engine = makeEngineCore(parameters);
	engine.submit(makeJob('draft', {promptTokens: 1000, priority: 10}));
	engine.step();
	engine.submit(makeJob('counter', {promptTokens: 80, priority: 0}));
	assert.deepEqual(engine.step()?.tokens.map(token => token.id), ['counter']);
});

test('cached prompt blocks are not read again until they are evicted, least recently used first', () => {
	const engine = makeEngineCore(parameters);
	const run = (id: string, first: number, blocks: number): number => {
		const before = engine.counts.recomputedTokens;
		engine.submit(makeJob(id, {promptTokens: blocks * 64, chain: makeChain(first, blocks)}));
		while (engine.step() !== undefined) {
			// Steps until the engine is idle.
		}

		return engine.counts.recomputedTokens - before;
	};

	assert.equal(run('1', 1, 6), 384);
	assert.equal(run('2', 1, 6), 0);
	assert.equal(run('3', 2, 4), 256);
	assert.equal(run('4', 1, 6), 0);
	assert.equal(run('5', 3, 4), 256);
	assert.equal(run('6', 2, 4), 256);
});

test('each sequence produces all its tokens once and in order, whatever else runs', () => {
	const job = fc.record({
		promptTokens: fc.nat(300), maxTokens: fc.integer({min: 1, max: 8}), priority: fc.nat(2), resumed: fc.nat(3),
	});
	fc.assert(fc.property(fc.array(job, {minLength: 1, maxLength: 12}), fc.nat(), (jobs, seed) => {
		const engine = makeEngineCore({...parameters, mostRunning: 3});
		const random = makeRandom(seed);
		const tokens: TokenEvent[] = [];
		for (const [index, item] of jobs.entries()) {
			engine.submit(makeJob(String(index), {...item, maxTokens: item.maxTokens + item.resumed, resumeAfter: item.resumed - 1}));
			if (random() < 0.5) {
				tokens.push(...engine.step()?.tokens ?? []);
			}
		}

		for (let result = engine.step(); result !== undefined; result = engine.step()) {
			tokens.push(...result.tokens);
		}

		for (const [index, item] of jobs.entries()) {
			const own = tokens.filter(token => token.id === String(index));
			assert.deepEqual(own.map(token => token.index), Array.from({length: item.maxTokens}, (_value, offset) => item.resumed + offset));
			assert.deepEqual(own.map(token => token.isLast), own.map((_token, offset) => offset === own.length - 1));
		}
	}), {seed: 5});
});
