/** Checks that backend servers got no more repeats of calls than all daemons together may cause, whatever was disturbed. */
import {findWorstWindow, listRepeats} from '@shallotpass/core/testing/find-worst-window.js';
import {type History} from './history.js';

/** As in the daemons' settings. */
const bounds = {ratio: 0.2, slack: 50, windowMs: 10_000};

type Service = 'app' | 'llm';

const serviceByRoute: Readonly<Record<string, Service>> = {
	read: 'app', book: 'app', ask: 'llm', draft: 'llm',
};

const toService = (backend: string): Service => backend.startsWith('engine') ? 'llm' : 'app';

/** Lists when callers sent the calls to the service, in order. Of those whose time is not recorded, when they arrived first. */
const listCalls = (history: History, service: Service): number[] => {
	const sentAt = new Map<string, number>();
	for (const {id, at} of history.arrivals.filter(({backend}) => toService(backend) === service)) {
		sentAt.set(id, Math.min(at, sentAt.get(id) ?? Infinity));
	}

	for (const call of [...history.calls, ...history.limitedCalls].filter(({route}) => serviceByRoute[route] === service)) {
		sentAt.set(call.id, call.sentAt);
	}

	return [...sentAt.values()].toSorted((left, right) => left - right);
};

export const findRepeatViolations = (history: History): string[] => (['app', 'llm'] as const).flatMap(service => {
	const arrivals = history.arrivals.filter(({backend}) => toService(backend) === service);
	const worst = findWorstWindow({calls: listCalls(history, service), repeats: listRepeats(arrivals), ...bounds});
	return worst.repeats > worst.allowed
		? [`${service}: ${worst.repeats} arrivals beyond the first of their calls within ${bounds.windowMs} ms from ${Math.round(worst.from)}, of ${Math.floor(worst.allowed)} allowed`]
		: [];
});
