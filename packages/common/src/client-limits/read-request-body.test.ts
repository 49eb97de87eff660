import assert from 'node:assert/strict';
import {Buffer} from 'node:buffer';
import type {IncomingMessage} from 'node:http';
import {Readable} from 'node:stream';
import test from 'node:test';
import {makeHeldBytes} from './held-bytes.js';
import {readRequestBody} from './read-request-body.js';

const makeRequest = (chunkBytes: readonly number[], headers: IncomingMessage['headers'] = {}): IncomingMessage => {
	const request = new Readable({read() {/* All is pushed below. */}});
	for (const bytes of chunkBytes) {
		request.push(Buffer.alloc(bytes));
	}

	request.push(null);
	return Object.assign(request, {headers}) as IncomingMessage;
};

test('a body of which the last chunk exceeds the limit is too large, though it ends at once', async () => {
	// The end of the body came before the result, and what had been read until then was taken for the whole body.
	for (const chunkBytes of [[5000], [3000, 3000], [4096, 1], [4000, 4000, 4000]]) {
		const result = await readRequestBody(makeRequest(chunkBytes), 4096, makeHeldBytes(1_000_000)); // eslint-disable-line no-await-in-loop -- one after another
		assert.equal(result.kind, 'too_large', String(chunkBytes));
	}
});

test('a body at the limit is whole', async () => {
	const result = await readRequestBody(makeRequest([4000, 96]), 4096, makeHeldBytes(1_000_000));
	assert.deepEqual(result.kind === 'whole' && result.body, Buffer.alloc(4096));
});

test('a large body for which there is no room is refused, and holds nothing', async () => {
	for (const [chunkBytes, headers] of [[[200_000], {'content-length': '200000'}], [[50_000, 100_000, 50_000], {}]] as const) {
		const heldBytes = makeHeldBytes(100_000);
		const result = await readRequestBody(makeRequest(chunkBytes, headers), 4_194_304, heldBytes); // eslint-disable-line no-await-in-loop -- one after another
		assert.deepEqual([result.kind, heldBytes.count()], ['no_room', 0]);
	}
});
