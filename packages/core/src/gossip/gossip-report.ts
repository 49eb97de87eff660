/**
 * Reports that daemons send to each other by gossip. In a small deployment each daemon sends its report to all
 * others. In a large one it sends it to two relays in its zone, which exchange sums, so the gossip traffic of a
 * daemon doesn't grow with the number of daemons.
 */
import {getOwn, mergeRecords} from '@shallotpass/common/records.js';
import {
	addressSchema, ageSchema, amountListSchema, amountSchema, amountsSchema, configurationVersionSchema, maxAmount, maxTextLength, offsetSchema, textSchema, trueTimeSchema,
} from '@shallotpass/common/value-bounds.js';
import * as z from 'zod';
import {mergeReportedCrashes, noReportedCrashes, reportedCrashesSchema} from '../crashes/reported-evidence.js';
import {mergeParticipants} from '../limits/participants.js';
import {mergeBrittlenesses, reportedBrittlenessSchema} from '../limits/reported-brittleness.js';
import {mergeLimits, reportedLimitSchema} from '../limits/reported-limits.js';
import {mergeUnsoundness, reportedUnsoundnessSchema} from '../retries/unsoundness.js';
import {mergeRollouts} from '../rollouts/merge-rollouts.js';
import {mergeResultsByService, subtractResultsByService} from '../rollouts/record-result.js';
import {rolloutResultsSchema, rolloutSchema} from '../rollouts/types.js';
import {toZoneSource} from '../usage/count-starts.js';

/** Daemons in a deployment. Limits are shared among as many as are reported. */
const daemonCountSchema = z.int().nonnegative().max(100_000);

/** Versions and ages of the store data that a daemon holds. Other daemons compare them with their own without a request. */
export const storeVersionsSchema = z.object({
	/** -1 before a configuration was loaded. */
	configurationVersion: z.union([z.literal(-1), configurationVersionSchema]),
	/** Milliseconds since this version was last confirmed to be the newest. */
	configurationAgeMs: ageSchema,
	/** Offset of the first directory record that has not been read. */
	directoryNext: offsetSchema,
	directoryDigest: z.string().max(maxTextLength),
	directoryAgeMs: ageSchema,
	/** Milliseconds since the store itself last answered the daemon. Daemons of earlier versions don't report it. */
	storeAnswerAgeMs: ageSchema.optional(),
	/** Number of daemons that it knows. */
	members: z.int().nonnegative().max(maxAmount),
});

export type StoreVersions = z.infer<typeof storeVersionsSchema>;

/** Levels are logarithms of calls per second. */
const maxLevel = 32;

const reportedParticipant = z.tuple([z.string(), z.string(), z.number().min(-maxLevel).max(maxLevel)]);

