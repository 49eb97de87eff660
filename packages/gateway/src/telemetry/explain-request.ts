/** Collects the log lines that explain one request from the logs of several daemons. */
import * as z from 'zod';

const lineSchema = z.looseObject({time: z.number(), instance: z.string(), event: z.string()});

type Line = z.infer<typeof lineSchema>;

/** Events that change a daemon's state and may explain the outcome of a request. */
const stateEvents = new Set([
	'started',
	'configuration_taken',
	'configuration_unreadable',
	'store_lost',
	'store_regained',
	'directory_from_peer',
	'backend_joined',
	'backend_leaving',
	'backend_gone',
	'backend_restarted',
	'backend_unreachable',
	'backend_path_lost',
	'service_versions',
	'connection_broken',
	'paths_lost',
	'paths_regained',
	'backend_limit',
	'backend_brittle',
	'backend_rejection',
	'call_suspected',
	'crash_verdict',
	'crash_verdict_lifted',
	'crash_trial',
	'limit_reached',
	'account_near_limit',
	'spending_fell',
	'quota_keeper',
	'quota_keeper_silent',
	'quotas_settled',
	'quotas_unsettled',
	'draining',
	'stopped',
	'settings_taken',
	'settings_refused',
	'lines_left_out',
]);

/** State events from this time before the request's first line on are included. */
const stateLookbackMs = 5000;

const parseLine = (text: string): Line | undefined => {
	const start = text.indexOf('{');
	if (start === -1) {
		return undefined;
	}

	try {
		return lineSchema.safeParse(JSON.parse(text.slice(start))).data;
	} catch {
		// Not a log line of a daemon, such as a runtime message, or a truncated line.
		return undefined;
	}
};

const formatLine = ({time, instance, event, level, ...fields}: Line): string => {
	const details = Object.entries(fields).map(([key, value]) => `${key}=${typeof value === 'string' ? value : JSON.stringify(value)}`);
	return `${new Date(time).toISOString()} ${instance} ${event} ${details.join(' ')}`;
};

const isRelevant = (line: Line, backends: ReadonlySet<unknown>, accounts: ReadonlySet<unknown>): boolean => {
	if (line.backend !== undefined) {
		return backends.has(line.backend);
	}

	return line.account === undefined || accounts.has(line.account);
};

/** Lists the attempts of a caller at one stream: that which began it, and those that took it up. Of any other request, only itself. */
const listAttemptIds = (lines: readonly Line[], requestId: string): Set<unknown> => {
	const first = lines.find(({request, resumes}) => request === requestId && resumes !== undefined && resumes !== '')?.resumes ?? requestId;
	return new Set([requestId, first, ...lines.filter(({resumes}) => resumes === first).map(({request}) => request)]);
};

/**
 * Returns the lines of the request and of the state changes that may have affected it, in chronological
 * order. State changes are limited to the daemons that served the request, and to its backend servers
 * and client account.
 */
export const explainRequest = (requestId: string, logTexts: readonly string[]): string[] => {
	const lines = logTexts.flatMap(text => text.split('\n')).map(text => parseLine(text)).filter(line => line !== undefined);
	const attemptIds = listAttemptIds(lines, requestId);
	const ownLines = lines.filter(line => typeof line.request === 'string' && attemptIds.has(line.request));
	const instances = new Set(ownLines.map(line => line.instance));
	const backends = new Set(ownLines.map(line => line.backend).filter(backend => backend !== undefined));
	const accounts = new Set(ownLines.map(line => line.account).filter(account => account !== undefined));
	const first = Math.min(...ownLines.map(line => line.time));
	const last = Math.max(...ownLines.map(line => line.time));
	const stateLines = lines.filter(line => stateEvents.has(line.event) && instances.has(line.instance)
		&& line.time >= first - stateLookbackMs && line.time <= last && isRelevant(line, backends, accounts));
	return [...ownLines, ...stateLines]
		.toSorted((left, right) => left.time - right.time)
		.map(line => formatLine(line));
};
