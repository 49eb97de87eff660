/** Simulates the calls of one client account to several daemons that share its rate limit, in virtual time. */
import {type AccountLimit} from '../calls/serving-configuration.js';
import {computeMaxUsable, computeUsable, type LimitBounds} from '../quotas/compute-ceiling.js';
import {countLosses} from '../quotas/count-losses.js';
import {decidePayment} from '../quotas/decide-payment.js';
import {dropExpiredSpending, makeKeeperReport, mergeKeeperReport} from '../quotas/exchange-keeper-reports.js';
import {type KeeperReport} from '../quotas/keeper-report.js';
import {sumReserves, updateReserves} from '../quotas/keeper-reserves.js';
import {computeAsked} from '../quotas/keeper-shares.js';
import {
	type KeeperClock, keeperReportIntervalMs, type KeeperState, leadWeight, makeKeeper,
} from '../quotas/keeper-state.js';
import {collectKnown} from '../quotas/known-spending.js';
import {
	type Allowance, makeRecordedSpending, type RecordedSpending, toAllowance,
} from '../quotas/recorded-spending.js';
import {
	exhaustedBurstPart, isRecordRecent, needsNewRecord, usedBurstPart,
} from '../quotas/needs-new-record.js';
import {
	adoptAllowance, type SpendingRecord, trySettle, unsettle, wasPaused,
} from '../quotas/settle-keeper.js';
import {sumAmounts} from '../quotas/slot-amounts.js';
import {splitCost} from '../quotas/split-cost.js';

export type LimitSimulation = {
	readonly daemons: number;
	/** Number of daemons that are keepers of the account; the others ask them. All by default. */
	readonly keepers?: number;
	readonly limit: AccountLimit;
	readonly bounds: LimitBounds;
	/** Longest time that a report is under way, in milliseconds. */
	readonly maxDelayMs: number;
	/** Share of the reports that are lost. */
	readonly lossShare?: number;
	/** Returns the requested cost units per second at a time. */
	readonly getRequestedRate: (now: number) => number;
	/** Returns the daemons that callers use at a time, from 0. All by default. */
	readonly listUsed?: (now: number) => readonly number[];
	/** Mean cost of a call. Costs are exponentially distributed, up to five times the mean, or all the same. */
	readonly meanCost: number;
	readonly hasEqualCosts?: boolean;
	/** Fraction of the calls that cost only `smallCost`. */
	readonly smallCallFraction?: number;
	/** Fraction of the calls that are two ranks less urgent. */
	readonly lessUrgentFraction?: number;
	/** When all daemons stop, to restart half a second later. Undefined if they keep running. */
	readonly stopsAt?: number;
	/** The same, several times, in the order of time. */
	readonly stops?: readonly number[];
	/** Time after a restart of all until one of them writes to the store again. */
	readonly unwrittenMs?: number;
	/** When the store is away. */
	readonly outages?: readonly StoreOutage[];
	/** Daemons that end alone, in the order of time. */
	readonly ends?: readonly DaemonEnd[];
	/** Daemons that stand still for a while. */
	readonly freezes?: readonly DaemonFreeze[];
	/** Daemons that do not reach the others for a while. */
	readonly cuts?: readonly DaemonCut[];
	readonly durationMs: number;
	readonly random: () => number;
};

export type DaemonEnd = {
	readonly at: number;
	/** Which daemon ends, from 0. */
	readonly daemon: number;
	/** Time from its end until it runs again. */
	readonly downMs: number;
	/** Whether it sends a last report. */
	readonly isPlanned?: boolean;
};

export type DaemonFreeze = {
	readonly daemon: number;
	readonly from: number;
	readonly until: number;
};

export type DaemonCut = {
	/** Daemons on one side of the cut. */
	readonly daemons: readonly number[];
	readonly from: number;
	readonly until: number;
};

export type StoreOutage = {
	readonly from: number;
	readonly until: number;
};

export type SimulatedCall = {
	readonly at: number;
	readonly cost: number;
	readonly rank: number;
	readonly isAdmitted: boolean;
};

type Daemon = {
	readonly index: number;
	keeper: KeeperState;
	/** Starts of the daemon so far. */
	starts: number;
	nextReportAt: number;
	/** Until when it is down. */
	downUntil: number;
};

type Message = {
	readonly from: number;
	readonly to: number;
	readonly at: number;
	readonly report: KeeperReport;
};

