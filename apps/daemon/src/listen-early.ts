/** Starts to listen for callers before the rest of the program is loaded. */
import {readFileSync} from 'node:fs';
import {makeClientLedger} from '@shallotpass/common/client-limits/client-ledger.js';
import {type CallersServer, openCallersServer} from '@shallotpass/gateway/calls/callers-server.js';
import {readClientLimits} from '@shallotpass/gateway/gateway-ledger.js';
import {wireFormat} from '@shallotpass/platform/wire-format.js';
import {parse} from 'smol-toml';

type EarlySettings = {
	readonly callers: string;
	readonly memoryMb: number | undefined;
	readonly maxOpenFiles: number | undefined;
};

const isTable = (value: unknown): value is Readonly<Record<string, unknown>> => typeof value === 'object' && value !== null;

const toPositive = (value: unknown): number | undefined => typeof value === 'number' && value > 0 ? value : undefined;

/** Reads what is needed of the settings file, which is not validated yet. Undefined without an address of the callers' listener. */
const readEarlySettings = (path: string): EarlySettings | undefined => {
	const {listen, instance} = parse(readFileSync(path, 'utf8'));
	if (!isTable(listen) || typeof listen.callers !== 'string') {
		return undefined;
	}

	const stated = isTable(instance) ? instance : {};
	return {callers: listen.callers, memoryMb: toPositive(stated.memory_mb), maxOpenFiles: toPositive(stated.max_open_files)};
};

/** Returns undefined on failure. The error is reported later, when the settings are validated and the daemon tries to listen again. */
export const listenEarly = async (path: string): Promise<CallersServer | undefined> => {
	try {
		const settings = readEarlySettings(path);
		return settings && await openCallersServer({
			address: settings.callers,
			ledger: makeClientLedger(readClientLimits(settings)),
			getRequestId: headers => wireFormat.parseCallerHeaders(headers).id,
		});
	} catch {
		return undefined;
	}
};
