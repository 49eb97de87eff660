import assert from 'node:assert/strict';
import {test} from 'node:test';
import {hashPrompt} from '@shallotpass/core/routing/hash-prompt.js';
import {startEngineStandIn} from '@shallotpass/stand-ins/engine-stand-in.js';
import {startStandIn, sendJson} from '@shallotpass/stand-ins/http-stand-in.js';
import {Agent, request} from 'undici';
import {readCacheEvents} from '@shallotpass/backends/engine-events.js';

const history = 'issue 1 of the series, ordered in May; '.repeat(60);

test('events name the blocks of a prompt as the prompt is hashed here, and go on where they were left', async t => {
	const engine = await startEngineStandIn({models: ['assistant-7b'], parameters: {stepMs: 1}});
	const dispatcher = new Agent();
	t.after(async () => {
		await dispatcher.close();
		await engine.close();
	});
	const answer = await request(`http://${engine.address}/v1/chat/completions`, {
		method: 'POST',
		headers: {'content-type': 'application/json'},
		body: JSON.stringify({model: 'assistant-7b', messages: [{role: 'user', content: history}], stream: false}),
		dispatcher,
	});
	await answer.body.dump();
	const {signal} = new AbortController();
	const {events, next} = await readCacheEvents(engine.address, 0, dispatcher, signal);
	assert.deepEqual(events, [{kind: 'stored', blocks: hashPrompt(`user\n${history}\n`)}]);
	assert.deepEqual(await readCacheEvents(engine.address, next, dispatcher, signal), {events: [], next});
});

test('blocks named by another scheme are left out, and an answer of another form is an error', async t => {
	// An engine names its blocks its own way. Taken for ours they would make a daemon believe
	// in prefixes that are not there, and read long histories anew at the wrong engine.
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