export const gossipReportSchema = z.object({
	/** Id of the daemon, or of the relay that computed the sum. */
	id: textSchema,
	/** Identifies one run of the daemon's process. In a sum it is the prefix `zone:` or `total:` and the relay's zone. */
	incarnation: textSchema,
	address: addressSchema,
	availabilityZone: textSchema,
	/** Bandwidth of the sender's network link, in Mbit/s. */
	linkMbps: amountSchema,
	/** Whether the daemon may keep limits of client accounts. Those of earlier versions count for themselves. */
	keepsQuotas: z.boolean().optional(),
	/** Whether the daemon remembers the origins of streams. Those of earlier versions don't. */
	keepsOrigins: z.boolean().optional(),
	/** Number of daemons that the report covers. */
	daemons: daemonCountSchema,
	/** Number of daemons in zones that stopped reporting. They may still admit calls that no other daemon counts. */
	silentDaemons: daemonCountSchema.default(0),
	/** Store data held by the sender, which in a sum is the relay. */
	known: storeVersionsSchema,
	/** Cost units requested per second, by client account. */
	demands: amountsSchema,
	/** Cost units admitted in each slot of the rate limit window, newest first, by client account. */
	spent: z.record(z.string(), amountListSchema),
	/**
	 * Load by backend id: running calls, pending prompt tokens by rank, then the measured prefill as tokens and milliseconds, then the
	 * measured plain calls as number in hundredths and milliseconds. Daemons of earlier versions don't report the last two.
	 */
	loads: z.record(z.string(), amountListSchema),
	/** Calls started, by window, source and client account. A source is a daemon's incarnation, or `zone:` and a zone for the sum of its daemons. */
	usage: z.record(z.string(), z.record(z.string(), amountsSchema)),
	/** Prompt tokens that callers send per second, cached or not, by service. */
	work: amountsSchema,
	/** The same of long prompts only. Daemons of earlier versions don't report it. */
	longWork: amountsSchema.default({}),
	/** Offset of the lease record that a daemon holds, or -1. */
	leaseOffset: z.int().min(-1),
	/** The sender's true time, which daemons synchronize with each other, in milliseconds since the epoch. */
	trueTime: trueTimeSchema,
	/** Always empty. Daemons of earlier versions require it. */
	crashes: z.record(z.string(), z.array(z.string())),
	/** Evidence about requests that may crash backend servers. Daemons of earlier versions don't report it. */
	crashEvidence: reportedCrashesSchema.default(noReportedCrashes),
	/** What backend servers state about their limits, by backend id. Daemons of earlier versions don't report it. */
	limits: z.record(z.string(), reportedLimitSchema).default({}),
	/** Daemons that share the limits of a service's backend servers: id, availability zone and level of each, by service. */
	participants: z.record(z.string(), z.array(reportedParticipant)).default({}),
	/** Brittle backend servers, by backend id. Daemons of earlier versions don't report them. */
	brittle: z.record(z.string(), reportedBrittlenessSchema).default({}),
	/** Backend servers whose answers are none, by backend id. Daemons of earlier versions don't report them. */
	unsound: z.record(z.string(), reportedUnsoundnessSchema).default({}),
	/** Roll-outs, by service. Absent where there are none, and from daemons of earlier versions. */
	rollouts: z.record(z.string(), rolloutSchema).optional(),
	/** Results of the versions in a roll-out, by service. In a sum they add up. */
	rolloutResults: z.record(z.string(), rolloutResultsSchema).optional(),
	/** What the sender can do for daemons that reach no backend server. Daemons of earlier versions don't report it. */
	peerCalls: z.object({
		/** Further calls that it can serve. */
		room: z.int().min(-maxAmount).max(maxAmount),
		/** Whether it reaches no backend server itself. */
		isCutOff: z.boolean(),
	}).optional(),
});

export type GossipReport = z.infer<typeof gossipReportSchema>;

type Amounts = Readonly<Record<string, number>>;

const addAmounts = (left: Amounts, right: Amounts, sign: 1 | -1 = 1): Record<string, number> =>
	mergeRecords(left, right, (amount, known = 0) => Math.max(0, known + (sign * amount)));

type AmountLists = Readonly<Record<string, number[]>>;

const addLists = (left: AmountLists, right: AmountLists, sign: 1 | -1 = 1): Record<string, number[]> => mergeRecords(left, right, (items, known = []) => {
	// A daemon of an earlier version may report fewer items.
	const length = Math.max(items.length, known.length);
	return Array.from({length}, (_value, index) => Math.max(0, (known[index] ?? 0) + (sign * (items[index] ?? 0))));
});

/** Prefix of the incarnation in totals over all zones. */
const totalPrefix = 'total:';

export const isZoneSum = ({incarnation}: Pick<GossipReport, 'incarnation'>): boolean => incarnation.startsWith(toZoneSource(''));

export const isTotal = ({incarnation}: Pick<GossipReport, 'incarnation'>): boolean => incarnation.startsWith(totalPrefix);

export const isSum = (report: Pick<GossipReport, 'incarnation'>): boolean => isZoneSum(report) || isTotal(report);

/** Sums the usage counts of a zone's daemons under the zone as their source. */
const sumUsage = (zone: string, all: readonly GossipReport[]): GossipReport['usage'] => {
	const sum = new Map<string, Amounts>();
	for (const [window, sources] of all.flatMap(({usage}) => Object.entries(usage))) {
		for (const counts of Object.values(sources)) {
			sum.set(window, addAmounts(sum.get(window) ?? {}, counts));
		}
	}

	return Object.fromEntries([...sum].map(([window, counts]) => [window, {[toZoneSource(zone)]: counts}]));
};

const mergeUsageSources = (left: GossipReport['usage'], right: GossipReport['usage']): GossipReport['usage'] =>
	mergeRecords(left, right, (sources, known) => ({...known, ...sources}));

