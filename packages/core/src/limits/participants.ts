/**
 * Daemons among which the limits of a service's backend servers are shared: those that have calls for the service.
 * Each daemon reports itself; relays merge the lists and keep a sample that doesn't grow with the number of daemons.
 */
import {hashText} from '../routing/rank-by-rendezvous.js';

export type Participant = {
	/** Id of the daemon. */
	readonly daemon: string;
	/** Hash of the id. */
	readonly hash: number;
	readonly availabilityZone: string;
	/** Logarithm to the base 4 of its calls per second for the service, rounded. Each change of a level moves shares between daemons, so levels are coarse. */
	readonly level: number;
};

/** A participant in a report: id of the daemon, availability zone, level. */
export type ReportedParticipant = [string, string, number];

/** Participants that a merged list keeps. The limits of a service are shared by these only. */
export const maxParticipants = 64;

export const toParticipant = ([daemon, availabilityZone, level]: ReportedParticipant): Participant => ({
	daemon, hash: hashText(daemon), availabilityZone, level,
});

/** Merges lists, the first entry of a daemon counts. Keeps the same sample of the daemons wherever the same lists are merged. */
export const mergeParticipants = (lists: Iterable<readonly ReportedParticipant[]>): ReportedParticipant[] => {
	const byDaemon = new Map<string, ReportedParticipant>();
	for (const participant of [...lists].flat()) {
		if (!byDaemon.has(participant[0])) {
			byDaemon.set(participant[0], participant);
		}
	}

	const merged = [...byDaemon.values()].toSorted(([left], [right]) => left < right ? -1 : 1);
	return merged.length <= maxParticipants ? merged : merged.toSorted(([left], [right]) => hashText(left) - hashText(right)).slice(0, maxParticipants);
};

/** Calls per second below which a daemon no longer takes part, and from which it does. */
const leaveBelowPerSecond = 0.05;
const joinFromPerSecond = 0.2;

/** Ratio of two neighboring levels. */
export const levelRatio = 4;

/** Difference from the reported level up to which the level stays. */
const levelTolerance = 1;

/** Returns the level to report for a rate of calls, or undefined if the daemon doesn't take part. */
export const updateLevel = (reported: number | undefined, callsPerSecond: number): number | undefined => {
	if (callsPerSecond < (reported === undefined ? joinFromPerSecond : leaveBelowPerSecond)) {
		return undefined;
	}

	const exact = Math.log(callsPerSecond) / Math.log(levelRatio);
	return reported !== undefined && Math.abs(exact - reported) <= levelTolerance ? reported : Math.round(exact);
};

/** Estimates the calls per second of all daemons for the service, from the sample that a list may be. */
export const estimateCallRate = (participants: readonly Participant[], daemons: number): number => {
	let callsPerSecond = 0;
	for (const {level} of participants) {
		callsPerSecond += levelRatio ** level;
	}

	return participants.length < maxParticipants ? callsPerSecond : callsPerSecond * Math.max(1, daemons / participants.length);
};

/** What a daemon knows of another one, or of a sum over several. */
export type ParticipantReport = {
	/** Id of its sender. */
	readonly id: string;
	readonly daemons: number;
	readonly participants: readonly ReportedParticipant[];
	/** On the steady clock, in milliseconds. */
	readonly receivedAt: number;
};

/** Daemons that were not heard for this long no longer take part: five reports, so that lost ones change nothing. */
export const participantTimeoutMs = 1500;

/**
 * Collects the participants from the own entry and the reports of others. Daemons that are no longer heard keep their shares unless
 * more than half are heard: otherwise both sides of a partition would take the whole limit.
 */
export const collectParticipants = (own: readonly ReportedParticipant[], reports: readonly ParticipantReport[], now: number): Participant[] => {
	const isHeard = ({receivedAt}: ParticipantReport): boolean => receivedAt >= now - participantTimeoutMs;
	const heard = reports.filter(report => isHeard(report));
	const silent = reports.filter(report => !isHeard(report));
	// A daemon that is heard again under another incarnation has restarted.
	const heardIds = new Set(heard.map(({id}) => id));
	const stillSilent = silent.filter(({id}) => !heardIds.has(id));
	const countOf = (list: readonly ParticipantReport[]): number => list.reduce((sum, {daemons}) => sum + daemons, 0);
	const hasMajority = 1 + countOf(heard) > countOf(stillSilent);
	const lists = [own, ...heard.map(({participants}) => participants), ...(hasMajority ? [] : stillSilent.map(({participants}) => participants))];
	return mergeParticipants(lists).map(participant => toParticipant(participant));
};

/** A list of participants that was in force from a moment on. */
type DatedParticipants = {
	/** On the steady clock, in milliseconds. */
	readonly since: number;
	readonly participants: readonly Participant[];
};

/** Lists of the last seconds, the oldest first. */
export type ParticipantHistory = readonly DatedParticipants[];

const isSameList = (left: readonly Participant[], right: readonly Participant[]): boolean => left.length === right.length
	&& left.every(({daemon, level, availabilityZone}, index) => daemon === right[index]!.daemon && level === right[index]!.level && availabilityZone === right[index]!.availabilityZone);

/** Adds the list that is in force now, and drops those that were replaced more than `keepMs` ago. Returns the same history if nothing changes. */
const recordParticipants = (history: ParticipantHistory, participants: readonly Participant[], now: number, keepMs: number): ParticipantHistory => {
	const last = history.at(-1);
	const extended = last !== undefined && isSameList(last.participants, participants) ? history : [...history, {since: now, participants}];
	const firstKept = extended.findIndex((_list, index) => index === extended.length - 1 || extended[index + 1]!.since > now - keepMs);
	return firstKept === 0 ? extended : extended.slice(firstKept);
};

/** Time after its start until a daemon knows the others: it introduces itself with its first report, and they answer with theirs. */
const introductionMs = 1500;

/** Time after which a daemon that has heard no other one takes itself for the only one. */
const aloneAfterMs = 10_000;

export type ParticipantsInput = {
	/** The daemon's own entry. Empty if it doesn't take part, or if the reports contain it. */
	readonly own: readonly ReportedParticipant[];
	readonly reports: readonly ParticipantReport[];
	/** Start of the daemon, on the steady clock. */
	readonly startedAt: number;
	/** Whether it knows of other daemons, heard or not. */
	readonly hasPeers: boolean;
	readonly now: number;
	/** Time within which a report reaches all daemons. */
	readonly propagationMs: number;
};

/** Updates the history with what is known now. A daemon that has just started knows too few others to take a share. */
export const followParticipants = (history: ParticipantHistory, input: ParticipantsInput): ParticipantHistory => {
	const {own, reports, startedAt, hasPeers, now, propagationMs} = input;
	const isIsolated = hasPeers && reports.length === 0;
	if (now < startedAt + (isIsolated ? aloneAfterMs : introductionMs)) {
		return [];
	}

	return recordParticipants(history, collectParticipants(own, reports, now), now, propagationMs);
};

/** Whether the history reaches back far enough for all daemons to know its first list. */
export const hasSettled = (history: ParticipantHistory, now: number, propagationMs: number): boolean => {
	const [first] = history;
	return first !== undefined && first.since <= now - propagationMs;
};
