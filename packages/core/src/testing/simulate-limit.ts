/** Simulates the calls of one client account to several daemons that share its rate limit, in virtual time. */
import {type AccountLimit} from '../calls/serving-configuration.js';
import {computeMaxUsable, computeUsable, type LimitBounds} from '../quotas/compute-ceiling.js';
import {countLosses} from '../quotas/count-losses.js';
import {decidePayment} from '../quotas/decide-payment.js';
import {dropExpiredSpending, makeKeeperReport, mergeKeeperReport} from '../quotas/exchange-keeper-reports.js';
import {type KeeperReport} from '../quotas/keeper-report.js';
import {updateReserves} from '../quotas/keeper-reserves.js';
import {computeAsked} from '../quotas/keeper-shares.js';
import {
	type KeeperClock, keeperReportIntervalMs, type KeeperState, leadWeight, makeKeeper,
} from '../quotas/keeper-state.js';
import {collectKnown} from '../quotas/known-spending.js';
import {makeRecordedSpending, type RecordedSpending} from '../quotas/recorded-spending.js';
import {trySettle, unsettle, wasPaused} from '../quotas/settle-keeper.js';
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
	});
	const startDaemon = (index: number, starts: number, now: number): Daemon => ({
		index, keeper: startKeeper(index, starts, now), starts, nextReportAt: now + (random() * 50), downUntil: now,
	});
	const daemons = Array.from({length: simulation.daemons}, (_daemon, index) => startDaemon(index, 1, 0));
	const keepers = daemons.slice(0, keeperCount);
	let messages: Message[] = [];
	let record: RecordedSpending | undefined;
	let writtenAt = 0;
	let hasStopped = false;
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

	const settle = ({keeper}: Daemon, now: number): boolean => {
		if (wasPaused(keeper, toClock(now))) {
			unsettle(keeper, toClock(now));
		}

		return trySettle(keeper, {record: hasStopped && record !== undefined ? {kind: 'read', spending: record} : {kind: 'none'}, hasUnheard: computeUnheard(keeper) > 0}, toClock(now));
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
		if (now < writtenAt + writeIntervalMs || hasStopped) {
			return;
		}

		writtenAt = now;
		const clock = toClock(now);
		const {keeper} = keepers[0]!;
		const known = collectKnown(keeper, account, clock);
		let demand = 0;
		for (const {keeper} of keepers) {
			demand += computeAsked(keeper, account, clock);
		}

		const left = computeMaxUsable(limit, bounds) - sumAmounts(known, clock.trueTime, bounds.quotaWindowMs);
		record = makeRecordedSpending(new Map([[account, {known, demand, left}]]), {at: clock.trueTime, windowMs: bounds.quotaWindowMs, expectedMs: maxUnwrittenMs});
	};

	const listOffers = (daemon: Daemon, now: number): Daemon[] => {
		const others = keepers.filter(other => other !== daemon && isRunning(other, now) && !isCut(daemon.index, other.index, now) && settle(other, now));
		const first = daemon.index < keeperCount ? [daemon] : [];
		const leads = others.filter(({index}) => index < leadCount);
		const start = daemon.index % Math.max(1, leads.length);
		return [...first.filter(own => settle(own, now)), ...leads.slice(start), ...leads.slice(0, start)].slice(0, maxOffers);
	};

	const offerCost = (offers: readonly Daemon[], {cost, usable}: {readonly cost: number; readonly usable: number}, now: number): boolean => {
		const pay = ({keeper}: Daemon, amount: number, isFirstAsked: boolean) => decidePayment(keeper, {
			account, cost: amount, usable, maxUsable: computeMaxUsable(limit, bounds), unheardShare: computeUnheard(keeper), isFirstAsked,
		}, toClock(now));
		const rooms: number[] = [];
		for (const [index, daemon] of offers.entries()) {
			const {isGranted, room} = pay(daemon, cost, index === 0);
			if (isGranted) {
				return true;
			}

			rooms.push(room);
		}

		const amounts = splitCost(cost, rooms);
		return amounts?.every((amount, index) => amount === 0 || pay(offers[index]!, amount, false).isGranted) ?? false;
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

			const isAdmitted = offerCost(offers, {cost, usable}, now);
			calls.push({
				at: now, cost, rank, isAdmitted,
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
		if (simulation.stopsAt !== undefined && !hasStopped && now >= simulation.stopsAt) {
			hasStopped = true;
			messages = [];
			for (const daemon of daemons) {
				restart(daemon, now + restartMs);
			}
		}

		endDaemons(now);
		deliverReports(now);
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
