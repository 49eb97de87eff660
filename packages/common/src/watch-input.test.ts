import assert from 'node:assert/strict';
import {once} from 'node:events';
import http from 'node:http';
import net, {type AddressInfo} from 'node:net';
import test, {type TestContext} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import {closeGently, discardInput} from './close-gently.js';
import {makeOwedAnswers, type OwedAnswers} from './owed-answers.js';
import {watchInput} from './watch-input.js';

type Served = {
	readonly answers: OwedAnswers;
	readonly caller: net.Socket;
	readonly getReceived: () => string;
};

/** How long a head and a request may take, in milliseconds. */
const withinMs = 400;

const startServer = async (t: TestContext, handle: http.RequestListener, onConnection: (socket: net.Socket) => void = () => {/* Nothing. */}): Promise<Served> => {
	const answers = makeOwedAnswers();
	const server = http.createServer({
		headersTimeout: withinMs, requestTimeout: withinMs, connectionsCheckingInterval: 20, keepAliveTimeout: 60_000,
	}, (request, response) => {
		answers.add(request, response);
		handle(request, response);
	});
	watchInput({
		server, answers, refusesUpgrades: true, formatError: ({kind}) => `HTTP/1.1 400 ${kind}\r\nContent-Length: 0\r\nConnection: close\r\n\r\n`, onUnreadable() {/* Not looked at. */},
	});
	server.on('connection', onConnection);
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	let received = '';
	const caller = net.connect({port: (server.address() as AddressInfo).port, host: '127.0.0.1', allowHalfOpen: true});
	caller.on('error', () => {/* It is closed. */});
	caller.on('data', chunk => {
		received += chunk.toString();
	});
	t.after(() => {
		caller.destroy();
		server.close();
		server.closeAllConnections();
	});
	return {answers, caller, getReceived: () => received};
};

const waitUntil = async (check: () => boolean): Promise<void> => {
	while (!check()) {
		await sleep(5); // eslint-disable-line no-await-in-loop -- a poll
	}
};

const get = 'GET / HTTP/1.1\r\nHost: a\r\n\r\n';
const halfPost = 'POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n\r\nxx';

/** Answers a GET when it is let, and a POST when its body was read. */
const startHeldServer = async (t: TestContext) => {
	const held: http.ServerResponse[] = [];
	const served = await startServer(t, (request, response) => {
		if (request.method === 'GET') {
			held.push(response);
			return;
		}

		request.resume();
		request.once('end', () => response.end('read'));
		request.once('error', () => response.writeHead(408).end('unread'));
	});
	return {...served, held};
};

test('the time for a body counts from when the answer before it is out', async t => {
	const {caller, held, getReceived} = await startHeldServer(t);
	caller.write(get + halfPost);
	await waitUntil(() => held.length === 1);
	await sleep(2 * withinMs);
	held[0]!.end('first');
	await waitUntil(() => getReceived().endsWith('first'));
	caller.write('xx');
	await waitUntil(() => getReceived().endsWith('read'));
});

test('a body that does not come after the answer before it is given up, and answered with an error', async t => {
	const {answers, caller, held, getReceived} = await startHeldServer(t);
	caller.write(get + halfPost);
	await waitUntil(() => held.length === 1);
	held[0]!.end('first');
	await waitUntil(() => caller.readableEnded);
	assert.match(getReceived(), /first.*408.*Connection: close.*unread/sv);
	assert.equal(answers.count(), 0);
});

test('a head that does not come after the answer before it is given up', async t => {
	const {caller, held, getReceived} = await startHeldServer(t);
	caller.write(get + get.slice(0, 10));
	await waitUntil(() => held.length === 1);
	held[0]!.end('first');
	await waitUntil(() => caller.readableEnded);
	assert.match(getReceived(), /first.*request_timeout/sv);
});

test('a connection that was closed on this side ends in time though its caller keeps it open', async t => {
	let server: net.Socket | undefined;
	const {caller} = await startServer(t, () => {/* No request comes. */}, socket => {
		server = socket;
		closeGently(socket, {withinMs: 100, discardedBytes: 1000});
	});
	await waitUntil(() => caller.readableEnded);
	await waitUntil(() => server!.destroyed);
});

test('bytes beyond the bound are left unread', async t => {
	// A caller that sends without end would keep the process busy.
	let server: net.Socket | undefined;
	const {caller} = await startServer(t, () => {/* No request is read. */}, socket => {
		server = socket;
		discardInput(socket, {withinMs: 0, discardedBytes: 100_000});
	});
	const total = 64 * 1_048_576;
	caller.write(new Uint8Array(total));
	await waitUntil(() => server?.isPaused() === true);
	await sleep(100);
	assert.ok(server!.bytesRead < 1_048_576, `${server!.bytesRead}`);
	assert.ok(caller.writableLength > 0);
});

test('a body that does not come is given up though its head was late behind an answer', async t => {
	// Node tells once that a request is late, so the time for the rest of it was not watched any more.
	const {answers, caller, held, getReceived} = await startHeldServer(t);
	caller.write(get + halfPost.slice(0, 10));
	await waitUntil(() => held.length === 1);
	await sleep(2 * withinMs);
	caller.write(halfPost.slice(10));
	await waitUntil(() => answers.count() === 2);
	held[0]!.end('first');
	await waitUntil(() => caller.readableEnded);
	assert.match(getReceived(), /first.*408.*Connection: close.*unread/sv);
	assert.equal(answers.count(), 0);
});

test('a body that does not come is given up though its head came late after the answer before it', async t => {
	const {answers, caller, held, getReceived} = await startHeldServer(t);
	caller.write(get + halfPost.slice(0, 10));
	await waitUntil(() => held.length === 1);
	await sleep(2 * withinMs);
	held[0]!.end('first');
	await waitUntil(() => getReceived().endsWith('first'));
	caller.write(halfPost.slice(10));
	await waitUntil(() => caller.readableEnded);
	assert.match(getReceived(), /first.*408.*Connection: close.*unread/sv);
	assert.equal(answers.count(), 0);
});