const mergeParticipantLists = (left: GossipReport['participants'], right: GossipReport['participants']): GossipReport['participants'] => {
	const services = new Set([...Object.keys(left), ...Object.keys(right)]);
	return Object.fromEntries([...services].map(service => [service, mergeParticipants([getOwn(left, service) ?? [], getOwn(right, service) ?? []])]));
};

/** Leaves the field out where neither report has it, so that deployments without a roll-out send nothing more. */
const mergeOptional = <Value>(left: Value | undefined, right: Value | undefined, merge: (left: Value, right: Value) => Value): Value | undefined =>
	left === undefined || right === undefined ? left ?? right : merge(left, right);

const addReports = (left: GossipReport, right: GossipReport): GossipReport => ({
	...left,
	daemons: left.daemons + right.daemons,
	silentDaemons: left.silentDaemons + right.silentDaemons,
	demands: addAmounts(left.demands, right.demands),
	spent: addLists(left.spent, right.spent),
	loads: addLists(left.loads, right.loads),
	usage: mergeUsageSources(left.usage, right.usage),
	work: addAmounts(left.work, right.work),
	longWork: addAmounts(left.longWork, right.longWork),
	leaseOffset: Math.max(left.leaseOffset, right.leaseOffset),
	crashEvidence: mergeReportedCrashes(left.crashEvidence, right.crashEvidence),
	limits: mergeLimits(left.limits, right.limits),
	brittle: mergeBrittlenesses(left.brittle, right.brittle),
	unsound: mergeUnsoundness(left.unsound, right.unsound),
	participants: mergeParticipantLists(left.participants, right.participants),
	rollouts: mergeOptional(left.rollouts, right.rollouts, mergeRollouts),
	rolloutResults: mergeOptional(left.rolloutResults, right.rolloutResults, mergeResultsByService),
});

const addAllReports = (first: GossipReport, others: readonly GossipReport[]): GossipReport => {
	let sum = first;
	for (const report of others) {
		sum = addReports(sum, report);
	}

	return sum;
};

/**
 * Sums the reports of a zone. `own` is the relay's report. Of daemons in `departed`, which have stopped, only the
 * usage counts are included.
 */
export const sumReports = (own: GossipReport, others: readonly GossipReport[], departed: readonly GossipReport[]): GossipReport => ({
	...addAllReports(own, others),
	incarnation: toZoneSource(own.availabilityZone),
	usage: sumUsage(own.availabilityZone, [own, ...others, ...departed]),
});

/** Zones that stopped reporting keep their shares of limits unless more than half of the daemons still report. Otherwise both sides of a partition would take whole limits. */
const mergeZoneParticipants = (zone: GossipReport, others: readonly GossipReport[], silent: readonly GossipReport[]): GossipReport['participants'] => {
	const count = (reports: readonly GossipReport[]): number => reports.reduce((sum, {daemons}) => sum + daemons, 0);
	const reporting = [zone, ...others];
	const kept = count(reporting) > count(silent) ? reporting : [...reporting, ...silent];
	let merged: GossipReport['participants'] = {};
	for (const {participants} of kept) {
		merged = mergeParticipantLists(merged, participants);
	}

	return merged;
};

/**
 * Sums the reports of all zones. A relay sends only this total to its zone, so the size of the message doesn't grow
 * with the number of zones. `silent` holds the last sums of zones that stopped reporting.
 */
export const sumZones = (zone: GossipReport, others: readonly GossipReport[], silent: readonly GossipReport[]): GossipReport => ({
	...addAllReports(zone, others),
	incarnation: `${totalPrefix}${zone.availabilityZone}`,
	silentDaemons: silent.reduce((sum, {daemons}) => sum + daemons, 0),
	participants: mergeZoneParticipants(zone, others, silent),
});

/** Subtracts a daemon's own report from a sum that includes it. Usage counts stay complete because they are reported by zone. */
export const subtractReport = (sum: GossipReport, own: GossipReport): GossipReport => ({
	...sum,
	daemons: Math.max(0, sum.daemons - 1),
	demands: addAmounts(sum.demands, own.demands, -1),
	spent: addLists(sum.spent, own.spent, -1),
	loads: addLists(sum.loads, own.loads, -1),
	work: addAmounts(sum.work, own.work, -1),
	longWork: addAmounts(sum.longWork, own.longWork, -1),
	rolloutResults: sum.rolloutResults === undefined ? undefined : subtractResultsByService(sum.rolloutResults, own.rolloutResults ?? {}),
});
