/** Simulates the calls of one client account to several daemons that share its rate limit, in virtual time. */
import {type AccountLimit} from '../calls/serving-configuration.js';
import {
	type AccountBucket, recordDemand, makeBucket, computeDemand, takeFromBucket,
} from '../quotas/account-bucket.js';
import {computeBucketRefill, hasBudget, type SpendingView} from '../quotas/account-budget.js';
import {
	computeMaxUsable, computeUsable, type LimitBounds, type LimitedCall,
} from '../quotas/compute-ceiling.js';
import {
	addSlots, ageSlots, recordSpent, makeSpending, predictSlots, computeSpentSlots, type Spending, sumSlots,
} from '../quotas/spending.js';

export type LimitSimulation = {
	readonly daemons: number;
	readonly limit: AccountLimit;
	readonly bounds: LimitBounds;
	/** Interval between two gossip reports of a daemon, in milliseconds. */
	readonly gossipIntervalMs: number;
	/** Time until all daemons know a report, in milliseconds. */
	readonly gossipDelayMs: number;
	/** Returns the requested cost units per second at a time. */
	readonly getRequestedRate: (now: number) => number;
	/** Mean cost of a call. Costs are exponentially distributed, up to five times the mean. */
	readonly meanCost: number;
	/** Fraction of the calls that cost only `smallCost`. */
	readonly smallCallFraction?: number;
	/** Fraction of the calls that are two ranks less urgent. */
	readonly lessUrgentFraction?: number;
	/** When all daemons stop, to restart half a second later. Undefined if they keep running. */
	readonly stopsAt?: number;
	/** Daemons that end alone, in the order of time. */
	readonly ends?: readonly DaemonEnd[];
	readonly durationMs: number;
	readonly random: () => number;
};

export type DaemonEnd = {
	readonly at: number;
	/** Which daemon ends, from 0. */
	readonly daemon: number;
	/** Time from its end until it runs again. */
	readonly downMs: number;
};

export type SimulatedCall = {
	readonly at: number;
	readonly cost: number;
	readonly rank: number;
	readonly isAdmitted: boolean;
};

type Daemon = {
	spending: Spending;
	bucket: AccountBucket;
	/** Last report that the daemon sent. */
	lastReport: {readonly slots: readonly number[]; readonly demand: number};
	nextReportAt: number;
	/** Spending before its start, as of a time. */
	inherited: {readonly slots: readonly number[]; readonly at: number};
	/** When its last report was sent. */
	reportedAt: number;
	/** Until when it is down. */
	downUntil: number;
};

/** Reports of daemons that ended longer ago are no longer counted. */
const reportExpiryMs = 2500;

/** Interval at which the lease holder writes the spending of all daemons. */
const writeIntervalMs = 900;

/** Maximum time until spending is written. The record predicts the spending that far ahead. */
const maxUnwrittenMs = 1200;

/** Time from the stop of all daemons to their restart. */
const restartMs = 500;

const startDaemon = (simulation: LimitSimulation, now: number): Daemon => ({
	spending: makeSpending(simulation.bounds.quotaWindowMs),
	bucket: makeBucket(now),
	lastReport: {slots: [], demand: 0},
	nextReportAt: now + (simulation.random() * simulation.gossipIntervalMs),
	inherited: {slots: [], at: 0},
	reportedAt: now,
	downUntil: now,
});

/** Rank of less urgent calls. The others have rank 0. */
const lessUrgentRank = 2;

/** Cost of a small call, in cost units. */
export const smallCost = 200;

const drawCost = ({meanCost, smallCallFraction = 0, random}: LimitSimulation): number => random() < smallCallFraction ? smallCost : Math.min(meanCost * 5, -Math.log(1 - random()) * meanCost);

