/** Simulates the calls of one client account to several daemons that share its rate limit, in virtual time. */
import {type AccountLimit} from '../calls/serving-configuration.js';
import {
	type AccountBucket, noteDemand, openBucket, readDemand, takeFromBucket,
} from '../quotas/account-bucket.js';
import {computeAllotment, hasRoom, type SpendingView} from '../quotas/account-room.js';
import {
	computeMostUsable, computeUsable, type LimitBounds, type LimitedCall,
} from '../quotas/compute-ceiling.js';
import {
	addSlots, ageSlots, noteSpent, openSpending, predictSlots, readSpentSlots, type Spending, sumSlots,
} from '../quotas/spending.js';

export type LimitPlay = {
	readonly daemons: number;
	readonly limit: AccountLimit;
	readonly bounds: LimitBounds;
	/** Interval between two gossip reports of a daemon, in milliseconds. */
	readonly tellEveryMs: number;
	/** Time until all daemons know a report, in milliseconds. */
	readonly gossipMs: number;
	/** Returns the requested cost units per second at a time. */
	readonly getAsked: (now: number) => number;
	/** Mean cost of a call. Costs are exponentially distributed, up to five times the mean. */
	readonly meanCost: number;
	/** Fraction of the calls that cost only `smallCost`. */
	readonly smallPart?: number;
	/** Fraction of the calls that are two ranks less urgent. */
	readonly lessUrgentPart?: number;
	/** When all daemons stop, to restart half a second later. Undefined if they keep running. */
	readonly endsAt?: number;
	readonly lengthMs: number;
	readonly random: () => number;
};

export type PlayedCall = {
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
};

/** Interval at which the lease holder writes the spending of all daemons. */
const writeIntervalMs = 900;

/** Longest time in which spending isn't written yet. The record predicts the spending that far ahead. */
const maxUnwrittenMs = 1200;

/** Time from the stop of all daemons to their restart. */
const restartMs = 500;

const startDaemon = (simulation: LimitPlay, now: number): Daemon => ({
	spending: openSpending(simulation.bounds.quotaWindowMs),
	bucket: openBucket(now),
	lastReport: {slots: [], demand: 0},
	nextReportAt: now + (simulation.random() * simulation.tellEveryMs),
});

/** Rank of less urgent calls. The others have rank 0. */
const lessUrgentRank = 2;

/** Cost of a small call, in cost units. */
export const smallCost = 200;

const drawCost = ({meanCost, smallPart = 0, random}: LimitPlay): number => random() < smallPart ? smallCost : Math.min(meanCost * 5, -Math.log(1 - random()) * meanCost);

/** Simulates the calls in the order of their time and returns which of them were admitted. */
export const playLimit = (simulation: LimitPlay): PlayedCall[] => {
	const {bounds, random} = simulation;
	const usable = computeMostUsable(simulation.limit, bounds);
	let daemons = Array.from({length: simulation.daemons}, () => startDaemon(simulation, 0));
	let record: {slots: readonly number[]; at: number} = {slots: [], at: 0};
	let inherited = record;
	let writtenAt = 0;
	let hasStopped = false;
	const calls: PlayedCall[] = [];

	const sendReport = (daemon: Daemon, now: number): void => {
		if (now >= daemon.nextReportAt) {
			daemon.lastReport = {slots: readSpentSlots(daemon.spending, now), demand: readDemand(daemon.bucket, now)};
			daemon.nextReportAt += simulation.tellEveryMs;
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
		const others = daemons.filter(other => other !== daemon);
		return {
			usable: computeUsable(simulation.limit, bounds, {cost, rank}),
			windowMs: bounds.quotaWindowMs,
			spent: sumSlots(addSlots([
				readSpentSlots(daemon.spending, now),
				...others.map(({lastReport}) => lastReport.slots),
				ageSlots(inherited.slots, now - inherited.at, bounds.quotaWindowMs),
			])),
			ownDemand: readDemand(daemon.bucket, now),
			otherDemands: others.map(({lastReport}) => lastReport.demand),
			heardDaemons: daemons.length,
			silentDaemons: 0,
			gossipMs: simulation.gossipMs,
		};
	};

	const makeCall = (now: number): void => {
		const daemon = daemons[Math.floor(random() * daemons.length)]!;
		const cost = drawCost(simulation);
		const rank = random() < (simulation.lessUrgentPart ?? 0) ? lessUrgentRank : 0;
		daemon.bucket = noteDemand(daemon.bucket, cost, now);
		const view = viewSpending(daemon, {cost, rank}, now);
		const verdict = takeFromBucket(daemon.bucket, {
			cost, now, isOpen: hasRoom(view, cost), allotment: computeAllotment(view), random,
		});
		daemon.bucket = verdict.bucket;
		if (verdict.isAdmitted) {
			noteSpent(daemon.spending, cost, now);
		}

		calls.push({
			at: now, cost, rank, isAdmitted: verdict.isAdmitted,
		});
	};

	for (let now = 0; now < simulation.lengthMs; now += 10) {
		if (simulation.endsAt !== undefined && !hasStopped && now >= simulation.endsAt) {
			hasStopped = true;
			inherited = record;
			daemons = daemons.map(() => startDaemon(simulation, now + restartMs));
		}

		if (hasStopped && now < (simulation.endsAt ?? 0) + restartMs) {
			continue;
		}

		for (const daemon of daemons) {
			sendReport(daemon, now);
		}

		writeRecord(now);
		const chance = simulation.getAsked(now) / simulation.meanCost / 100;
		for (let left = chance; left > 0; left--) {
			if (random() < left) {
				makeCall(now);
			}
		}
	}

	return calls;
};
