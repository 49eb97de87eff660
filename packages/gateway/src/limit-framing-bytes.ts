/**
 * Limits the bytes of an answer that are neither a field nor body: empty lines before it, spaces before the value of a field, zeros before the
 * size of a chunk. Node's client reads any number of them.
 */
import {EventEmitter} from 'node:events';
import type http from 'node:http';
import {type Buffer} from 'node:buffer';
import {maxFramingBytes, maxFramingBytesPerBodyByte} from './read-bounds.js';

/** Calls `onExcess` once if more of them come than a sound server sends. */
export const limitFramingBytes = (request: http.ClientRequest, onExcess: () => void): void => {
	let response: http.IncomingMessage | undefined;
	let readBytes = 0;
	let bodyBytes = 0;

	request.once('socket', socket => {
		const countRead = (chunk: Buffer): void => {
			readBytes += chunk.length;
			const passedBytes = bodyBytes + (response?.readableLength ?? 0);
			if (readBytes - passedBytes > maxFramingBytes + (passedBytes * maxFramingBytesPerBodyByte)) {
				socket.off('data', countRead);
				onExcess();
			}
		};

		// Node's parser listens first, so the body in a chunk has been counted.
		socket.on('data', countRead);
		request.once('close', () => {
			socket.off('data', countRead);
		});
	});
	request.on('information', () => {
		// Informational heads are limited by their number.
		readBytes = 0;
	});
	request.once('response', (begun: http.IncomingMessage) => {
		response = begun;
		// The method of streams would begin to read the body.
		EventEmitter.prototype.prependListener.call(begun, 'data', (chunk: Buffer) => {
			bodyBytes += chunk.length;
		});
	});
};
