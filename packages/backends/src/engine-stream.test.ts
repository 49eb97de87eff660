import assert from 'node:assert/strict';
import net from 'node:net';
import test, {type TestContext} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import {makeBackendConnections} from './backend-connections.js';
import {initialStreamPosition, type StreamBatch} from './collect-chunks.js';
import {streamEngine} from './engine-stream.js';

const head = 'HTTP/1.1 102 Processing\r\n\r\n';
const chunk = JSON.stringify({
	id: 'c', object: 'chat.completion.chunk', created: 1, model: 'm', choices: [{index: 0, delta: {content: 'word'}, finish_reason: null}], // eslint-disable-line @typescript-eslint/naming-convention -- a name of the OpenAI format
});
const answer = `HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\ndata: ${chunk}\n\ndata: [DONE]\n\n`;

/** Streams from an engine that answers each request so. Returns what arrived. */
const stream = async (t: TestContext, respond: (socket: net.Socket) => Promise<void>): Promise<string> => {
	const server = net.createServer(socket => {
		socket.on('error', () => {/* The connection may be given up. */});
		socket.once('data', () => {
			void respond(socket);
		});
	});
	await new Promise<void>(resolve => {
		server.listen({host: '127.0.0.1', port: 0}, resolve);
	});
	const connections = makeBackendConnections();
	t.after(async () => {
		await connections.close();
		server.close();
	});
	let text = '';
	await streamEngine({
		address: `127.0.0.1:${(server.address() as net.AddressInfo).port}`, body: {}, priority: 0, requestId: 'r', position: initialStreamPosition, signal: AbortSignal.timeout(20_000),
	}, connections, {
		write(batch: StreamBatch) {
			text += batch.text;
			return true;
		},
		async waitForDrain() {/* Its buffer is never full. */},
	});
	return text;
};

test('a stream is served that begins with informational heads', async t => {
	// A sound engine may send some while it reads a long prompt.
	const text = await stream(t, async socket => {
		for (let sent = 0; sent < 40; sent++) {
			socket.write(head);
			await sleep(5); // eslint-disable-line no-await-in-loop -- one head after the other
		}

		socket.end(answer);
	});
	assert.match(text, /word/v);
});

test('a stream fails whose informational heads do not end', async t => {
	// It would be read for good.
	await assert.rejects(stream(t, async socket => {
		while (!socket.destroyed) {
			socket.write(head.repeat(500));
			await sleep(1); // eslint-disable-line no-await-in-loop -- until the connection is closed
		}
	}), /informational heads/v);
});
