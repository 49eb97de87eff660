import assert from 'node:assert/strict';
import {test} from 'node:test';
import {hashPrompt} from '@shallotpass/core/routing/hash-prompt.js';
import {startEngineStandIn} from '@shallotpass/stand-ins/engine-stand-in.js';
import {startStandIn, sendJson} from '@shallotpass/stand-ins/http-stand-in.js';
import {Agent, request} from 'undici';
import {readCacheEvents} from '@shallotpass/backends/engine-events.js';

const prompt = 'issue 1 of the series, ordered in May; '.repeat(60);

test('events contain the block hashes of the prompt, and reading resumes at the returned position', async t => {
	const engine = await startEngineStandIn({models: ['assistant-7b'], parameters: {stepMs: 1}});
	const dispatcher = new Agent();
	t.after(async () => {
		await dispatcher.close();
		await engine.close();
	});
	const answer = await request(`http://${engine.address}/v1/chat/completions`, {
		method: 'POST',
		headers: {'content-type': 'application/json'},
		body: JSON.stringify({model: 'assistant-7b', messages: [{role: 'user', content: prompt}], stream: false}),
		dispatcher,
	});
	await answer.body.dump();
	const {signal} = new AbortController();
	const {events, next} = await readCacheEvents(engine.address, 0, dispatcher, signal);
	assert.deepEqual(events, [{kind: 'stored', blocks: hashPrompt(`user\n${prompt}\n`)}]);
	assert.deepEqual(await readCacheEvents(engine.address, next, dispatcher, signal), {events: [], next});
});

test('block names in another format are ignored, and a malformed answer is an error', async t => {
	// An engine may name its blocks differently. If such names were taken for block hashes, a daemon
	// would assume cached prefixes that do not exist and route long prompts to the wrong engine.
	let body: unknown = {events: [{seq: 0, kind: 'stored', blocks: ['block-7', 'ff', '0x1', '']}], next: 1};
	const engine = await startStandIn((_request, response) => {
		sendJson(response, {status: 200, body});
	});
	const dispatcher = new Agent();
	t.after(async () => {
		await dispatcher.close();
		await engine.close();
	});
	const {signal} = new AbortController();
	assert.deepEqual(await readCacheEvents(engine.address, 0, dispatcher, signal), {events: [{kind: 'stored', blocks: [255n]}], next: 1});
	body = {events: 'none'};
	await assert.rejects(readCacheEvents(engine.address, 0, dispatcher, signal));
});
