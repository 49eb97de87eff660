import assert from 'node:assert/strict';
import http from 'node:http';
import {type AddressInfo} from 'node:net';
import test, {type TestContext} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import {type Attempt} from './run-at-backend.js';
import {type FirstEventFinding, waitForFirstEvent} from './wait-for-first-event.js';

type Writer = (response: http.ServerResponse) => Promise<void> | void;

const never = new AbortController().signal;

/** Fetches an answer, waits for its first event, and returns what was found and all that is read after it. */
const play = async (t: TestContext, write: Writer, signal = never): Promise<{finding: FirstEventFinding; body: string}> => {
	const server = http.createServer((_request, response) => {
		response.flushHeaders();
		void write(response);
	});
	await new Promise<void>(resolve => {
		server.listen(0, '127.0.0.1', resolve);
	});
	t.after(() => {
		server.close();
		server.closeAllConnections();
	});
	const response = await new Promise<http.IncomingMessage>(resolve => {
		http.get({host: '127.0.0.1', port: (server.address() as AddressInfo).port, agent: false}, resolve);
	});
	const attempt = {isComplete: async () => response.complete} as unknown as Attempt; // Nothing else of it is asked.
	const finding = await waitForFirstEvent({response, attempt}, signal);
	if (finding !== 'accepted' || response.closed) {
		response.destroy();
		return {finding, body: ''};
	}

	const chunks: Uint8Array[] = [];
	for await (const chunk of response) {
		chunks.push(chunk as Uint8Array);
	}

	return {finding, body: chunks.map(chunk => new TextDecoder().decode(chunk)).join('')};
};

const events = 'id: 1\ndata: a\n\nid: 2\ndata: b\n\n';

test('an answer that ends with the bytes that were looked at loses none of them', async t => {
	assert.deepEqual(await play(t, response => {
		response.end(events);
	}), {finding: 'accepted', body: events});
});

test('an answer whose first event comes in parts loses none of them', async t => {
	assert.deepEqual(await play(t, async response => {
		for (const part of events.match(/[\s\S]{1,7}/gv)!) {
			response.write(part);
			await sleep(5); // eslint-disable-line no-await-in-loop -- one part after the other
		}

		response.end();
	}), {finding: 'accepted', body: events});
});

test('an answer without an event is accepted a while after its head, with what came of the event', async t => {
	// The run before it must not work on beside it for long.
	assert.deepEqual(await play(t, async response => {
		response.write(events.slice(0, 9));
		await sleep(500);
		response.end(events.slice(9));
	}), {finding: 'accepted', body: events});
});

test('an answer that breaks off, or sends comments only, is not accepted', async t => {
	const broken = await play(t, async response => {
		response.write(events.slice(0, 9));
		await sleep(20);
		response.destroy();
	});
	const comments = await play(t, response => {
		response.write(': waiting\n\n'.repeat(10_000));
	});
	assert.deepEqual([broken.finding, comments.finding], ['without_event', 'without_event']);
});

test('an empty rest of a stream is accepted', async t => {
	const {finding} = await play(t, response => {
		response.end();
	});
	assert.equal(finding, 'accepted');
});

test('an answer is not waited for once the run before it goes on', async t => {
	const goingOn = new AbortController();
	setTimeout(() => {
		goingOn.abort();
	}, 20);
	const {finding} = await play(t, () => {/* sends nothing */}, goingOn.signal);
	assert.equal(finding, 'aborted');
});