/** Interval at which the lease holder writes the spending of all daemons. */
const writeIntervalMs = 900;

/** Maximum time until spending is written. The record states what is expected that far ahead. */
const maxUnwrittenMs = 1200;

/** Interval of writes while an account needs more than the record allows. */
const hastyIntervalMs = 500;
const urgentIntervalMs = 250;

/** Time from the restart of all daemons until one of them has read the lease, holds it and writes. */
const unwrittenMs = 500;

/** Time from the stop of all daemons to their restart. */
const restartMs = 500;

/** True time at the start of the simulation. */
const epochMs = 1_000_000_000;

const account = 'shop';

/** Keepers that one call is offered to. */
const maxOffers = 4;

/** Number of keepers that grant most, one of each zone. */
const leadCount = 3;

/** Rank of less urgent calls. The others have rank 0. */
const lessUrgentRank = 2;

/** Cost of a small call, in cost units. */
export const smallCost = 200;

const stepMs = 10;

/** A call waits this long at most for a keeper that grants. */
const maxWaitMs = 500;

/** A keeper that has just started gets an answer within this time. */
const answerWithinMs = 50;

const toClock = (now: number): KeeperClock => ({steady: now, trueTime: epochMs + now});

const drawCost = ({meanCost, hasEqualCosts = false, smallCallFraction = 0, random}: LimitSimulation): number => {
	if (hasEqualCosts) {
		return meanCost;
	}

	return random() < smallCallFraction ? smallCost : Math.min(meanCost * 5, -Math.log(1 - random()) * meanCost);
};

