/** Stops listening for callers without cutting off any of them. */
import type http from 'node:http';
import net from 'node:net';
import {waitForPoll} from '../loop-monitor.js';
import {type CallerConnections} from './caller-connections.js';

/** Maximum number of connections waiting to be accepted. */
export const acceptBacklogLength = 1024;

/** Resolves when no connection waits to be accepted. Node accepts one in a turn of the loop. */
const waitForAccepts = async ({countAccepted}: CallerConnections): Promise<void> => {
	// No more can have waited. Callers may come without a pause.
	const end = countAccepted() + acceptBacklogLength;
	for (let accepted = -1; countAccepted() !== accepted && accepted < end;) {
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
