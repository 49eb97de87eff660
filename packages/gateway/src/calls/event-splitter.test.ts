import {Buffer} from 'node:buffer';
import assert from 'node:assert/strict';
import test from 'node:test';
import fc from 'fast-check';
import {makeEventSplitter} from './event-splitter.js';

test('a partial event is not joined with the events of a resumed stream', () => {
	// Guards against corrupt events: a backend server crashes in the middle of an event, and the stream
	// is resumed on another one. Joining the two parts would form an event that neither of them sent.
	const splitter = makeEventSplitter();
	const first = splitter.push(Buffer.from('id: 1\ndata: a\n\nid: 2\nda'));
	assert.equal(first?.toString(), 'id: 1\ndata: a\n\n');
	assert.equal(splitter.getLastEventId(), '1');
	assert.equal(splitter.hasPartialEvent(), true);
	splitter.discardPartialEvent();
	assert.equal(splitter.push(Buffer.from('id: 2\ndata: b\n\n'))?.toString(), 'id: 2\ndata: b\n\n');
	assert.equal(splitter.getLastEventId(), '2');
});

test('events are unchanged for any chunking of the bytes', () => {
	fc.assert(fc.property(fc.array(fc.string({unit: fc.constantFrom('a', 'b', ':'), maxLength: 9}), {minLength: 1, maxLength: 12}), fc.array(fc.nat(40), {maxLength: 20}), (payloads, chunkLengths) => {
		const bytes = Buffer.from(payloads.map((payload, index) => `id: ${index}\ndata: ${payload}\n\n`).join(''));
		const splitter = makeEventSplitter();
		const output: Buffer[] = [];
		let position = 0;
		for (const chunkLength of [...chunkLengths, bytes.length]) {
			const chunk = bytes.subarray(position, position + chunkLength);
			position += chunk.length;
			const events = chunk.length > 0 ? splitter.push(chunk) : undefined;
			if (events) {
				output.push(events);
				assert.equal(events.subarray(-2).toString(), '\n\n');
			}
		}

		assert.equal(Buffer.concat(output).toString(), bytes.toString());
		assert.equal(splitter.hasPartialEvent(), false);
		assert.equal(splitter.getLastEventId(), String(payloads.length - 1));
	}), {seed: 1});
});
