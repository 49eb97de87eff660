import assert from 'node:assert/strict';
import test from 'node:test';
import {askStream, reserve} from '@shallotpass/measure/caller-client.js';
import {callerKey, waitFor} from '@shallotpass/measure/local-fleet.js';
import {request} from 'undici';
import {startFleet} from './fleet-fixture.js';

test('a question is streamed whole and a plain answer comes back as it was given', async t => {
	const fleet = await startFleet(t);
	const [first, second] = fleet.daemons;
	const answers = await Promise.all(Array.from({length: 20}, async (_value, index) =>
		askStream({address: (index % 2 === 0 ? first : second)!.callers, marker: `m${index}`, tokens: 15})));
	for (const answer of answers) {
		assert.equal(answer.isWhole, true);
		assert.equal(answer.strayTokens, 0);
	}

	const plain = await reserve({
		address: first!.callers, key: undefined, body: '{"series": 1}', path: '/services/catalogue/find?x=1',
	});
	assert.equal(plain.status, 200);
	assert.equal(plain.body.echo, '{"series": 1}');
	assert.equal(fleet.services[0]!.executions.at(-1)?.path, '/find?x=1');
});

test('an answer without stream is passed on as one JSON object', async t => {
	const fleet = await startFleet(t, {daemons: 1});
	const response = await request(`http://${fleet.daemons[0]!.callers}/v1/chat/completions`, {
		method: 'POST',
		headers: {authorization: `Bearer ${callerKey}`},
		body: JSON.stringify({model: 'assistant-7b', messages: [{role: 'user', content: 'marker here'}], max_tokens: 3}),
	});
	const body = await response.body.json() as {choices: Array<{message: {content: string}}>};
	assert.equal(body.choices[0]?.message.content, 'marker:0 marker:1 marker:2 ');
	assert.match(String(response.headers['x-request-id']), /^[\da-f\-]{36}$/v);
});

test('a caller that goes away ends its work at the engine', async t => {
	// A farmer closes the dashboard while a long summary is written. Were the engine
	// left to finish it, other farmers would wait behind an answer that nobody reads.
	const fleet = await startFleet(t, {daemons: 1, engines: [{parameters: {stepMs: 5}}]});
	const gone = new AbortController();
	const asking = askStream({
		address: fleet.daemons[0]!.callers, marker: 'gone', tokens: 5000, signal: gone.signal, onToken(index) {
			if (index === 3) {
				gone.abort();
			}
		},
	});
	await assert.rejects(asking);
	await waitFor('the engine has stopped', () => fleet.engines[0]!.countRunning() === 0);
	assert.equal(fleet.engines[0]!.countCancelled(), 1);
});

type BrokenCase = {
	readonly name: string;
	readonly fault: Parameters<Awaited<ReturnType<typeof startFleet>>['engines'][0]['faults']['add']>[0];
};

const brokenCases: readonly BrokenCase[] = [
	{
		name: 'is cut in the middle', fault: {
			on: 'chat', kind: 'cut', afterChunks: 5, times: 1,
		},
	},
	{
		name: 'turns into broken SSE', fault: {
			on: 'chat', kind: 'break', afterChunks: 5, times: 1,
		},
	},
	{
		name: 'is mixed with chunks of another stream', fault: {
			on: 'chat', kind: 'mismatch', afterChunks: 5, times: 1,
		},
	},
	{
		name: 'goes silent for good', fault: {
			on: 'chat', kind: 'silent', afterChunks: 5, times: 1,
		},
	},
	{name: 'is refused before it begins', fault: {on: 'chat', kind: 'refuse', times: 1}},
];

for (const {name, fault} of brokenCases) {
	test(`a stream that ${name} goes on, each token once and in order`, async t => {
		// Something happens to one engine or to the connection to it while it answers. The
		// caller notices a short pause and no more: no token is missing, doubled or foreign.
		const fleet = await startFleet(t, {daemons: 1, limits: {quietStreamMs: 200}});
		for (const engine of fleet.engines) {
			engine.faults.add(fault);
		}

		const answer = await askStream({address: fleet.daemons[0]!.callers, marker: 'own', tokens: 20});
		assert.deepEqual({whole: answer.isWhole, stray: answer.strayTokens, tokens: answer.tokens}, {whole: true, stray: 0, tokens: 20});
	});
}

test('a stream that comes back to an engine which still runs it gets each token once', async t => {
	// An engine sends a foreign chunk and the stream is left; the engine goes on with it. The
	// only engine there is gets the resumed stream too. Were both answered, the farmer would
	// read words twice and out of order.
	const fleet = await startFleet(t, {daemons: 1, engines: [{parameters: {stepMs: 1}}]});
	for (let index = 0; index < 10; index++) {
		fleet.engines[0]!.faults.add({
			on: 'chat', kind: 'mismatch', afterChunks: 5, times: 1,
		});
		const answer = await askStream({address: fleet.daemons[0]!.callers, marker: `own${index}`, tokens: 20}); // eslint-disable-line no-await-in-loop -- one after the other
		assert.deepEqual({whole: answer.isWhole, stray: answer.strayTokens}, {whole: true, stray: 0});
	}
});

test('when no engine can go on, the stream ends with an error event and no end mark', async t => {
	// Every engine breaks every stream. The caller must be able to tell a broken answer from
	// a whole one, so the end mark is missing and the reason is the last event.
	const fleet = await startFleet(t, {daemons: 1});
	for (const engine of fleet.engines) {
		engine.faults.add({on: 'chat', kind: 'break', afterChunks: 2});
	}

	const answer = await askStream({address: fleet.daemons[0]!.callers, marker: 'own', tokens: 200});
	assert.equal(answer.isWhole, false);
	assert.equal(answer.strayTokens, 0);
	assert.equal(answer.problem?.kind, 'invalid_backend_answer');
	assert.equal(answer.problem?.executed, 'unknown');
});

test('a leaving engine gets nothing new and what it runs moves before it is taken away', async t => {
	// The cloud reclaims an instance on two seconds' notice while it streams a summary. The
	// farmer sees the summary go on; the engine sees no new request after the notice.
	const fleet = await startFleet(t, {daemons: 1, engines: [{parameters: {stepMs: 10}}, {parameters: {stepMs: 10}}]});
	const [daemon] = fleet.daemons;
	const streams = Array.from({length: 6}, async (_value, index) => askStream({address: daemon!.callers, marker: `r${index}`, tokens: 300}));
	// All six have arrived: one that was sent before the notice is known may well arrive after it.
	await waitFor('all streams run', () => fleet.engines.reduce((sum, engine) => sum + engine.countRunning(), 0) === streams.length);
	assert.ok(fleet.engines[0]!.countRunning() > 0);
	fleet.platform.cloud.giveNotice('engine-0', Date.now() + 2000);
	await waitFor('the notice is known', async () => {
		const text = await daemon!.environment.metrics.registry.getSingleMetricAsString('shallotpass_backends');
		return text.includes('state="leaving"} 1');
	});
	const before = fleet.engines[0]!.countRequests();
	const later = Array.from({length: 6}, async (_value, index) => askStream({address: daemon!.callers, marker: `l${index}`, tokens: 5}));
	await waitFor('the leaving engine is empty', () => fleet.engines[0]!.countRunning() === 0);
	await fleet.engines[0]!.close();
	const answers = await Promise.all([...streams, ...later]);
	assert.equal(fleet.engines[0]!.countRequests(), before);
	assert.deepEqual(answers.filter(answer => !answer.isWhole || answer.strayTokens > 0), []);
});
