import process from 'node:process';
import {type CallersServer} from '@shallotpass/gateway/calls/callers-server.js';

/** Refuses the requests that the server has read, and closes it. */
export const closeEarlyServer = async (server: CallersServer | undefined, detail: string): Promise<void> => {
	const owed = await server?.refuseAll({kind: 'draining', detail, retryAfterS: 0}) ?? 0;
	if (owed > 0) {
		process.stderr.write(`${owed} requests got no whole answer\n`);
	}
};
