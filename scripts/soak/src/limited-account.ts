/** An account with a limit that its callers exceed by turns, and the check that backend servers ran no more of its calls than the limit allows. */
import http from 'node:http';
import {setTimeout as sleep} from 'node:timers/promises';
import {makeLimitedTenant} from '@shallotpass/platform/stand-ins/platform-fixture.js';
import {sendCall} from '@shallotpass/platform/stand-ins/send-call.js';
import {
	type BackendRun, type CallOutcome, type CompletedCall, type History,
} from './history.js';
import {type SoakCluster} from './soak-cluster.js';

const limitedKey = 'key-of-the-bazaar';
const limitedAccount = 'bazaar';

const perSecond = 20;
const burst = 40;

/** As in the daemons' settings. */
const windowMs = 8000;
const overshoot = 0.1;

/** Calls that may run within any window. */
const allowedRuns = ((perSecond * windowMs / 1000) + burst) * (1 + overshoot);

/** The account as it stands in the configuration. */
export const limitedTenant = makeLimitedTenant({
	name: limitedAccount, key: limitedKey, perSecond, burst,
});

/** What the callers together ask for, as multiples of the limit. One after the other is drawn. */
const demands = [0.3, 1, 3, 10];
const minDemandMs = 1500;
const maxDemandMs = 4000;

export const limitedCallers = 4;

const callTimeoutMs = 8000;

export type LimitedCallerOptions = {
	readonly cluster: SoakCluster;
	readonly name: string;
	readonly random: () => number;
	readonly signal: AbortSignal;
};

/** Sends calls of the account until the signal is aborted, one at a time, to any daemon. */
export const runLimitedCaller = async ({cluster, name, random, signal}: LimitedCallerOptions): Promise<CompletedCall[]> => {
	const agent = new http.Agent({keepAlive: true});
	const calls: CompletedCall[] = [];
	let pauseMs = 0;
	let demandUntil = 0;
	for (let callIndex = 0; !signal.aborted; callIndex++) {
		if (performance.now() >= demandUntil) {
			const demand = demands[Math.floor(random() * demands.length)]!;
			pauseMs = 1000 * limitedCallers / (perSecond * demand);
			demandUntil = performance.now() + minDemandMs + (random() * (maxDemandMs - minDemandMs));
		}

		const daemon = cluster.daemons[Math.floor(random() * cluster.daemons.length)]!;
		const id = `${name}-${callIndex}`;
		const sentAt = performance.now();
		const timeout = AbortSignal.timeout(callTimeoutMs);
		let end: CallOutcome | undefined;
		try {
			// eslint-disable-next-line no-await-in-loop -- one call after the other
			const {status} = await sendCall({
				address: daemon.process.settings.listen.callers, route: 'read', id, key: limitedKey, agent, signal: timeout,
			});
			end = {
				kind: 'answered', status, vouchedBy: '', requestId: id, body: '', isWhole: true,
			};
		} catch (error) {
			end = timeout.aborted ? undefined : {kind: 'cut', reason: String(error)};
		}

		calls.push({
			id, daemon: daemon.process.id, route: 'read', key: limitedKey, path: '/read/a', body: '', sentAt, endedAt: performance.now(),
			end,
		});
		await sleep(pauseMs * random() * 2); // eslint-disable-line no-await-in-loop -- one call after the other
	}

	agent.destroy();
	return calls;
};

export const isLimitedRun = ({account}: BackendRun): boolean => account === limitedAccount;

/** Returns the window in which most runs of calls sent within it arrived. */
const findWorstWindow = (runs: ReadonlyArray<{readonly sentAt: number; readonly at: number}>): {readonly from: number; readonly runs: number} => {
	let worst = {from: 0, runs: 0};
	for (const {sentAt: from} of runs) {
		const count = runs.filter(run => run.sentAt >= from && run.at <= from + windowMs).length;
		worst = count > worst.runs ? {from, runs: count} : worst;
	}

	return worst;
};

/** Each run counts, whatever happens to daemons meanwhile. */
export const findQuotaViolations = ({limitedCalls, runs}: History): string[] => {
	const sentAtById = new Map(limitedCalls.map(({id, sentAt}) => [id, sentAt]));
	const limitedRuns = runs.filter(run => isLimitedRun(run)).map(({id, at}) => ({at, sentAt: sentAtById.get(id) ?? at}));
	const worst = findWorstWindow(limitedRuns);
	return worst.runs > allowedRuns
		? [`${worst.runs} runs of the account ${limitedAccount} in the window from ${Math.round(worst.from)}, ${Math.floor(allowedRuns)} allowed`]
		: [];
};
