/** Checks the recorded history of a run against the service's guarantees. */
import {type CallEvent, type FaultEvent, type History} from './types.js';

export type Violation = {
	readonly guarantee: GuaranteeName;
	readonly detail: string;
};

export type GuaranteeName =
	| 'accepted work survives announced reclaims'
	| 'callers get their own answers whole'
	| 'what was said not to have run did not run'
	| 'what must not repeat runs at most once'
	| 'a leaving backend server gets nothing new'
	| 'a planned stop cuts off nothing'
	| 'the configuration is in force everywhere and never goes back'
	| 'a crashing request ends at most two backend servers';

/** Time after its reclaim notice in which a backend server may still receive new requests. */
const leavingGraceMs = 3000;

/** Maximum number of backend servers that one request may crash before it is quarantined. */
const maxCrashedBackends = 2;

const overlaps = (call: CallEvent, fault: FaultEvent): boolean => fault.from <= call.endedAt && fault.to >= call.sentAt;

/**
 * Whether a call may end without an answer: its daemon crashed or had a fault of its own, or, for a reservation, the outcome may have been lost.
 * Streams must survive every fault outside their daemon.
 */
const isFailureAllowed = (history: History, call: CallEvent): boolean => {
	const hasDaemonCrashed = history.stops.some(stop => !stop.isPlanned && stop.daemon === call.daemon && stop.at <= call.endedAt);
	// An outcome lost in one attempt at a reservation stays lost in the later attempts.
	const mayOutcomeBeLost = (): boolean => history.calls
		.some(attempt => attempt.key === call.key && history.faults.some(fault => overlaps(attempt, fault)));
	const hasDaemonFault = history.faults.some(fault => fault.daemon === call.daemon && overlaps(call, fault));
	return hasDaemonCrashed || hasDaemonFault || (call.kind === 'once' && call.outcome !== 'cut' && mayOutcomeBeLost());
};

const findUnansweredCalls = (history: History): string[] => history.calls
	.filter(call => (call.outcome === 'unknown' || call.outcome === 'cut') && call.errorKind !== 'request_quarantined' && !isFailureAllowed(history, call))
	.map(call => `${call.kind} ${call.key} at ${call.daemon} ended as ${call.errorKind ?? call.outcome}`);

const findWrongAnswers = (history: History): string[] => history.calls
	.filter(call => !call.isOwnAnswer)
	.map(call => `${call.kind} ${call.key} at ${call.daemon} got an answer that is wrong or incomplete`);

const findExecutedRefusals = (history: History): string[] => {
	const alwaysRefused = new Map<string, boolean>();
	for (const call of history.calls) {
		alwaysRefused.set(call.key, (alwaysRefused.get(call.key) ?? true) && call.outcome === 'not_run');
	}

	return [...new Set(history.arrivals.map(arrival => arrival.key))]
		.filter(key => alwaysRefused.get(key) === true)
		.map(key => `${key} was reported as not executed by every response, but reached a backend server`);
};

const findRepeatedExecutions = (history: History): string[] => {
	const counts = new Map<string, number>();
	for (const arrival of history.arrivals) {
		if (arrival.kind === 'once') {
			counts.set(arrival.key, (counts.get(arrival.key) ?? 0) + 1);
		}
	}

	return [...counts].filter(([, count]) => count > 1).map(([key, count]) => `${key} was executed ${count} times`);
};

const findLateArrivals = (history: History): string[] => history.notices.flatMap(notice => history.arrivals
	.filter(arrival => arrival.backend === notice.backend && arrival.at > notice.at + leavingGraceMs)
	.map(arrival => `${arrival.key} reached ${notice.backend} ${arrival.at - notice.at} ms after its reclaim notice`));

const findCutOffCalls = (history: History): string[] => history.stops
	.filter(stop => stop.isPlanned)
	.flatMap(stop => history.calls
		.filter(call => call.daemon === stop.daemon && call.sentAt < stop.at && call.endedAt > stop.at && call.outcome === 'cut')
		.map(call => `${call.kind} ${call.key} was in flight when ${stop.daemon} was stopped and its connection was closed`));

const findConfigurationViolations = (history: History): string[] => {
	const regressions: string[] = [];
	const lastVersions = new Map<string, number>();
	for (const {daemon, version} of history.versions) {
		const previous = lastVersions.get(daemon) ?? version;
		if (version < previous) {
			regressions.push(`${daemon} reverted from configuration version ${previous} to ${version}`);
		}

		lastVersions.set(daemon, version);
	}

	const newest = Math.max(-1, ...history.acceptedVersions.map(entry => entry.version));
	return [...regressions, ...history.finalVersions
		.filter(entry => entry.version < newest)
		.map(entry => `${entry.daemon} ended with configuration version ${entry.version}, but version ${newest} was accepted`)];
};

const findCrashingRequests = (history: History): string[] => history.crashingRequests
	.filter(entry => entry.backends > maxCrashedBackends)
	.map(entry => `${entry.key} crashed ${entry.backends} backend servers`);

const checks: ReadonlyArray<{readonly guarantee: GuaranteeName; readonly find: (history: History) => string[]}> = [
	{guarantee: 'accepted work survives announced reclaims', find: findUnansweredCalls},
	{guarantee: 'callers get their own answers whole', find: findWrongAnswers},
	{guarantee: 'what was said not to have run did not run', find: findExecutedRefusals},
	{guarantee: 'what must not repeat runs at most once', find: findRepeatedExecutions},
	{guarantee: 'a leaving backend server gets nothing new', find: findLateArrivals},
	{guarantee: 'a planned stop cuts off nothing', find: findCutOffCalls},
	{guarantee: 'the configuration is in force everywhere and never goes back', find: findConfigurationViolations},
	{guarantee: 'a crashing request ends at most two backend servers', find: findCrashingRequests},
];

export const findViolations = (history: History): Violation[] =>
	checks.flatMap(({guarantee, find}) => find(history).map(detail => ({guarantee, detail})));
