import assert from 'node:assert/strict';
import {Buffer} from 'node:buffer';
import type {IncomingMessage} from 'node:http';
import {Readable} from 'node:stream';
import test from 'node:test';
import {readRequestBody} from './read-request-body.js';

const makeRequest = (chunkBytes: readonly number[]): IncomingMessage => {
	const request = new Readable({read() {/* All is pushed below. */}});
	for (const bytes of chunkBytes) {
		request.push(Buffer.alloc(bytes));
	}

	request.push(null);
	return request as IncomingMessage;
};

test('a body of which the last chunk exceeds the limit is too large, though it ends at once', async () => {
	// The end of the body came before the result, and what had been read until then was taken for the whole body.
	for (const chunkBytes of [[5000], [3000, 3000], [4096, 1], [4000, 4000, 4000]]) {
		const result = await readRequestBody(makeRequest(chunkBytes), 4096); // eslint-disable-line no-await-in-loop -- one after another
		assert.equal(result.kind, 'too_large', String(chunkBytes));
	}
});

test('a body at the limit is whole', async () => {
	assert.deepEqual(await readRequestBody(makeRequest([4000, 96]), 4096), {kind: 'whole', body: Buffer.alloc(4096)});
});
