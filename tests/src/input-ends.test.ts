import assert from 'node:assert/strict';
import test, {type TestContext} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import {callerKey, waitFor} from '@shallotpass/measure/local-fleet.js';
import {parseAnswers, type RawAnswer} from '@shallotpass/platform/stand-ins/parse-answers.js';
import {openRawCaller, type RawCaller} from '@shallotpass/platform/stand-ins/raw-caller.js';
import {type Fleet, startFleet} from './fleet-fixture.js';

const bodyWithinMs = 1500;
const runMs = 700;
/** Longer than a head or a body may take, with the time after which Node.js finds that. */
const longRunMs = 2700;
const stepMs = 25;

const makePost = (path: string, body: string, fields: readonly string[] = []): string =>
	[`POST ${path} HTTP/1.1`, 'Host: x', `Authorization: Bearer ${callerKey}`, ...fields, `Content-Length: ${body.length}`, '', body].join('\r\n');

type Call = {
	readonly name: string;
	readonly text: string;
	readonly isWhole: (answer: RawAnswer) => boolean;
};

const makeCalls = (streamMs: number): readonly [stream: Call, repeatable: Call, reservation: Call] => {
	const tokens = streamMs / stepMs;
	const chat = JSON.stringify({
		model: 'assistant-7b', stream: true, max_tokens: tokens, messages: [{role: 'user', content: 'a asks'}],
	});
	return [
		{name: 'a stream', text: makePost('/v1/chat/completions', chat), isWhole: ({body}) => body.includes(`a:${tokens - 1} `) && body.includes('[DONE]')},
		{name: 'a repeatable call', text: makePost('/services/catalogue/x', '{}'), isWhole: ({body}) => body.includes('echo')},
		{name: 'a reservation', text: makePost('/services/reservations/x', '{}', ['Idempotency-Key: k-1']), isWhole: ({body}) => body.includes('echo')},
	];
};

const [, repeatable, reservation] = makeCalls(runMs);

const inputs: ReadonlyArray<{readonly name: string; readonly text: string; readonly status: number; readonly isLate?: boolean}> = [
	{name: 'bytes that are no HTTP', text: 'HELO shallotpass\r\n\r\n', status: 400},
	{name: 'a head that is too large', text: `GET /v1/models HTTP/1.1\r\nHost: x\r\nX-Long: ${'a'.repeat(40_000)}\r\n\r\n`, status: 431},
	{name: 'a bad chunk', text: `POST /services/catalogue/x HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer ${callerKey}\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nxx\r\nzz\r\n`, status: 400},
	{name: 'an upgrade', text: 'GET /v1/models HTTP/1.1\r\nHost: x\r\nConnection: upgrade\r\nUpgrade: websocket\r\n\r\n', status: 400},
	{name: 'a CONNECT', text: 'CONNECT x:443 HTTP/1.1\r\nHost: x\r\n\r\n', status: 405},
	{
		name: 'half a head', text: 'GET /v1/models HTTP/1.1\r\nHost: x\r\nX-', status: 408, isLate: true,
	},
	{
		name: 'half a body', text: makePost('/services/catalogue/x', 'x'.repeat(100)).slice(0, -50), status: 408, isLate: true,
	},
	{name: 'a body that is too large', text: makePost('/services/catalogue/x', 'x'.repeat(1_000_000)), status: 413},
];

const start = async (t: TestContext, options: Parameters<typeof startFleet>[1], delayMs = runMs): Promise<{readonly fleet: Fleet; readonly address: string}> => {
	const fleet = await startFleet(t, {daemons: 1, engines: [{parameters: {stepMs}}], ...options});
	fleet.services[0]!.faults.add({on: 'call', kind: 'delay', delayMs});
	return {fleet, address: fleet.daemons[0]!.callers};
};

