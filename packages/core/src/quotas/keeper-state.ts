/**
 * State of a keeper: a daemon that grants its part of the limits of client accounts. Up to a number of daemons all of them are
 * keepers; beyond it a few are keepers of an account, and the others ask them. Keepers of an account report to each other.
 *
 * What was granted is kept by the incarnation that granted it and by slots of time, and outlives that incarnation.
 */
import {type SlotAmounts} from './slot-amounts.js';
import {type Spending} from './spending.js';

/** Spending by account. */
export type SpentByAccount = Map<string, SlotAmounts>;

/** What a keeper leaves to another one that it no longer hears, of one account. */
export type Reserve = {
	/** Part of what was left of the limit when it was last heard. */
	readonly share: number;
	/** Spending that it knew then for certain. */
	readonly known: SlotAmounts;
};

/** What a keeper reports of itself, by which the limits are divided. */
export type Claim = {
	/** Part of the equal division that is its own, against the weights of the others. */
	readonly weight: number;
	/** Cost units per second that are asked of it, by account. */
	readonly demands: Readonly<Record<string, number>>;
};

/** A claim of this keeper, and the true time of the report that told it. */
export type ReportedClaim = Claim & {
	readonly madeAt: number;
};

/** Another keeper. */
export type KeeperPeer = {
	readonly id: string;
	readonly incarnation: string;
	readonly address: string;
	readonly availabilityZone: string;
	/** When its last report was received, on the steady clock. */
	receivedAt: number;
	/** True time at which that report was made. */
	madeAt: number;
	isSettled: boolean;
	/** Whether it ended with a last report, so that everything that it granted is known. */
	hasLeft: boolean;
	/** Whether another incarnation of the daemon has been heard, so that this one has ended. */
	isReplaced: boolean;
	/** Accounts for which it is counted what it may have granted after its last report. */
	readonly lossCounted: Set<string>;
	/** `madeAt` of the last report of this keeper that it has received. Undefined if none. */
	heardOwn: number | undefined;
	/** Incarnations that it hears. */
	hears: readonly string[];
	/** True time up to which it has heard all of them. */
	heardUntil: number;
	readonly spent: SpentByAccount;
	/** What its last report claims. */
	claim: Claim;
	/** By account, from when it was no longer heard. Undefined while it is heard. */
	reserves: Map<string, Reserve> | undefined;
};

/** Cost units per second that are asked of this keeper, smoothed, and the time of the figure on the steady clock. */
export type Demand = {
	readonly rate: number;
	readonly at: number;
};

export type KeeperState = {
	readonly id: string;
	readonly incarnation: string;
	readonly windowMs: number;
	/** What this keeper granted, by account, on the steady clock. */
	readonly payments: Map<string, Spending>;
	readonly demands: Map<string, Demand>;
	/** Claims of this keeper's reports, oldest first. */
	reported: readonly ReportedClaim[];
	/** Its weight, 0 while it is no keeper. */
	weight: number;
	/** Other keepers by incarnation. */
	readonly peers: Map<string, KeeperPeer>;
	/** Spending of incarnations that this keeper never heard itself, told by others. */
	readonly departed: Map<string, SpentByAccount>;
	/** Start of the process, on the steady clock. */
	readonly startedAt: number;
	/** True time from which on others must have heard this keeper before it grants again. */
	unsettledSince: number;
	isSettled: boolean;
	/** When it last sent reports, on the steady clock. */
	reportedAt: number;
};

/** The clocks of a keeper at one moment, in milliseconds. */
export type KeeperClock = {
	readonly steady: number;
	readonly trueTime: number;
};

export type KeeperOptions = Pick<KeeperState, 'id' | 'incarnation' | 'windowMs'> & {
	readonly clock: KeeperClock;
};

export const makeKeeper = ({id, incarnation, windowMs, clock}: KeeperOptions): KeeperState => ({
	id, incarnation, windowMs, payments: new Map(), demands: new Map(), reported: [], weight: 1, peers: new Map(), departed: new Map(), startedAt: clock.steady, unsettledSince: clock.trueTime, isSettled: false, reportedAt: clock.steady,
});

/** Weight of a keeper that leads its zone, against 1 of the others: large calls fit only into a large part. */
export const leadWeight = 7;

/** Reports are sent at this interval. */
export const keeperReportIntervalMs = 300;

/** A keeper that was not heard for this long may be cut off. Its part is left to it. */
export const silentAfterMs = 1200;

/** A silent keeper is taken for ended after this time, and its part is used. */
export const goneAfterMs = 40_000;

/** Clocks of daemons differ by less than this. */
const clockToleranceMs = 300;

/** Whether the peer takes part: its reports arrive, and they are recent. */
export const isHeard = ({receivedAt, madeAt, hasLeft, isReplaced}: KeeperPeer, clock: KeeperClock): boolean =>
	!hasLeft && !isReplaced && receivedAt >= clock.steady - silentAfterMs && madeAt >= clock.trueTime - silentAfterMs - clockToleranceMs;

export const listHeardPeers = ({peers}: KeeperState, clock: KeeperClock): KeeperPeer[] => [...peers.values()].filter(peer => isHeard(peer, clock));

/** Returns the true time up to which all of the peers know what this keeper reported. Infinity if there are none. */
export const findConfirmedUntil = (peers: readonly KeeperPeer[]): number => {
	// One that has just started and has not heard this keeper grants nothing yet.
	const confirmations = peers.flatMap(({heardOwn}) => heardOwn ?? []);
	return Math.min(Infinity, ...confirmations);
};
