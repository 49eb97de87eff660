/** Starts to listen for callers before the rest of the program is loaded. */
import {readFileSync} from 'node:fs';
import {type CallersServer, openCallersServer} from '@shallotpass/gateway/calls/callers-server.js';
import {wireFormat} from '@shallotpass/platform/wire-format.js';
import {parse} from 'smol-toml';

/** Reads the address of the callers' listener from the settings file, which is not validated yet. */
const readCallersAddress = (path: string): string | undefined => {
	const {listen} = parse(readFileSync(path, 'utf8'));
	const callers = typeof listen === 'object' && 'callers' in listen ? listen.callers : undefined;
	return typeof callers === 'string' ? callers : undefined;
};

/** Returns undefined on failure. The error is reported later, when the settings are validated and the daemon tries to listen again. */
export const listenEarly = async (path: string): Promise<CallersServer | undefined> => {
	try {
		const address = readCallersAddress(path);
		return address === undefined ? undefined : await openCallersServer({address, getRequestId: headers => wireFormat.parseCallerHeaders(headers).id});
	} catch {
		return undefined;
	}
};
