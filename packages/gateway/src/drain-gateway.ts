/** Lets a daemon leave: it answers what it owes, tells callers to go elsewhere, and stops. */
import {setTimeout as sleep} from 'node:timers/promises';
import {type CallersListener} from './calls/callers-listener.js';
import {acceptDuringDrainMs, computeDrainEnd} from './drain-times.js';
import {type GatewayState} from './gateway-state.js';

/** Interval between checks while the daemon drains. */
const drainPollMs = 50;

/** Calls whose answers have not begun are refused this long before draining ends, so that the refusals leave the process. */
const refuseUnansweredMs = 150;

/** New connections are accepted this long after SIGTERM, as the load balancer may send some until then. */
const acceptConnectionsMs = 3200;

/** Time for callers with idle connections to close their side. */
const idleCloseMs = 250;

/** Answers that were sent earlier before the drain have been read: the system holds up to 4 MB of a connection, and slow links take 1 MB in a second. */
const maxReadMs = 4000;

export type DrainOptions = {
	readonly gateway: GatewayState;
	readonly listener: CallersListener;
	/** When the stop was requested, on the steady clock, from which the periods count. Now by default. */
	readonly requestedAt?: number | undefined;
	/** Stops all components but the listeners for callers and for readiness checks. */
	readonly stopComponents: () => void;
};

/** Resolves when the process may exit: nothing is owed and callers have closed their connections, or the grace period ends. */
export const drainGateway = async ({gateway, listener: {connections, stopAccepting}, requestedAt, stopComponents}: DrainOptions): Promise<void> => {
	const {answers, clocks, log, settings: {bounds: {graceMs}}} = gateway;
	const since = requestedAt ?? clocks.steady();
	const endAt = computeDrainEnd(since, graceMs);
	const waitUntil = async (check: () => boolean): Promise<void> => {
		while (!check() && clocks.steady() < endAt) {
			if (clocks.steady() >= endAt - refuseUnansweredMs) {
				gateway.lastAnswers.abort();
			}

			await sleep(drainPollMs); // eslint-disable-line no-await-in-loop -- a poll
		}
	};

	gateway.drainingSince = since;
	log.write('state', 'draining', {activeCalls: gateway.activeCalls, owedAnswers: answers.count(), graceMs});
	await waitUntil(() => {
		// A call on a connection that stays open would be refused from now on. On another one it reaches another daemon.
		if (clocks.steady() >= since + acceptDuringDrainMs) {
			connections.endSettled({isAnswered: true});
		}

		return clocks.steady() >= since + acceptConnectionsMs;
	});
	// New callers would keep it from ever owing nothing.
	await stopAccepting();
	const closeIdleAt = clocks.steady() + idleCloseMs;
	await waitUntil(() => {
		connections.endSettled({isAnswered: false});
		return answers.count() === 0;
	});
	answers.reportAll();
	stopComponents();
	// What callers have not read yet lies with the system, which drops it if they send anything after this process has exited.
	await waitUntil(() => connections.countOpen() === 0 || (clocks.steady() >= closeIdleAt && connections.countAnsweredSince(since - maxReadMs) === 0));
	log.write('state', 'stopped', {activeCalls: gateway.activeCalls, owedAnswers: answers.count(), tookMs: Math.round(clocks.steady() - since)});
};
