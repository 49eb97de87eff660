/** Stops listening for callers without cutting off any of them. */
import type http from 'node:http';
import net from 'node:net';
import {performance} from 'node:perf_hooks';
import {waitForPoll} from '../loop-monitor.js';
import {type CallerConnections} from './caller-connections.js';

/** Maximum number of connections waiting to be accepted. */
export const acceptBacklogLength = 1024;

/** Callers may come without a pause, and a busy loop takes seconds to accept as many connections as can wait: the drain would end without its last answers. */
const maxAcceptMs = 500;

/** Resolves when no connection waits to be accepted, or the time for it is over. Node accepts one in a turn of the loop. */
const waitForAccepts = async ({countAccepted}: CallerConnections): Promise<void> => {
	// No more can have waited.
	const end = countAccepted() + acceptBacklogLength;
	const endAt = performance.now() + maxAcceptMs;
	for (let accepted = -1; countAccepted() !== accepted && accepted < end && performance.now() < endAt;) {
		accepted = countAccepted();
		await waitForPoll(); // eslint-disable-line no-await-in-loop -- a poll
	}
};

/** Stops listening once the connections that wait to be accepted are accepted and what they have sent is read. The open ones stay. */
export const stopAccepting = async (server: http.Server, connections: CallerConnections): Promise<void> => {
	await waitForAccepts(connections);
	// That of `http.Server` would destroy connections whose answers are written but not sent.
	net.Server.prototype.close.call(server);
	await waitForPoll();
};