/** Simulates the calls in the order of their time and returns which of them were admitted. */
export const simulateLimit = (simulation: LimitSimulation): SimulatedCall[] => {
	const {bounds, random} = simulation;
	const usable = computeMaxUsable(simulation.limit, bounds);
	let daemons = Array.from({length: simulation.daemons}, () => startDaemon(simulation, 0));
	let record: {slots: readonly number[]; at: number} = {slots: [], at: 0};
	let writtenAt = 0;
	let hasStopped = false;
	const calls: SimulatedCall[] = [];
	const pendingEnds = [...simulation.ends ?? []];
	/** Reports of daemons that have ended, which the others keep until they expire. */
	let departed: Daemon[] = [];

	const endDaemons = (now: number): void => {
		while (pendingEnds[0] !== undefined && pendingEnds[0].at <= now) {
			const {daemon, downMs} = pendingEnds.shift()!;
			departed.push(daemons[daemon]!);
			daemons[daemon] = {...startDaemon(simulation, now + downMs), inherited: record};
		}

		departed = departed.filter(({reportedAt}) => reportedAt >= now - reportExpiryMs);
	};

	const sendReport = (daemon: Daemon, now: number): void => {
		if (now >= daemon.nextReportAt && now >= daemon.downUntil) {
			daemon.reportedAt = now;
			daemon.lastReport = {slots: computeSpentSlots(daemon.spending, now), demand: computeDemand(daemon.bucket, now)};
			daemon.nextReportAt += simulation.gossipIntervalMs;
		}
	};

	const writeRecord = (now: number): void => {
		if (now < writtenAt + writeIntervalMs) {
			return;
		}

		writtenAt = now;
		const slots = addSlots(daemons.map(({lastReport}) => lastReport.slots));
		const demand = daemons.reduce((sum, {lastReport}) => sum + lastReport.demand, 0);
		record = {
			slots: predictSlots({
				slots, demand, usable, aheadMs: maxUnwrittenMs, windowMs: bounds.quotaWindowMs,
			}),
			at: now + maxUnwrittenMs,
		};
	};

	const viewSpending = (daemon: Daemon, {cost, rank}: LimitedCall, now: number): SpendingView => {
		const others = [...daemons.filter(other => other !== daemon), ...departed];
		return {
			usable: computeUsable(simulation.limit, bounds, {cost, rank}),
			windowMs: bounds.quotaWindowMs,
			spent: sumSlots(addSlots([
				computeSpentSlots(daemon.spending, now),
				...others.map(({lastReport}) => lastReport.slots),
				ageSlots(daemon.inherited.slots, now - daemon.inherited.at, bounds.quotaWindowMs),
			])),
			ownDemand: computeDemand(daemon.bucket, now),
			otherDemands: others.map(({lastReport}) => lastReport.demand),
			reportingDaemons: daemons.length,
			silentDaemons: 0,
			gossipDelayMs: simulation.gossipDelayMs,
		};
	};

	const makeCall = (now: number): void => {
		const running = daemons.filter(({downUntil}) => now >= downUntil);
		const daemon = running[Math.floor(random() * running.length)]!;
		const cost = drawCost(simulation);
		const rank = random() < (simulation.lessUrgentFraction ?? 0) ? lessUrgentRank : 0;
		daemon.bucket = recordDemand(daemon.bucket, cost, now);
		const view = viewSpending(daemon, {cost, rank}, now);
		const decision = takeFromBucket(daemon.bucket, {
			cost, now, isUnrestricted: hasBudget(view, cost), refill: computeBucketRefill(view), random,
		});
		daemon.bucket = decision.bucket;
		if (decision.isAdmitted) {
			recordSpent(daemon.spending, cost, now);
		}

		calls.push({
			at: now, cost, rank, isAdmitted: decision.isAdmitted,
		});
	};

	for (let now = 0; now < simulation.durationMs; now += 10) {
		if (simulation.stopsAt !== undefined && !hasStopped && now >= simulation.stopsAt) {
			hasStopped = true;
			const inherited = record;
			daemons = daemons.map(() => ({...startDaemon(simulation, now + restartMs), inherited}));
		}

		if (hasStopped && now < (simulation.stopsAt ?? 0) + restartMs) {
			continue;
		}

		endDaemons(now);
		for (const daemon of daemons) {
			sendReport(daemon, now);
		}

		writeRecord(now);
		const chance = simulation.getRequestedRate(now) / simulation.meanCost / 100;
		for (let left = chance; left > 0; left--) {
			if (random() < left) {
				makeCall(now);
			}
		}
	}

	return calls;
};