/** Simulates the calls in the order of their time and returns which of them were admitted. */
export const simulateLimit = (simulation: LimitSimulation): SimulatedCall[] => {
	const {bounds, random, limit} = simulation;
	const keeperCount = simulation.keepers ?? simulation.daemons;
	const startKeeper = (index: number, starts: number, now: number): KeeperState => ({
		...makeKeeper({
			id: `d${index}`, incarnation: `d${index}-${starts}`, windowMs: bounds.quotaWindowMs, clock: toClock(now),
		}),
		weight: index < leadCount ? leadWeight : 1,
		allowance: 'unknown',
	});
	const startDaemon = (index: number, starts: number, now: number): Daemon => ({
		index, keeper: startKeeper(index, starts, now), starts, nextReportAt: now + (random() * 50), downUntil: now,
	});
	const daemons = Array.from({length: simulation.daemons}, (_daemon, index) => startDaemon(index, 1, 0));
	const keepers = daemons.slice(0, keeperCount);
	let messages: Message[] = [];
	let record: RecordedSpending | undefined;
	let writtenAt = Number.NEGATIVE_INFINITY;
	let hasStopped = false;
	let writesFrom = 0;
	const pendingStops = [...simulation.stops ?? [], ...simulation.stopsAt === undefined ? [] : [simulation.stopsAt]];
	let allowances: Array<{readonly at: number; readonly to: number; readonly allowance: Allowance | undefined}> = [];
	const pendingEnds = [...simulation.ends ?? []];
	const calls: SimulatedCall[] = [];

	const isFrozen = ({index}: Daemon, now: number): boolean => simulation.freezes?.some(freeze => freeze.daemon === index && now >= freeze.from && now < freeze.until) ?? false;
	const isRunning = (daemon: Daemon, now: number): boolean => now >= daemon.downUntil && !isFrozen(daemon, now);
	const isCut = (from: number, to: number, now: number): boolean => simulation.cuts?.some(cut => now >= cut.from && now < cut.until && cut.daemons.includes(from) !== cut.daemons.includes(to)) ?? false;

	const sendReport = ({index, keeper}: Daemon, now: number, isLeaving = false): void => {
		const report = {...makeKeeperReport(keeper, {address: `d${index}`, availabilityZone: 'a'}, toClock(now)), isLeaving};
		for (const other of keepers) {
			if (other.index !== index && !isCut(index, other.index, now) && random() >= (simulation.lossShare ?? 0)) {
				messages.push({
					from: index, to: other.index, at: now + (random() * simulation.maxDelayMs), report,
				});
			}
		}
	};

	const endDaemons = (now: number): void => {
		while (pendingEnds[0] !== undefined && pendingEnds[0].at <= now) {
			const {daemon: index, downMs, isPlanned} = pendingEnds.shift()!;
			const daemon = daemons[index]!;
			if (isPlanned === true) {
				sendReport(daemon, now, true);
			}

			restart(daemon, now + downMs);
		}
	};

	const restart = (daemon: Daemon, at: number): void => {
		daemon.starts++;
		daemon.keeper = startKeeper(daemon.index, daemon.starts, at);
		daemon.nextReportAt = at + (random() * 50);
		daemon.downUntil = at;
	};

	const deliverReports = (now: number): void => {
		const later: Message[] = [];
		for (const message of messages) {
			const daemon = daemons[message.to]!;
			if (message.at > now || isFrozen(daemon, now)) {
				later.push(message);
			} else if (now >= daemon.downUntil) {
				const isAnswerWanted = mergeKeeperReport(daemon.keeper, message.report, toClock(now));
				daemon.nextReportAt = isAnswerWanted ? Math.min(daemon.nextReportAt, now + answerWithinMs) : daemon.nextReportAt;
			}
		}

		messages = later;
	};

	const computeUnheard = ({id, peers}: KeeperState): number => {
		const heard = new Set([id, ...[...peers.values()].map(peer => peer.id)]);
		let unheard = 0;
		let all = 0;
		for (const {keeper} of keepers) {
			unheard += heard.has(keeper.id) ? 0 : keeper.weight;
			all += keeper.weight;
		}

		return unheard / all;
	};

	const isStoreAway = (now: number): boolean => simulation.outages?.some(({from, until}) => now >= from && now < until) ?? false;

	/** Returns what a keeper reads of the record when it settles. What it reads later is not needed. */
	const readRecord = ({payments}: KeeperState, now: number): SpendingRecord => {
		if (!hasStopped || payments.size > 0) {
			return {kind: 'none'};
		}

		if (isStoreAway(now)) {
			return {kind: 'unknown'};
		}

		return record === undefined ? {kind: 'none'} : {kind: 'read', spending: record, usableByAccount: new Map([[account, computeMaxUsable(limit, bounds)]])};
	};

	const settle = ({keeper}: Daemon, now: number): boolean => {
		if (wasPaused(keeper, toClock(now))) {
			unsettle(keeper, toClock(now));
		}

		return trySettle(keeper, {record: readRecord(keeper, now), hasUnheard: computeUnheard(keeper) > 0}, toClock(now));
	};

	const runRound = (daemon: Daemon, now: number): void => {
		if (now >= daemon.nextReportAt && isRunning(daemon, now)) {
			settle(daemon, now);
			dropExpiredSpending(daemon.keeper, toClock(now));
			updateReserves(daemon.keeper, toClock(now));
			countLosses(daemon.keeper, account, computeMaxUsable(limit, bounds), toClock(now));
			sendReport(daemon, now);
			daemon.nextReportAt = now + keeperReportIntervalMs;
		}
	};

	const writeRecord = (now: number): void => {
		const clock = toClock(now);
		const {keeper} = keepers[0]!;
		const needsRecord = (usedPart: number) => needsNewRecord(keeper, new Map([[account, computeMaxUsable(limit, bounds)]]), {usedPart, clock});
		const hastyMs = needsRecord(usedBurstPart) ? hastyIntervalMs : writeIntervalMs;
		const intervalMs = needsRecord(exhaustedBurstPart) ? urgentIntervalMs : hastyMs;
		if (now < writtenAt + intervalMs || now < writesFrom || isStoreAway(now) || !keeper.isSettled || !isRunning(keepers[0]!, now)) {
			return;
		}

		writtenAt = now;
		const known = collectKnown(keeper, account, clock);
		let demand = 0;
		for (const {keeper} of keepers) {
			demand += computeAsked(keeper, account, clock);
		}

		const left = computeMaxUsable(limit, bounds) - sumAmounts(known, clock.trueTime + hastyIntervalMs, bounds.quotaWindowMs);
		const reserved = sumReserves(keeper, {account, usable: computeMaxUsable(limit, bounds), unheardShare: computeUnheard(keeper)}, clock);
		record = makeRecordedSpending(new Map([[account, {
			known, demand, left, reserved,
		}]]), {at: clock.trueTime, windowMs: bounds.quotaWindowMs, expectedMs: maxUnwrittenMs});
		const allowance = toAllowance(record, bounds.quotaWindowMs);
		adoptAllowance(keeper, allowance);
		for (const {index} of keepers.slice(1)) {
			if (!isCut(0, index, now) && random() >= (simulation.lossShare ?? 0)) {
				allowances.push({at: now + (random() * simulation.maxDelayMs), to: index, allowance});
			}
		}
	};

	const deliverAllowances = (now: number): void => {
		for (const {to, allowance} of allowances.filter(({at}) => at <= now)) {
			if (isRunning(daemons[to]!, now)) {
				adoptAllowance(daemons[to]!.keeper, allowance);
			}
		}

		allowances = allowances.filter(({at}) => at > now);
	};

	const listOffers = (daemon: Daemon, now: number): Daemon[] => {
		const others = keepers.filter(other => other !== daemon && isRunning(other, now) && !isCut(daemon.index, other.index, now) && settle(other, now));
		const first = daemon.index < keeperCount ? [daemon] : [];
		const leads = others.filter(({index}) => index < leadCount);
		const start = daemon.index % Math.max(1, leads.length);
		return [...first.filter(own => settle(own, now)), ...leads.slice(start), ...leads.slice(0, start)].slice(0, maxOffers);
	};

	/** Returns whether the call is granted, or whether a new record may soon allow it. */
	const offerCost = (offers: readonly Daemon[], {cost, usable}: {readonly cost: number; readonly usable: number}, now: number): 'granted' | 'refused' | 'unrecorded' => {
		const pay = ({keeper}: Daemon, amount: number, isFirstAsked: boolean) => decidePayment(keeper, {
			account, cost: amount, usable, maxUsable: computeMaxUsable(limit, bounds), unheardShare: computeUnheard(keeper), isFirstAsked,
		}, toClock(now));
		const rooms: number[] = [];
		let isBound = false;
		for (const [index, daemon] of offers.entries()) {
			const {isGranted, room, isBoundByRecord} = pay(daemon, cost, index === 0);
			if (isGranted) {
				return 'granted';
			}

			rooms.push(room);
			isBound ||= isBoundByRecord && isRecordRecent(daemon.keeper, toClock(now));
		}

		const amounts = splitCost(cost, rooms);
		if (amounts?.every((amount, index) => amount === 0 || pay(offers[index]!, amount, false).isGranted) ?? false) {
			return 'granted';
		}

		return isBound ? 'unrecorded' : 'refused';
	};

	/** Calls that wait for a keeper that grants, as after a restart of all. */
	let waiting: Array<() => boolean> = [];

	const makeCall = (now: number): void => {
		const used = simulation.listUsed?.(now) ?? daemons.map(({index}) => index);
		const running = used.map(index => daemons[index]!).filter(daemon => isRunning(daemon, now));
		const daemon = running[Math.floor(random() * running.length)];
		if (daemon === undefined) {
			return;
		}

		const cost = drawCost(simulation);
		const rank = random() < (simulation.lessUrgentFraction ?? 0) ? lessUrgentRank : 0;
		const usable = computeUsable(limit, bounds, {cost, rank});
		const startedAt = now;
		const offer = (now: number): boolean => {
			const offers = listOffers(daemon, now);
			if (offers.length === 0 && now < startedAt + maxWaitMs) {
				return false;
			}

			const outcome = offerCost(offers, {cost, usable}, now);
			if (outcome === 'unrecorded' && now < startedAt + maxWaitMs) {
				return false;
			}

			calls.push({
				at: now, cost, rank, isAdmitted: outcome === 'granted',
			});
			return true;
		};

		if (!offer(now)) {
			waiting.push(() => offer(currentTime));
		}
	};

	let currentTime = 0;
	for (let now = 0; now < simulation.durationMs; now += stepMs) {
		currentTime = now;
		if (pendingStops[0] !== undefined && now >= pendingStops[0]) {
			pendingStops.shift();
			hasStopped = true;
			messages = [];
			allowances = [];
			writesFrom = now + restartMs + (simulation.unwrittenMs ?? unwrittenMs);
			for (const daemon of daemons) {
				restart(daemon, now + restartMs);
			}
		}

		endDaemons(now);
		deliverReports(now);
		deliverAllowances(now);
		for (const daemon of keepers) {
			runRound(daemon, now);
		}

		writeRecord(now);
		waiting = waiting.filter(offerAgain => !offerAgain());
		const chance = simulation.getRequestedRate(now) / simulation.meanCost * stepMs / 1000;
		for (let left = chance; left > 0; left--) {
			if (random() < left) {
				makeCall(now);
			}
		}
	}

	return calls;
};
