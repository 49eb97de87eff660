import assert from 'node:assert/strict';
import test from 'node:test';
import fc from 'fast-check';
import {makeRandom} from '../testing/make-random.js';
import {findPreferredBackend} from './find-preferred-backend.js';
import {hashPrompt} from './hash-prompt.js';
import {
	countCachedBlocks, removeBlocks, removeBackend, listHolders, makeKnownPrefixes, recordPrefix,
} from './known-prefixes.js';
import {updateSpeed, defaultSpeed} from './speed-estimate.js';
import {
	chooseLeastRequests, chooseLowestCost, choosePrefixAffinity, choosePowerOfTwo, makeRoundRobin,
} from './policies.js';
import {hashText} from './rank-by-rendezvous.js';
import {type BackendView, type RoutedCall, type RoutingContext} from './types.js';

const makeBackend = (id: string, change: Partial<BackendView> = {}): BackendView => ({
	id, idHash: hashText(id), address: '', availabilityZone: 'z', machineClass: 'a', services: ['s'], checksFencing: false, isLeaving: false, avoidUntil: 0, running: 0, sentSinceReport: 0, speed: defaultSpeed, pendingTokens: 0, urgentCalls: 0, cacheTokens: 0, limit: 64, price: 0, ...change,
});

const makeCall = (change: Partial<RoutedCall> = {}): RoutedCall => ({
	service: 's', promptTokens: 1000, prefixHashes: [], expectedTokens: 10, now: 100, availabilityZone: 'z', target: undefined, excluded: new Set(), ...change,
});

const makeContext = (call: RoutedCall, backends: readonly BackendView[], known = makeKnownPrefixes(100)): RoutingContext => ({
	call,
	backends,
	findBackend: id => backends.find(backend => backend.id === id),
	countCachedBlocks: (id, chain) => countCachedBlocks(known, id, chain),
	listHolders: hash => listHolders(known, hash),
	random: makeRandom(1),
});

const makeBackends = (count: number): BackendView[] => Array.from({length: count}, (_value, index) => makeBackend(`b${index}`));

test('no policy chooses a backend server that is leaving, excluded or does not serve the service', () => {
	const backends = [makeBackend('leaving', {isLeaving: true}), makeBackend('tried'), makeBackend('other', {services: ['else']}), makeBackend('right')];
	for (const policy of [chooseLowestCost, chooseLeastRequests, choosePowerOfTwo, choosePrefixAffinity, makeRoundRobin()]) {
		const call = makeCall({excluded: new Set(['tried']), prefixHashes: [5n]});
		assert.equal(policy(makeContext(call, backends))?.id, 'right');
		assert.equal(policy(makeContext(call, backends.slice(0, 3))), undefined);
	}
});

test('a backend server with recent failures is chosen only if there is no other', () => {
	const failed = makeBackend('failed', {avoidUntil: 200});
	assert.equal(chooseLowestCost(makeContext(makeCall(), [failed, makeBackend('healthy', {running: 50})]))?.id, 'healthy');
	assert.equal(chooseLowestCost(makeContext(makeCall(), [failed]))?.id, 'failed');
});

test('the engine that has the prompt cached is chosen unless its wait is longer than a new prefill', () => {
	const known = makeKnownPrefixes(100);
	const chain = [1n, 2n, 3n, 4n, 5n, 6n, 7n, 8n, 9n, 10n, 11n, 12n];
	recordPrefix(known, 'b3', chain);
	const call = makeCall({prefixHashes: chain, promptTokens: 770});
	assert.equal(chooseLowestCost(makeContext(call, makeBackends(20), known))?.id, 'b3');
	const busy = makeBackends(20).map(backend => backend.id === 'b3' ? {...backend, report: {running: 64, queued: 80, at: 0}} : backend);
	assert.notEqual(chooseLowestCost(makeContext(call, busy, known))?.id, 'b3');
});

