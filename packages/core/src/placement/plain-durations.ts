/**
 * Combines the durations of plain calls that many daemons have measured at a backend server. With three servers and 68 daemons,
 * a daemon gets a response from each server about every 1.3 s, and single durations differ by far more than the servers.
 */
import {decayPrefillRecord, type PrefillRecord, recordPrefill} from './engine-latency.js';

/** Calls and the milliseconds that they took, which decay over time. */
export type PlainSample = {
	readonly calls: number;
	readonly ms: number;
};

export const emptyPlainSample: PlainSample = {calls: 0, ms: 0};

/** Record of a daemon's own calls. It is that of prefill, in which a call counts as a token. */
export type PlainRecord = PrefillRecord;

export const recordPlainCall = (record: PlainRecord, ms: number, now: number): PlainRecord => recordPrefill(record, {tokens: 1, ms}, now);

export const decayPlainRecord = (record: PlainRecord, now: number): PlainSample => {
	const {tokens, ms} = decayPrefillRecord(record, now);
	return {calls: tokens, ms};
};

/**
 * Part of the slots of one backend server that all calls of its service may take while daemons use each other's durations. With these they
 * agree on the fastest one, and all choose it until reports of its load arrive; beyond this it could not serve them all.
 */
const maxSharedLoad = 0.5;

/** Whether daemons use each other's durations while `running` calls run at all backend servers of the service, each of which has `places` slots. */
export const mayShareDurations = (running: number, places: number): boolean => running <= places * maxSharedLoad;

/** Own calls are not reported once their decayed number is lower. */
const minReportedCalls = 0.2;

/** Calls are reported in hundredths: sums of whole numbers stay short. */
const unitsPerCall = 100;

/** Returns what is reported of own calls: their number and duration. Empty if too few are left. */
export const reportPlainCalls = ({calls, ms}: PlainSample): number[] => calls < minReportedCalls ? [] : [Math.round(calls * unitsPerCall), Math.round(ms)];

export const parsePlainCalls = ([units = 0, ms = 0]: readonly number[]): PlainSample => ({calls: units / unitsPerCall, ms});

export const addPlainSamples = (left: PlainSample, right: PlainSample): PlainSample => ({calls: left.calls + right.calls, ms: left.ms + right.ms});

/** The moving mean of own calls follows a change within this many calls, so it counts as no more than these. */
const maxOwnWeight = 7;

/** Computes the mean duration from the moving mean of the own calls and the calls of the others. */
export const combinePlainMs = (ownMs: number, own: PlainSample, others: PlainSample): number => {
	const ownWeight = Math.min(maxOwnWeight, own.calls);
	return others.calls === 0 ? ownMs : ((ownWeight * ownMs) + others.ms) / (ownWeight + others.calls);
};
