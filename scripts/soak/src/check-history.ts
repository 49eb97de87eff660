/** Checks the recorded history of a run against the gateway's guarantees and describes each violation. */
import {findCloudRequestViolations} from '@shallotpass/platform/stand-ins/check-cloud-requests.js';
import {findBrittleViolations} from './check-brittleness.js';
import {findCutViolations} from './check-cuts.js';
import {findCrashViolations} from './crashing-part.js';
import {findLimitViolations} from './check-limits.js';
import {findContinuityViolations} from './check-continuity.js';
import {findLeaveViolations} from './leaving-callers.js';
import {findPipeliningViolations} from './pipelining-callers.js';
import {findRepeatViolations} from './check-repeats.js';
import {findStartingStopViolations} from './check-starting-stops.js';
import {formatExpectedStream, listVersions, removeVersions} from './format-events.js';
import {judgeKeptStreams} from './kept-streams.js';
import {findQuotaViolations} from './limited-account.js';
import {
	type CallOutcome, type CompletedCall, type History, type BackendRun,
} from './history.js';

/** Routes whose calls may be executed at most once. */
const atMostOnceRoutes: ReadonlySet<string> = new Set(['book', 'draft']);

const serviceByRoute: Readonly<Record<string, string>> = {
	read: 'app', book: 'app', ask: 'llm', draft: 'llm',
};

/** Statuses that guarantee that the call was not executed and will not be. */
const notRunStatuses: ReadonlySet<number> = new Set([408, 421, 429, 503]);

/** Maximum number of attempts per call, as in the configuration of the soak. */
const maxAttemptsByRoute: Readonly<Record<string, number>> = {
	read: 2, book: 1, ask: 3, draft: 1,
};

/** Number of calls that may exceed the attempt limit: an attempt sent by a dying daemon may be unknown to its successor. */
const maxCallsOverAttemptLimit = 3;

/** Time after a disturbance during which a daemon may still act on outdated state. Equal to `stableMs` of the daemon's settings. */
const stableMs = 3000;

/** Minimum share of calls served in the fault-free period. Some may be refused because an engine has just returned; a lower share means that the system did not recover. */
const minServedShare = 0.95;

const isDisturbed = (history: History, daemon: string, from: number, until: number): boolean => history.disturbances
	.some(span => (span.daemon === undefined || span.daemon === daemon) && span.from <= until && span.until >= from - stableMs);

const groupById = (runs: readonly BackendRun[]): Map<string, BackendRun[]> => {
	const runsById = new Map<string, BackendRun[]>();
	for (const run of runs) {
		runsById.set(run.id, [...(runsById.get(run.id) ?? []), run]);
	}

	return runsById;
};

const isServed = (outcome: CallOutcome | undefined): boolean => outcome?.kind === 'answered' && outcome.status === 200 && outcome.isWhole;

const checkRuns = (call: CompletedCall, runs: readonly BackendRun[]): string[] => {
	const violations: string[] = [];
	const freshRuns = runs.filter(run => run.memory === undefined);
	if (atMostOnceRoutes.has(call.route) && freshRuns.length > 1) {
		violations.push(`ran ${freshRuns.length} times`);
	}

	for (const run of runs) {
		if (run.service !== serviceByRoute[call.route]) {
			violations.push(`ran on the service ${run.service}`);
		}

		if (run.memory !== undefined && !run.memory.endsWith(`handle-of-${call.id}`)) {
			violations.push(`resumed with the KV cache ${run.memory}`);
		}

		if (run.path !== call.path || run.body !== call.body) {
			violations.push('ran with another path or body');
		}

		if (run.account !== 'shop' || run.hasKey) {
			violations.push(run.hasKey ? 'its key was forwarded' : `ran for the account ${run.account}`);
		}
	}

	return violations;
};

const checkSuccess = (call: CompletedCall, outcome: CallOutcome & {kind: 'answered'}, runs: readonly BackendRun[]): string[] => {
	if (!runs.some(run => run.backend === outcome.vouchedBy)) {
		return ['answered 200 without an execution on the backend server that sealed the answer'];
	}

	if (outcome.requestId !== call.id) {
		return ['received the answer of another call'];
	}

	const versions = listVersions(outcome.body);
	if (versions.length > 1) {
		return [`received events of the software versions ${versions.join(' and ')}`];
	}

	const body = removeVersions(outcome.body);
	const expected = serviceByRoute[call.route] === 'llm' ? formatExpectedStream() : `answer of ${outcome.vouchedBy} to ${call.id}`;
	if (outcome.isWhole && body !== expected) {
		return [`complete answer with an unexpected body: ${JSON.stringify(outcome.body.slice(0, 200))}`];
	}

	return outcome.isWhole || expected.startsWith(body) ? [] : ['incomplete answer with an unexpected body'];
};

const checkOutcome = (call: CompletedCall, runs: readonly BackendRun[]): string[] => {
	const {end: outcome} = call;
	if (outcome?.kind !== 'answered') {
		return [];
	}

	if (outcome.status === 200) {
		return checkSuccess(call, outcome, runs);
	}

	if (notRunStatuses.has(outcome.status) && outcome.vouchedBy === '' && atMostOnceRoutes.has(call.route) && runs.length > 0) {
		return [`answered ${outcome.status}, but ran`];
	}

	return outcome.status >= 400 && outcome.status < 500 && !notRunStatuses.has(outcome.status) && call.key !== '' && outcome.status !== 401
		? [`valid call was answered ${outcome.status}`]
		: [];
};