test('the preferred backend server is independent of the order of candidates and changes only if it is removed', () => {
	const backends = makeBackends(20);
	let moved = 0;
	const counts = new Map<string, number>();
	for (let prompt = 0; prompt < 2000; prompt++) {
		const call = makeCall({prefixHashes: hashPrompt(`${prompt} `.repeat(300))});
		const preferred = findPreferredBackend(makeContext(call, backends), backends)!;
		assert.equal(findPreferredBackend(makeContext(call, backends), backends.toReversed())?.id, preferred.id);
		const remaining = backends.filter(backend => backend.id !== 'b7');
		moved += preferred.id !== 'b7' && findPreferredBackend(makeContext(call, remaining), remaining)?.id !== preferred.id ? 1 : 0;
		counts.set(preferred.id, (counts.get(preferred.id) ?? 0) + 1);
	}

	assert.equal(moved, 0);
	assert.equal(counts.size, 20);
	assert.ok(Math.max(...counts.values()) < 200, JSON.stringify([...counts]));
});

test('a backend server above its load bound is not preferred', () => {
	const call = makeCall({prefixHashes: [77n]});
	const preferred = findPreferredBackend(makeContext(call, makeBackends(5)), makeBackends(5))!;
	const loaded = makeBackends(5).map(backend => ({...backend, running: backend.id === preferred.id ? 100 : 10}));
	assert.notEqual(findPreferredBackend(makeContext(call, loaded), loaded)?.id, preferred.id);
});

test('prompts that share their instructions are spread over engines in proportion to the cache sizes', () => {
	// All prompts of a service begin with the same instructions. If the instructions alone determined
	// the affinity, one engine would prefill every conversation and evict each before its next call.
	const backends = [makeBackend('small', {cacheTokens: 100_000}), makeBackend('large', {cacheTokens: 300_000})];
	const counts = new Map<string, number>();
	for (let prompt = 0; prompt < 2000; prompt++) {
		const call = makeCall({prefixHashes: hashPrompt(`${'the same instructions '.repeat(40)}${`${prompt} `.repeat(600)}`)});
		const preferred = findPreferredBackend(makeContext(call, backends), backends)!;
		counts.set(preferred.id, (counts.get(preferred.id) ?? 0) + 1);
	}

	assert.ok(Math.abs(counts.get('large')! - 1500) < 100, JSON.stringify([...counts]));
});

test('two prompts share a hash chain exactly as far as their prefixes are equal', () => {
	const block = fc.constantFrom('a'.repeat(256), 'b'.repeat(256));
	fc.assert(fc.property(fc.array(block, {maxLength: 6}), fc.array(block, {maxLength: 6}), (left, right) => {
		const [one, other] = [hashPrompt(left.join('')), hashPrompt(right.join(''))];
		const same = left.findIndex((item, index) => item !== right[index]);
		const expected = same === -1 ? left.length : same;
		const shared = one.findIndex((hash, index) => hash !== other[index]);
		assert.equal(shared === -1 ? one.length : shared, expected);
	}), {seed: 7});
});

test('holders and block counts stay consistent and within the bound', () => {
	const step = fc.record({kind: fc.constantFrom('note', 'drop', 'forget'), id: fc.constantFrom('a', 'b'), blocks: fc.array(fc.bigInt({min: 0n, max: 8n}), {maxLength: 5})});
	fc.assert(fc.property(fc.array(step, {maxLength: 30}), steps => {
		const known = makeKnownPrefixes(4);
		for (const {kind, id, blocks} of steps) {
			if (kind === 'note') {
				recordPrefix(known, id, blocks);
			} else if (kind === 'drop') {
				removeBlocks(known, id, blocks);
			} else {
				removeBackend(known, id);
			}

			for (const backend of ['a', 'b']) {
				assert.ok((known.byBackend.get(backend)?.size ?? 0) <= 4);
				for (let hash = 0n; hash <= 8n; hash++) {
					assert.equal(listHolders(known, hash)?.has(backend) ?? false, countCachedBlocks(known, backend, [hash]) === 1);
				}
			}
		}
	}), {seed: 7});
});

test('speeds that differ widely are estimated from answers', () => {
	let [slow, fast] = [defaultSpeed, defaultSpeed];
	for (let index = 0; index < 20; index++) {
		slow = updateSpeed(slow, {firstTokenMs: 200, tokenMs: 60, uncachedTokens: 10});
		fast = updateSpeed(fast, {firstTokenMs: 20, tokenMs: 8, uncachedTokens: 10});
	}

	const backends = [makeBackend('slow', {speed: slow}), makeBackend('fast', {speed: fast, running: 5})];
	assert.equal(chooseLowestCost(makeContext(makeCall(), backends))?.id, 'fast');
});