const checkAnswers = async (caller: RawCaller, {name, isWhole}: Call, status: number): Promise<void> => {
	await waitFor(`${name}: the connection is closed`, caller.isClosed);
	const [first, ...others] = parseAnswers(caller.getReceived());
	assert.ok(first?.status === 200 && first.isComplete && isWhole(first), `${name}: ${caller.getReceived().slice(0, 2000)}`);
	assert.deepEqual(others.map(({status: answered, isComplete}) => [answered, isComplete]), [[status, true]], `${name}: ${caller.getReceived().slice(-1000)}`);
	assert.ok(!caller.isReset());
	caller.leave('close');
};

for (const {name, text, status, isLate = false} of inputs) {
	test(`answers that are under way are whole though ${name} follows on their connection`, async t => {
		// The refusal was written in the middle of the answer, or instead of it, and ended the connection.
		const {address} = await start(t, {limits: {maxBodyBytes: 20_000, headersWithinMs: 500, bodyWithinMs}}, isLate ? longRunMs : runMs);
		await Promise.all(makeCalls(isLate ? longRunMs : runMs).flatMap(call => [0, 200].map(async afterMs => {
			const caller = await openRawCaller(address);
			caller.sendText(call.text);
			await sleep(afterMs);
			caller.sendText(text);
			await checkAnswers(caller, call, status);
		})));
	});
}

test('a request on a connection beyond the limit is refused and does not run', async t => {
	// The connection was refused with 503, and then its request was read and run.
	const {fleet, address} = await start(t, {limits: {maxConnections: 1}});
	const first = await openRawCaller(address);
	const second = await openRawCaller(address);
	second.sendText(reservation.text);
	await waitFor('the second one is refused', second.isClosed);
	await sleep(300);
	assert.deepEqual(parseAnswers(second.getReceived()).map(({status, isComplete}) => [status, isComplete]), [[503, true]]);
	assert.ok(!second.isReset());
	assert.equal(fleet.services[0]!.countReceived(), 0);
	first.leave('close');
	second.leave('close');
});

test('a chunked body that is too large is refused behind an answer under way, and what follows it does not run', async t => {
	// The request behind was run, and the connection closed without its answer.
	const {fleet, address} = await start(t, {limits: {maxBodyBytes: 20_000}});
	const caller = await openRawCaller(address);
	const chunk = `4000\r\n${'x'.repeat(0x40_00)}\r\n`;
	const head = `POST /services/catalogue/x HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer ${callerKey}\r\nTransfer-Encoding: chunked\r\n\r\n`;
	caller.sendText(`${reservation.text}${head}${chunk.repeat(200)}0\r\n\r\n${repeatable.text}`);
	await checkAnswers(caller, reservation, 413);
	assert.equal(fleet.countExecutions(), 1);
});

test('a request that was read with a body that is too large before it is answered', async t => {
	// It comes in the same read as the end of that body, so it is passed on before the refusal is written.
	const {address} = await start(t, {limits: {maxBodyBytes: 1000}});
	const caller = await openRawCaller(address);
	caller.sendText(makePost('/services/catalogue/x', 'x'.repeat(2000)) + reservation.text);
	await waitFor('both are answered', () => parseAnswers(caller.getReceived()).length === 2 || caller.isClosed());
	const [first, second] = parseAnswers(caller.getReceived());
	assert.equal(first?.status, 413);
	assert.ok(second !== undefined && reservation.isWhole(second), caller.getReceived());
	caller.leave('close');
});

test('a request without a host is refused, and one that came with it is answered', async t => {
	// Node closed the connection behind its own refusal, while the other request ran.
	const {fleet, address} = await start(t, {});
	const caller = await openRawCaller(address);
	caller.sendText(`GET /v1/models HTTP/1.1\r\n\r\n${reservation.text}`);
	await waitFor('both are answered', () => parseAnswers(caller.getReceived()).length === 2 || caller.isClosed());
	await waitFor('the call has run', () => fleet.countExecutions() === 1);
	const [first, second] = parseAnswers(caller.getReceived());
	assert.equal(first?.status, 400);
	assert.ok(second !== undefined && reservation.isWhole(second), caller.getReceived());
	caller.leave('close');
});
