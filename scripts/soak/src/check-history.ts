/** Holds a recorded run against the promises: what was broken, in plain words. */
import {findDutyViolations} from '@shallotpass/platform/stand-ins/check-duties.js';
import {formatEvents} from './format-events.js';
import {
	type CallEnd, type EndedCall, type History, type Run,
} from './history.js';

/** Calls of these routes may run at most once. */
const onceRoutes: ReadonlySet<string> = new Set(['book', 'draft']);

const serviceOfRoute: Readonly<Record<string, string>> = {
	read: 'app', book: 'app', ask: 'llm', draft: 'llm',
};

/** Answers that promise that the call has not run and never will. */
const notRunStatuses: ReadonlySet<number> = new Set([408, 421, 429, 503]);

/** Backend servers that one call may reach, as the soak's configurations say. */
const mostTries: Readonly<Record<string, number>> = {
	read: 2, book: 1, ask: 3, draft: 1,
};

/** Of how many calls more tries may be made: a try that a dying daemon sent may be unknown to its successor. */
const spareTries = 3;

/** Until so long after a disturbance a daemon may still act on what it knew before, in milliseconds; the stable time of the settings. */
const stableMs = 3000;

/** A call of the calm end may be refused for an engine that has just come back; more is a failure to recover. */
const leastServedShare = 0.95;

const isDisturbed = (history: History, daemon: string, from: number, until: number): boolean => history.disturbances
	.some(span => (span.daemon === undefined || span.daemon === daemon) && span.from <= until && span.until >= from - stableMs);

const groupById = (runs: readonly Run[]): Map<string, Run[]> => {
	const groups = new Map<string, Run[]>();
	for (const run of runs) {
		groups.set(run.id, [...(groups.get(run.id) ?? []), run]);
	}

	return groups;
};

const isServed = (end: CallEnd | undefined): boolean => end?.kind === 'answered' && end.status === 200 && end.isWhole;

const checkRuns = (call: EndedCall, runs: readonly Run[]): string[] => {
	const broken: string[] = [];
	const begun = runs.filter(run => run.memory === undefined);
	if (onceRoutes.has(call.route) && begun.length > 1) {
		broken.push(`ran ${begun.length} times`);
	}

	for (const run of runs) {
		if (run.service !== serviceOfRoute[call.route]) {
			broken.push(`ran at the service ${run.service}`);
		}

		if (run.memory !== undefined && !run.memory.endsWith(`handle-of-${call.id}`)) {
			broken.push(`went on with the memory ${run.memory}`);
		}

		if (run.path !== call.path || run.body !== call.body) {
			broken.push('ran with another path or body');
		}

		if (run.account !== 'shop' || run.hasKey) {
			broken.push(run.hasKey ? 'its key was passed on' : `ran for the account ${run.account}`);
		}
	}

	return broken;
};

const checkSuccess = (call: EndedCall, end: CallEnd & {kind: 'answered'}, runs: readonly Run[]): string[] => {
	if (!runs.some(run => run.backend === end.sealedBy)) {
		return ['a success that no backend server gave'];
	}

	if (end.requestId !== call.id) {
		return ['the answer of another call'];
	}

	const expected = serviceOfRoute[call.route] === 'llm' ? formatEvents() : `answer of ${end.sealedBy} to ${call.id}`;
	if (end.isWhole && end.body !== expected) {
		return [`a whole answer with other bytes: ${JSON.stringify(end.body.slice(0, 200))}`];
	}

	return end.isWhole || expected.startsWith(end.body) ? [] : ['an answer broken off with other bytes'];
};

const checkEnd = (call: EndedCall, runs: readonly Run[]): string[] => {
	const {end} = call;
	if (end?.kind !== 'answered') {
		return [];
	}

	if (end.status === 200) {
		return checkSuccess(call, end, runs);
	}

	if (notRunStatuses.has(end.status) && end.sealedBy === '' && onceRoutes.has(call.route) && runs.length > 0) {
		return [`answered ${end.status}, and ran`];
	}

	return end.status >= 400 && end.status < 500 && !notRunStatuses.has(end.status) && call.key !== '' && end.status !== 401
		? [`a proper call was answered ${end.status}`]
		: [];
};

/** Around planned work alone no call may be lost: it is answered, or refused unrun, or its connection closes before it was read. */
const checkLoss = (call: EndedCall, runs: readonly Run[]): string[] => {
	if (isServed(call.end) || runs.length === 0) {
		return [];
	}

	const {end} = call;
	return [`lost by planned work: ${end?.kind === 'answered' ? `status ${end.status}, whole ${end.isWhole}` : `cut, ${String(end?.reason)}`}`];
};

const checkBans = (history: History, call: EndedCall, runs: readonly Run[]): string[] => history.bans.flatMap(ban => {
	if (ban.kind === 'key') {
		const isBanned = call.key === ban.key && call.sentAt > ban.from && call.sentAt < ban.until;
		return isBanned && runs.length > 0 && !isDisturbed(history, call.daemon, call.sentAt, call.sentAt) ? ['ran with a key that was removed'] : [];
	}

	return runs.some(run => run.backend === ban.backend && run.at > ban.from && run.at < ban.until && !isDisturbed(history, call.daemon, run.at, run.at))
		? [`sent to ${ban.backend}, which was leaving`]
		: [];
});

const checkCall = (history: History, call: EndedCall, runs: readonly Run[]): string[] => {
	const broken = [...checkRuns(call, runs), ...checkEnd(call, runs), ...checkBans(history, call, runs)];
	if (call.end === undefined && !isDisturbed(history, call.daemon, call.sentAt, call.endedAt)) {
		broken.push('never answered');
	}

	if (history.hasOnlyPlannedWork) {
		broken.push(...checkLoss(call, runs));
	}

	return broken.map(text => `${call.id} (${call.route} by ${call.daemon}): ${text}`);
};

const checkRecovery = (history: History): string[] => {
	const calm = history.calls.filter(call => call.sentAt >= history.calmFrom && call.key !== '');
	const served = calm.filter(call => isServed(call.end));
	if (calm.length === 0) {
		return ['no call was made after the disturbances'];
	}

	const unserved = calm.find(call => !isServed(call.end));
	return served.length < calm.length * leastServedShare
		? [`after the disturbances only ${served.length} of ${calm.length} calls were served, the first without ${unserved!.id}: ${JSON.stringify(unserved!.end)}`]
		: [];
};

export const findViolations = (history: History): string[] => {
	const runsById = groupById(history.runs);
	const known = new Set(history.calls.map(call => call.id));
	const unasked = [...runsById.keys()].filter(id => !known.has(id)).map(id => `${id}: ran, and nobody asked for it`);
	const calls = history.calls.flatMap(call => checkCall(history, call, runsById.get(call.id) ?? []));
	const tries = history.calls.filter(call => (runsById.get(call.id) ?? []).filter(run => run.memory === undefined).length > (mostTries[call.route] ?? 0));
	const disturbedDuty = (holder: string, at: number): boolean => isDisturbed(history, holder, at, at);
	return [
		...unasked,
		...calls,
		...(tries.length > spareTries ? [`${tries.length} calls ran more often than their route allows, the first ${tries[0]!.id}`] : []),
		...findDutyViolations(history.duties, duty => disturbedDuty(duty.holder, duty.at)),
		...history.neverReady.map(daemon => `${daemon} did not become ready again`),
		...history.ownEnds.map(daemon => `${daemon} ended by itself`),
		...checkRecovery(history),
	];
};