/** Planned operations alone must not lose calls: each call is answered, or refused without being executed, or its connection closes before it is read. */
const checkPlannedWorkLoss = (call: CompletedCall, runs: readonly BackendRun[]): string[] => {
	if (isServed(call.end) || runs.length === 0) {
		return [];
	}

	const {end: outcome} = call;
	return [`lost by planned work: ${outcome?.kind === 'answered' ? `status ${outcome.status}, complete ${outcome.isWhole}` : `connection closed, ${String(outcome?.reason)}`}`];
};

const checkBans = (history: History, call: CompletedCall, runs: readonly BackendRun[]): string[] => history.bans.flatMap(ban => {
	if (ban.kind === 'key') {
		const isBanned = call.key === ban.key && call.sentAt > ban.from && call.sentAt < ban.until;
		return isBanned && runs.length > 0 && !isDisturbed(history, call.daemon, call.sentAt, call.sentAt) ? ['ran with a removed key'] : [];
	}

	return runs.some(run => run.backend === ban.backend && run.at > ban.from && run.at < ban.until && !isDisturbed(history, call.daemon, run.at, run.at))
		? [`sent to the leaving backend server ${ban.backend}`]
		: [];
});

const describeCall = ({id, route, daemon}: CompletedCall, text: string): string => `${id} (${route} by ${daemon}): ${text}`;

/** Checks what holds for each call, whatever becomes of it. */
const checkIntegrity = (history: History, call: CompletedCall, runs: readonly BackendRun[]): string[] => [...checkRuns(call, runs), ...checkOutcome(call, runs), ...checkBans(history, call, runs)];

const checkCall = (history: History, call: CompletedCall, runs: readonly BackendRun[]): string[] => {
	const violations = checkIntegrity(history, call, runs);
	if (call.end === undefined && !isDisturbed(history, call.daemon, call.sentAt, call.endedAt)) {
		violations.push('never answered');
	}

	if (history.hasOnlyPlannedWork) {
		violations.push(...checkPlannedWorkLoss(call, runs));
	}

	return violations.map(text => describeCall(call, text));
};

const checkRecovery = (history: History): string[] => {
	const callsAfterFaults = history.calls.filter(call => call.sentAt >= history.calmFrom && call.key !== '');
	const served = callsAfterFaults.filter(call => isServed(call.end));
	if (callsAfterFaults.length === 0) {
		return ['no calls were sent after the last fault'];
	}

	const unserved = callsAfterFaults.find(call => !isServed(call.end));
	return served.length < callsAfterFaults.length * minServedShare
		? [`only ${served.length} of ${callsAfterFaults.length} calls were served after the last fault; first unserved call ${unserved!.id}: ${JSON.stringify(unserved!.end)}`]
		: [];
};

/** Returns a description of each violation in the history. */
export const findViolations = (history: History): string[] => {
	const runsById = groupById(history.runs);
	const sentIds = new Set([
		...[...history.calls, ...history.limitedCalls, ...history.crashingCalls, ...history.leavingCalls, ...history.pipelinedCalls, ...history.keptStreams].map(call => call.id),
		...history.streams.flatMap(({attemptIds}) => attemptIds),
	]);
	const unrequested = [...runsById.keys()].filter(id => !sentIds.has(id)).map(id => `${id}: ran, but no caller sent it`);
	const callViolations = history.calls.flatMap(call => checkCall(history, call, runsById.get(call.id) ?? []));
	const keptViolations = history.keptStreams.flatMap(call => checkIntegrity(history, call, runsById.get(call.id) ?? []).map(text => describeCall(call, text)));
	const callsOverLimit = history.calls.filter(call => (runsById.get(call.id) ?? []).filter(run => run.memory === undefined).length > (maxAttemptsByRoute[call.route] ?? 0));
	const wasHolderDisturbed = (holder: string, at: number): boolean => isDisturbed(history, holder, at, at);
	return [
		...unrequested,
		...callViolations,
		...(callsOverLimit.length > maxCallsOverAttemptLimit ? [`${callsOverLimit.length} calls exceeded the attempt limit of their route; first ${callsOverLimit[0]!.id}`] : []),
		...findCloudRequestViolations(history.duties, duty => wasHolderDisturbed(duty.holder, duty.at)),
		...history.neverReady.map(daemon => `${daemon} did not become ready after the last fault`),
		...history.ownEnds.map(daemon => `${daemon} exited unexpectedly`),
		...findLimitViolations(history, (daemon, at) => isDisturbed(history, daemon, at, at)),
		...findBrittleViolations(history, (daemon, at) => isDisturbed(history, daemon, at, at)),
		...findCutViolations(history, (daemon, at) => isDisturbed(history, daemon, at, at)),
		...findQuotaViolations(history),
		...findStartingStopViolations(history),
		...findCrashViolations(history, (daemon, at) => isDisturbed(history, daemon, at, at)),
		...findContinuityViolations(history),
		...findLeaveViolations(history),
		...findPipeliningViolations(history),
		...keptViolations,
		...judgeKeptStreams(history).violations,
		...findRepeatViolations(history),
		...checkRecovery(history),
	];
};
