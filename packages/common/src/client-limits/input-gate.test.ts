import assert from 'node:assert/strict';
import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import http from 'node:http';
import net, {type AddressInfo} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';
import test, {type TestContext} from 'node:test';
import fc from 'fast-check';
import {makeOwedAnswers} from '../owed-answers.js';
import {watchInput} from '../watch-input.js';
import {makeClientLedger} from './client-ledger.js';
import {computeClientLimits} from './client-limits.js';
import {guardListener, usualMaxAhead} from './guard-listener.js';
import {makeHeldBytes} from './held-bytes.js';
import {readRequestBody} from './read-request-body.js';

const startServer = async (t: TestContext, onRequest: (request: http.IncomingMessage, response: http.ServerResponse) => void) => {
	const answers = makeOwedAnswers();
	const ledger = makeClientLedger(computeClientLimits({memoryMb: 1000, heapBytes: 1_000_000_000, maxOpenFiles: 1000}));
	const server = http.createServer((request, response) => {
		if (answers.add(request, response)) {
			onRequest(request, response);
		} else {
			request.resume();
		}
	});
	watchInput({
		server, answers, formatError: ({kind}) => `HTTP/1.1 ${kind === 'headers_too_large' ? 431 : 400} Refused\r\nContent-Length: 0\r\n\r\n`, onUnreadable() {/* not looked at */}, refusesUpgrades: false,
	});
	guardListener({
		server, listener: 'callers', ledger, answers,
	});
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	t.after(() => {
		server.close();
		server.closeAllConnections();
	});
	const connect = () => {
		const socket = net.connect((server.address() as AddressInfo).port, '127.0.0.1');
		let received = '';
		socket.on('error', () => {/* It was closed. */});
		socket.on('data', chunk => {
			received += chunk.toString('latin1');
		});
		t.after(() => socket.destroy());
		return {socket, getReceived: () => received};
	};

	return {ledger, connect};
};

test('of requests that are sent ahead, only so many are read as answers may be owed, and all are answered in order', async t => {
	// Node made a request and a response of each of thousands of heads in a read before it answered any.
	const responses: http.ServerResponse[] = [];
	const {connect} = await startServer(t, (_request, response) => {
		responses.push(response);
	});
	const {socket, getReceived} = connect();
	const count = 2000;
	socket.write(Array.from({length: count}, (_value, index) => `GET /${index} HTTP/1.1\r\nHost: a\r\n\r\n`).join(''));
	await sleep(100);
	assert.equal(responses.length, usualMaxAhead);
	for (let answered = 0; answered < count; answered++) {
		while (responses.length <= answered) {
			await sleep(1); // eslint-disable-line no-await-in-loop -- requests come one after another
		}

		assert.ok(responses.length <= answered + usualMaxAhead + 1);
		responses[answered]!.end(responses[answered]!.req.url);
	}

	while (!getReceived().endsWith(`/${count - 1}`)) {
		await sleep(1); // eslint-disable-line no-await-in-loop -- a poll
	}

	assert.deepEqual([...getReceived().matchAll(/\r\n\r\n\/(?<index>\d+)/gv)].map(({groups}) => Number(groups?.index)), Array.from({length: count}, (_value, index) => index));
});

test('a head of many small fields is refused at the bound of its bytes as sent', async t => {
	// Node counts the names and values only, so that 64 kB of them were 65,536 fields.
	const {connect} = await startServer(t, (_request, response) => {
		response.end();
	});
	const {socket, getReceived} = connect();
	socket.write(`GET / HTTP/1.1\r\nHost: a\r\n${'a:\r\n'.repeat(20_000)}`);
	await once(socket, 'end');
	assert.match(getReceived(), /^HTTP\/1\.1 431 /v);
});

test('requests with bodies are read whole and answered in order, however their bytes are cut', async t => {
	// The gate cuts what it reads into pieces, holds it while a body is not read, and must lose and repeat nothing.
	const heldBytes = makeHeldBytes(100_000_000);
	const {connect, ledger} = await startServer(t, async (request, response) => {
		await sleep(1);
		const result = await readRequestBody(request, 1_000_000, heldBytes);
		response.end(result.kind === 'whole' ? `<${result.body.length}:${result.body.toString('hex').slice(-6)}>` : result.kind);
	});
	await fc.assert(fc.asyncProperty(
		fc.array(fc.record({bytes: fc.integer({min: 0, max: 40_000}), chunk: fc.option(fc.integer({min: 1, max: 5000}))}), {minLength: 1, maxLength: 12}),
		fc.array(fc.integer({min: 1, max: 30_000}), {minLength: 1, maxLength: 8}),
		async (requests, cuts) => {
			const bodies = requests.map(({bytes}, index) => Buffer.alloc(bytes, 'a\r\n\r\nb'.repeat(index + 1)).toString('latin1'));
			const text = requests.map(({chunk}, index) => {
				const body = bodies[index]!;
				if (chunk === null) {
					return `POST / HTTP/1.1\r\nHost: a\r\nContent-Length: ${body.length}\r\n\r\n${body}`;
				}

				const chunks = body.match(new RegExp(`[\\s\\S]{1,${Math.max(chunk, Math.ceil(body.length / 500))}}`, 'gv')) ?? [];
				return `POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n${chunks.map(part => `${part.length.toString(16)}\r\n${part}\r\n`).join('')}0\r\n\r\n`;
			}).join('');
			const {socket, getReceived} = connect();
			for (let sent = 0, index = 0; sent < text.length; index++) {
				const length = cuts[index % cuts.length]!;
				socket.write(text.slice(sent, sent + length), 'latin1');
				sent += length;
				await new Promise(setImmediate); // eslint-disable-line no-await-in-loop -- one write after the other
			}

			const expected = bodies.map(body => `<${body.length}:${Buffer.from(body).toString('hex').slice(-6)}>`);
			for (let waited = 0; getReceived().split('>').length <= expected.length && waited < 5000; waited++) {
				await sleep(1); // eslint-disable-line no-await-in-loop -- a poll
			}

			assert.deepEqual([...getReceived().matchAll(/<[^>]*>/gv)].map(([match]) => match), expected);
			socket.destroy();
		},
	), {seed: 79, numRuns: 40});
	await sleep(50);
	assert.equal(ledger.getTotals().inputBytes, 0);
});
