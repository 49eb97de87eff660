/** Evidence in gossip reports, and in the lease record. It is bounded, so that control stays small while many parts are suspected. */
import {trueTimeSchema} from '@shallotpass/common/value-bounds.js';
import * as z from 'zod';
import {getSlot, listDeaths, mergeEvidence} from './crash-evidence.js';
import {
	adoptEvidence, type CrashLedger, listVerdicts, refuteDeath,
} from './crash-ledger.js';
import {type CrashDeath, type CrashEvidence, type CrashVerdict} from './types.js';

/** Most entries that have changed, and most that are repeated: verdicts, and what else was on the same backend servers. */
const maxChangedEntries = 8;
const maxRepeatedEntries = 16;

/** Most deaths, slots of survivals and survivals of a slot in an entry. */
const maxReportedDeaths = 6;
const maxReportedSlots = 6;
const maxReportedSurvivals = 3;

/** Most refuted deaths of a report, and for how long refutations and changed evidence are reported. */
const maxRefuted = 8;
const reportChangesMs = 1500;

/** Time for which what is suspected is repeated, for daemons that were cut off meanwhile. */
const repeatSuspicionsMs = 60_000;

/** Incarnation, true time, account, request, and 1 if the answer had begun. */
const reportedDeathSchema = z.tuple([z.int(), trueTimeSchema, z.int(), z.int(), z.int()]);

export const reportedEvidenceSchema = z.object({
	kind: z.enum(['part', 'request']),
	key: z.string(),
	deaths: z.array(reportedDeathSchema),
	/** Slots with the hashes of some survivals. */
	survivals: z.array(z.tuple([z.int(), z.array(z.int())])),
});

export type ReportedEvidence = z.infer<typeof reportedEvidenceSchema>;

export const reportedCrashesSchema = z.object({
	entries: z.array(reportedEvidenceSchema),
	/** Incarnations that were taken for dead, and the latest true time at which they were not. */
	refuted: z.array(z.tuple([z.int(), trueTimeSchema])),
});

export type ReportedCrashes = z.infer<typeof reportedCrashesSchema>;

export const noReportedCrashes: ReportedCrashes = {entries: [], refuted: []};

const toReportedDeath = ({incarnation, at, account, request, hasBegun}: CrashDeath): ReportedEvidence['deaths'][number] => [incarnation, Math.round(at), account, request, hasBegun ? 1 : 0];

/** Survivals before the first of the reported deaths add nothing to those after it. */
const toReportedEvidence = (kind: ReportedEvidence['kind'], key: string, evidence: CrashEvidence): ReportedEvidence => {
	const deaths = listDeaths(evidence).slice(-maxReportedDeaths);
	const slots = [...evidence.survivals].toSorted(([left], [right]) => left - right);
	const since = getSlot(deaths[0]?.at ?? 0) - 1;
	const survivals = slots.filter(([slot]) => slot >= since).slice(-maxReportedSlots);
	return {
		kind, key, deaths: deaths.map(death => toReportedDeath(death)),
		survivals: survivals.map(([slot, hashes]) => [slot, hashes.slice(0, maxReportedSurvivals)]),
	};
};

const toEvidence = ({deaths, survivals}: ReportedEvidence): CrashEvidence => ({
	deaths: new Map(deaths.map(([incarnation, at, account, request, hasBegun]) => [incarnation, {
		incarnation, at, account, request, hasBegun: hasBegun === 1,
	}])),
	survivals: new Map(survivals),
});

const reportVerdicts = (ledger: CrashLedger, verdicts: readonly CrashVerdict[]): ReportedEvidence[] => verdicts.slice(0, maxRepeatedEntries).flatMap(({kind, keys}) => keys.flatMap(key => {
	const entry = ledger[kind].suspected.get(key);
	return entry === undefined ? [] : [toReportedEvidence(kind, key, entry.evidence)];
}));

/** Lists what has changed since: parts before requests, and first what is on most deaths. */
const reportSuspected = (ledger: CrashLedger, since: number, count: number): ReportedEvidence[] => (['part', 'request'] as const)
	.flatMap(kind => [...ledger[kind].suspected]
		.filter(([, {changedAt}]) => changedAt >= since)
		.toSorted(([, left], [, right]) => right.evidence.deaths.size - left.evidence.deaths.size || right.changedAt - left.changedAt)
		.map(([key, {evidence}]) => ({kind, key, evidence})))
	.slice(0, count)
	.map(({kind, key, evidence}) => toReportedEvidence(kind, key, evidence));

/** Returns what to report: changes at once, and with `hasVerdicts` also verdicts and what else was suspected lately, for daemons that have started or were cut off since. `now` is on the steady clock. */
export const reportCrashes = (ledger: CrashLedger, {now, hasVerdicts}: {readonly now: number; readonly hasVerdicts: boolean}): ReportedCrashes => ({
	entries: hasVerdicts
		? mergeEntries(reportVerdicts(ledger, listVerdicts(ledger)), reportSuspected(ledger, now - repeatSuspicionsMs, maxRepeatedEntries))
		: reportSuspected(ledger, now - reportChangesMs, maxChangedEntries),
	refuted: now < ledger.refutedAt + reportChangesMs ? [...ledger.refuted].slice(-maxRefuted).map(([incarnation, at]) => [incarnation, Math.round(at)]) : [],
});

/** Returns the evidence of all verdicts, to be kept outside of the daemons. */
export const recordVerdicts = (ledger: CrashLedger): ReportedEvidence[] => reportVerdicts(ledger, listVerdicts(ledger));

const mergeEntries = (left: readonly ReportedEvidence[], right: readonly ReportedEvidence[]): ReportedEvidence[] => {
	const merged = new Map<string, ReportedEvidence>();
	for (const entry of [...left, ...right]) {
		const id = `${entry.kind}:${entry.key}`;
		const known = merged.get(id);
		merged.set(id, known === undefined ? entry : toReportedEvidence(entry.kind, entry.key, mergeEvidence(toEvidence(known), toEvidence(entry))));
	}

	return [...merged.values()];
};

/** Merges the reports of two daemons for the sum of a relay. */
export const mergeReportedCrashes = (left: ReportedCrashes, right: ReportedCrashes): ReportedCrashes => ({
	entries: mergeEntries(left.entries, right.entries)
		.toSorted((first, second) => second.deaths.length - first.deaths.length)
		.slice(0, 2 * maxRepeatedEntries),
	// The later times stand last, and replace earlier ones.
	refuted: [...new Map([...left.refuted, ...right.refuted].toSorted(([, first], [, second]) => first - second))].slice(-maxRefuted),
});

/** Adopts what another daemon reports. Returns whether something was new. */
export const adoptReportedCrashes = (ledger: CrashLedger, {entries, refuted}: ReportedCrashes, now: number): boolean => {
	let hasNew = false;
	for (const entry of entries) {
		hasNew = adoptEvidence(ledger, {kind: entry.kind, key: entry.key, evidence: toEvidence(entry)}, now) || hasNew;
	}

	for (const [incarnation, at] of refuted) {
		hasNew = refuteDeath(ledger, incarnation, at, now) || hasNew;
	}

	return hasNew;
};
