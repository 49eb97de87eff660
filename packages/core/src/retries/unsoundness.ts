/**
 * Backend servers whose answers are none: what is held against them, how many are left alone at a time and for how long, and what
 * daemons report of them to each other. What ends an answer is decided elsewhere; most of it says nothing of the backend server.
 */
import {amountSchema} from '@shallotpass/common/value-bounds.js';
import {mergeRecords} from '@shallotpass/common/records.js';
import * as z from 'zod';

/**
 * What the end of an answer says of its backend server. `none`: sound ones do it too. `here`: others were clearly quicker meanwhile, which
 * the network between may have caused. `anywhere`: no sound backend server does it, and no network causes it.
 */
export type Evidence = 'none' | 'here' | 'anywhere';

export type Unsoundness = {
	/** Answers in a row that were none, of calls that were not under way together. */
	readonly failures: number;
	/** When the last one was found out, on the steady clock. */
	readonly at: number;
	/** Until when it gets no calls, on the steady clock. */
	readonly pausedUntil: number;
	/** Whether peers are told: this daemon has found it out, and no network can have caused any of it. What others tell is not passed on, as its end would be put off each time. */
	readonly isReported: boolean;
};

/** Pauses after the second failure in a row, doubled with each further one. */
const firstPauseMs = 1000;
export const longestPauseMs = 60_000;

/** Returns until when the backend server is left alone. A single failure may be one of a call. */
export const computePauseEnd = (failures: number, now: number): number => failures <= 1 ? now : now + Math.min(longestPauseMs, firstPauseMs * (2 ** (failures - 2)));

/** Records an answer that was none. Calls that were under way together count once. */
export const recordFailure = (known: Unsoundness | undefined, {evidence, sentAt, now}: {evidence: Exclude<Evidence, 'none'>; sentAt: number; now: number}): Unsoundness => {
	if (known !== undefined && sentAt < known.at) {
		return known;
	}

	const failures = (known?.failures ?? 0) + 1;
	return {
		failures, at: now, pausedUntil: computePauseEnd(failures, now), isReported: evidence === 'anywhere' && (known?.isReported ?? true),
	};
};

/** Most backend servers of a service that may be kept from calls at a time, as a share. The detector may be wrong. */
const maxAvoidedShare = 0.5;

export const isUnsound = (unsoundness: Unsoundness | undefined): unsoundness is Unsoundness => unsoundness !== undefined && unsoundness.failures > 1;

type Judged = {
	readonly unsoundness: Unsoundness | undefined;
};

/** Returns the backend servers of a service that are kept from calls: the worst ones, and none if all look unsound. */
export const listAvoided = <Server extends Judged>(servers: readonly Server[]): Set<Server> => {
	const unsound = servers.filter(({unsoundness}) => isUnsound(unsoundness));
	if (unsound.length === servers.length) {
		return new Set();
	}

	const worstFirst = unsound.toSorted((left, right) => right.unsoundness!.failures - left.unsoundness!.failures || right.unsoundness!.pausedUntil - left.unsoundness!.pausedUntil);
	return new Set(worstFirst.slice(0, Math.floor(servers.length * maxAvoidedShare)));
};

/** Hash of the incarnation, failures in a row, and milliseconds that the pause still lasts. */
export const reportedUnsoundnessSchema = z.tuple([z.number(), amountSchema, z.number().overwrite(ms => Math.min(longestPauseMs, Math.max(-longestPauseMs, ms)))]);

export type ReportedUnsoundness = z.infer<typeof reportedUnsoundnessSchema>;

/** Most that a report holds, at about 40 bytes each. */
const maxReported = 50;

/** Keeps the longest pause of each backend server. */
export const mergeUnsoundness = (some: Readonly<Record<string, ReportedUnsoundness>>, more: Readonly<Record<string, ReportedUnsoundness>>): Record<string, ReportedUnsoundness> => {
	const merged = mergeRecords(some, more, (reported, known) => known === undefined || reported[2] > known[2] ? reported : known);
	return Object.fromEntries(Object.entries(merged).toSorted(([, left], [, right]) => right[2] - left[2]).slice(0, maxReported));
};
