/** Opens the requests that carry calls to backend servers and peers. There is no other way for a call to leave this daemon. */
import http from 'node:http';
import {limitFramingBytes} from '../limit-framing-bytes.js';
import {limitInformationalHeads} from '../limit-informational-heads.js';
import {ReadExcessError} from '../read-bounds.js';
import {type SendPermit} from './send-permit.js';

export type CallRequestOptions = {
	readonly request: http.RequestOptions;
	/** Shows that the send is counted if it may be a further arrival of its call. */
	readonly permit: SendPermit;
	/** Aborted when nobody waits for the answer any more. */
	readonly signal: AbortSignal;
	/** Ends the request when the signal is aborted. */
	readonly giveUp: (request: http.ClientRequest) => void;
};

/** Returns undefined if nobody waits for the answer; nothing is sent then. */
export const openCallRequest = ({request: options, signal, giveUp}: CallRequestOptions): http.ClientRequest | undefined => {
	// A signal that has aborted does not fire again.
	if (signal.aborted) {
		return undefined;
	}

	const request = http.request(options);
	const onAbort = (): void => {
		giveUp(request);
	};

	limitInformationalHeads(request, () => {
		request.destroy(new ReadExcessError('informational_heads'));
	});
	limitFramingBytes(request, () => {
		request.destroy(new ReadExcessError('unreadable'));
	});
	signal.addEventListener('abort', onAbort, {once: true});
	request.once('close', () => {
		signal.removeEventListener('abort', onAbort);
	});
	return request;
};

/** Requests that were given up. Node drops what was received of their answers and not read, and ends them as if they had been read. */
const givenUp = new WeakSet<http.ClientRequest>();

/** Whether the request was given up, so that a part of its answer may be lost. */
export const wasGivenUp = (request: http.ClientRequest): boolean => givenUp.has(request);

/** Gives the request up and closes its connection. */
export const closeRequest = (request: http.ClientRequest): void => {
	givenUp.add(request);
	request.destroy();
};

/** Gives the request up, resets its connection and discards what is still under way: after a regular close, a call that a failed link holds up would arrive later. */
export const resetRequest = (request: http.ClientRequest): void => {
	givenUp.add(request);
	request.socket?.resetAndDestroy();
	request.destroy();
};
