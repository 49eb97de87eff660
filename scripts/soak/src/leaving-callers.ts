/** Callers that leave before they have an answer, at any moment and in any way, and the check that no work goes on for them. */
import {setTimeout as sleep} from 'node:timers/promises';
import {openRawCaller, type RawRequest, waysToLeave} from '@shallotpass/platform/stand-ins/raw-caller.js';
import {type RouteName} from '@shallotpass/platform/stand-ins/send-call.js';
import {type History, type LeavingCall} from './history.js';
import {type SoakCluster} from './soak-cluster.js';

/** Number of such callers. */
export const leavingCallers = 4;

/** Longest time that a caller stays. */
const maxStayMs = 400;

/** Share of the callers that leave at once, in the same turn of their loop. */
const atOnceShare = 0.3;

/** Share of the callers that send two requests at once. */
const pairShare = 0.3;

/** Time that a run of theirs takes, so that it would last well beyond the check. */
const runMs = 2500;

const maxPauseMs = 120;

/** Routes whose runs may be ended. */
const routes: readonly RouteName[] = ['read', 'ask', 'draft'];

export type LeavingCallerOptions = {
	readonly cluster: SoakCluster;
	readonly name: string;
	readonly random: () => number;
	/** No new call is started after this signal is aborted. */
	readonly signal: AbortSignal;
};

/** Sends one or two requests and leaves. Returns nothing if the daemon takes no connection. */
const sendAndLeave = async ({cluster, random}: LeavingCallerOptions, id: string): Promise<LeavingCall[]> => {
	const pickOne = <Item>(items: readonly Item[]): Item => items[Math.floor(random() * items.length)]!;
	const daemon = pickOne(cluster.daemons);
	const ids = random() < pairShare ? [`${id}-a`, `${id}-b`] : [id];
	const requests = ids.map((requestId): RawRequest => ({
		route: pickOne(routes),
		id: requestId,
		// No two are alike, or those under way when servers are killed would count as one request that ends servers.
		query: `?of=${requestId}`,
		headers: {'X-Run-Ms': String(runMs)}, // eslint-disable-line @typescript-eslint/naming-convention -- a header field
	}));
	const stayMs = random() < atOnceShare ? 0 : random() * maxStayMs;
	const how = pickOne(waysToLeave);
	try {
		const caller = await openRawCaller(daemon.process.settings.listen.callers);
		caller.send(...requests);
		if (stayMs > 0) {
			await sleep(stayMs);
		}

		caller.leave(how);
		const leftAt = performance.now();
		return requests.map(({id: requestId, route}) => ({
			id: requestId, route, daemon: daemon.process.id, leftAt,
		}));
	} catch {
		return [];
	}
};

/** Sends requests and leaves until the signal is aborted. */
export const runLeavingCaller = async (options: LeavingCallerOptions): Promise<LeavingCall[]> => {
	const calls: LeavingCall[] = [];
	for (let index = 0; !options.signal.aborted; index++) {
		calls.push(...await sendAndLeave(options, `${options.name}-${index}`)); // eslint-disable-line no-await-in-loop -- one after the other
		await sleep(options.random() * maxPauseMs); // eslint-disable-line no-await-in-loop -- one after the other
	}

	return calls;
};

/** Time after which requests may not reach backend servers, and runs may not go on, as the users' rule states them. */
const toleranceMs = 500;

/** Late arrivals, and the share of runs still at work, that the rule allows. */
const allowedLate = 3;
const allowedAtWorkShare = 0.25;

/** Fewer runs say nothing about a share. */
const minRuns = 12;

/** A daemon that is stopped cannot end its runs, and a link that fails holds up what was sent in time. */
const isExcused = ({disturbances, linkDisturbances}: History, backend: string, {daemon, leftAt}: LeavingCall): boolean =>
	disturbances.some(span => (span.daemon === undefined || span.daemon === daemon) && span.from <= leftAt + toleranceMs && span.until >= leftAt)
	|| linkDisturbances.some(span => span.backend === backend && span.from <= leftAt + toleranceMs && span.until >= leftAt);

/** A daemon that was suspended reads the request and the close together, so its suspension excuses nothing. Disturbances of all daemons, such as outages of the store, and failed links do. */
const isArrivalExcused = ({disturbances, linkDisturbances}: History, backend: string, {leftAt}: LeavingCall, at: number): boolean =>
	disturbances.some(span => span.daemon === undefined && span.from <= at && span.until >= leftAt)
	|| linkDisturbances.some(span => span.backend === backend && span.from <= at && span.until >= leftAt);

const findLateArrivals = (history: History, calls: ReadonlyMap<string, LeavingCall>): string[] => {
	const late = history.arrivals.filter(({id, backend, at}) => {
		const call = calls.get(id);
		return call !== undefined && at > call.leftAt + toleranceMs && !isArrivalExcused(history, backend, call, at);
	});
	return late.length > allowedLate
		? [`${late.length} requests reached backend servers over ${toleranceMs} ms after their callers had left: ${late.slice(0, 5).map(({id, at}) => `${id} by ${calls.get(id)!.daemon} ${Math.round(at - calls.get(id)!.leftAt)} ms after`).join(', ')}`]
		: [];
};

const findRunsAtWork = (history: History, calls: ReadonlyMap<string, LeavingCall>): string[] => {
	const runs = history.runs.flatMap(run => {
		const call = calls.get(run.id);
		return call === undefined || isExcused(history, run.backend, call) ? [] : [{run, call}];
	});
	const lasting = runs.filter(({run, call}) => run.endedAt === undefined || run.isClosedByPeer === true || run.endedAt > call.leftAt + toleranceMs);
	const atWork = lasting.filter(({run, call}) => run.endedAt === undefined || run.endedAt > call.leftAt + toleranceMs);
	return lasting.length >= minRuns && atWork.length > lasting.length * allowedAtWorkShare
		? [`${atWork.length} of ${lasting.length} runs were still at work ${toleranceMs} ms after their callers had left: ${atWork.slice(0, 5).map(({run}) => run.id).join(', ')}`]
		: [];
};

export const findLeaveViolations = (history: History): string[] => {
	const calls = new Map(history.leavingCalls.map(call => [call.id, call]));
	return [...findLateArrivals(history, calls), ...findRunsAtWork(history, calls)];
};
