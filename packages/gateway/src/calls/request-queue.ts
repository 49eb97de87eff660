/** Requests that were read before the program that serves them has been loaded. */
import type http from 'node:http';
import {watchConnection} from '@shallotpass/common/watch-connection.js';

/** When a request was read, and when it may have arrived at the earliest, on the steady clock. */
export type Arrival = {
	readonly readAt: number;
	readonly arrivedAt: number;
};

export type QueuedRequest = {
	readonly request: http.IncomingMessage;
	readonly response: http.ServerResponse;
	readonly arrival: Arrival;
};

export type RequestQueue = {
	/** Returns false if there is no room. */
	readonly enqueue: (queued: QueuedRequest) => boolean;
	/** Empties the queue and returns its requests in the order of their arrival, without those whose callers have left. */
	readonly dequeueAll: () => QueuedRequest[];
};

export const makeRequestQueue = (maxRequests: number): RequestQueue => {
	/** What stops watching the connection, by request. */
	const waiting = new Map<QueuedRequest, () => void>();
	return {
		enqueue(queued) {
			if (waiting.size >= maxRequests) {
				return false;
			}

			waiting.set(queued, watchConnection(queued.request.socket, () => {
				waiting.delete(queued);
			}));
			return true;
		},
		dequeueAll() {
			const requests = [...waiting.keys()];
			for (const stopWatching of waiting.values()) {
				stopWatching();
			}

			waiting.clear();
			return requests;
		},
	};
};
