/** Load generator of the soak: each caller keeps its connections open and sends calls one at a time to any daemon. */
import http from 'node:http';
import {setTimeout as sleep} from 'node:timers/promises';
import {secondKey} from '@shallotpass/platform/stand-ins/platform-fixture.js';
import {type RouteName, sendCall, shopKey} from '@shallotpass/platform/stand-ins/send-call.js';
import {type CallOutcome, type CompletedCall, type SentCall} from './history.js';
import {type SoakCluster} from './soak-cluster.js';

const routes: readonly RouteName[] = ['read', 'book', 'ask', 'draft'];

/** Maximum pause between two calls of one caller. */
const maxPauseMs = 120;

/** A caller aborts a call after this time. It exceeds the time limit of every route. */
const callTimeoutMs = 8000;

/** Probability that the next call goes to the same daemon, so that connections are reused. */
const sameDaemonShare = 0.7;

/** Share of the calls that use the second key, which the configuration changes add and remove. */
const secondKeyShare = 0.1;

export type CallerOptions = {
	readonly cluster: SoakCluster;
	readonly name: string;
	readonly random: () => number;
	/** Callers start no new call after this signal is aborted. */
	readonly signal: AbortSignal;
	/** Whether calls use only the key that is always valid, as in the fault-free period at the end of a run. */
	readonly isLimitedToFirstKey: () => boolean;
};

const sendWithTimeout = async (address: string, call: SentCall, agent: http.Agent): Promise<CallOutcome | undefined> => {
	const timeout = AbortSignal.timeout(callTimeoutMs);
	try {
		const answer = await sendCall({
			address, route: call.route, id: call.id, key: call.key, agent, signal: timeout, body: call.body === '' ? undefined : call.body,
		});
		return {
			kind: 'answered',
			status: answer.status,
			vouchedBy: answer.sealedBy,
			requestId: answer.requestId,
			body: answer.body,
			isWhole: answer.isComplete,
		};
	} catch (error) {
		return timeout.aborted ? undefined : {kind: 'cut', reason: error instanceof Error ? error.message : String(error)};
	}
};

/** Sends calls until the signal is aborted. Returns all calls with their outcomes. */
export const runCaller = async ({cluster, name, random, signal, isLimitedToFirstKey}: CallerOptions): Promise<CompletedCall[]> => {
	const agent = new http.Agent({keepAlive: true});
	const calls: CompletedCall[] = [];
	let daemon = cluster.daemons[0]!;
	for (let callIndex = 0; !signal.aborted; callIndex++) {
		if (random() > sameDaemonShare) {
			daemon = cluster.daemons[Math.floor(random() * cluster.daemons.length)]!;
		}

		const route = routes[Math.floor(random() * routes.length)]!;
		const hasSecondKey = random() < secondKeyShare && !isLimitedToFirstKey();
		const call: SentCall = {
			id: `${name}-${callIndex}`,
			daemon: daemon.process.id,
			route,
			key: hasSecondKey ? secondKey : shopKey,
			path: `/${route}/a`,
			body: route === 'read' ? '' : `body of ${name}-${callIndex}`,
			sentAt: performance.now(),
		};
		const outcome = await sendWithTimeout(daemon.process.settings.listen.callers, call, agent); // eslint-disable-line no-await-in-loop -- one call after the other
		calls.push({...call, end: outcome, endedAt: performance.now()});
		await sleep(random() * maxPauseMs); // eslint-disable-line no-await-in-loop -- one call after the other
	}

	agent.destroy();
	return calls;
};
