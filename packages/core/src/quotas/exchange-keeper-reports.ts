/** Makes and merges the reports of keepers. Merging the same report twice, late, in another order or by another keeper changes nothing. */
import {getOwn} from '@shallotpass/common/records.js';
import {type KeeperReport} from './keeper-report.js';
import {collectOwn} from './known-spending.js';
import {
	goneAfterMs, isHeard, type KeeperClock, type KeeperPeer, type KeeperState, listHeardPeers, type SpentByAccount,
} from './keeper-state.js';
import {computeAsked} from './keeper-shares.js';
import {
	decodeSlots, dropExpiredSlots, encodeSlots, mergeAmounts, toSlot,
} from './slot-amounts.js';

/** Clocks of daemons differ by less. A report whose time differs more is taken as of its receipt. */
const maxClockDifferenceMs = 2000;

const encodeSpent = (spent: SpentByAccount, windowMs: number, trueTime: number): Record<string, number[]> =>
	Object.fromEntries([...spent].map(([account, amounts]) => [account, encodeSlots(amounts, trueTime, windowMs)] as const).filter(([, list]) => list.length > 0));

export type ReportAddress = Pick<KeeperReport, 'address' | 'availabilityZone'>;

/** Makes the report of this keeper, and remembers what it claims. */
export const makeKeeperReport = (keeper: KeeperState, {address, availabilityZone}: ReportAddress, clock: KeeperClock): KeeperReport => {
	const {id, incarnation, windowMs, isSettled, weight} = keeper;
	const accounts = new Map<string, KeeperReport['accounts'][string]>();
	for (const account of new Set([...keeper.demands.keys(), ...keeper.payments.keys()])) {
		const demand = Math.round(computeAsked(keeper, account, clock));
		const spent = encodeSlots(collectOwn(keeper, account, clock), clock.trueTime, windowMs);
		if (spent.length > 0 || demand > 0) {
			accounts.set(account, {demand, spent});
		}
	}

	const unheard = [...keeper.peers].filter(([, peer]) => !isHeard(peer, clock)).map(([origin, {spent}]) => [origin, spent] as const);
	const departed = [...unheard, ...keeper.departed].map(([origin, spent]) => [origin, encodeSpent(spent, windowMs, clock.trueTime)] as const);
	const claim = {weight, demands: Object.fromEntries([...accounts].map(([account, {demand}]) => [account, demand])), madeAt: clock.trueTime};
	keeper.reported = [...keeper.reported.filter(({madeAt}) => madeAt >= clock.trueTime - goneAfterMs), claim];
	keeper.reportedAt = clock.steady;
	return {
		id,
		incarnation,
		address,
		availabilityZone,
		madeAt: clock.trueTime,
		isSettled,
		isLeaving: false,
		weight,
		heard: Object.fromEntries(listHeardPeers(keeper, clock).map(peer => [peer.incarnation, peer.madeAt])),
		accounts: Object.fromEntries(accounts),
		departed: Object.fromEntries(departed.filter(([, spent]) => Object.keys(spent).length > 0)),
	};
};

const mergeSpent = (spent: SpentByAccount, account: string, list: readonly number[], newestSlot: number): void => {
	const amounts = spent.get(account) ?? new Map<number, number>();
	mergeAmounts(amounts, decodeSlots(list, newestSlot));
	spent.set(account, amounts);
};

const makePeer = ({id, incarnation, address, availabilityZone}: KeeperReport): KeeperPeer => ({
	id, incarnation, address, availabilityZone, receivedAt: 0, madeAt: Number.NEGATIVE_INFINITY, isSettled: false, hasLeft: false, isReplaced: false, lossCounted: new Set(), heardOwn: undefined, hears: [], heardUntil: Number.NEGATIVE_INFINITY, spent: new Map(), claim: {weight: 0, demands: {}}, reserves: undefined,
});

/** Takes over what the peer says about itself, unless a later report has arrived before. */
const updatePeer = (peer: KeeperPeer, report: KeeperReport, ownIncarnation: string, clock: KeeperClock): void => {
	if (report.madeAt <= peer.madeAt) {
		return;
	}

	peer.receivedAt = clock.steady;
	peer.madeAt = report.madeAt;
	peer.isSettled = report.isSettled;
	peer.hasLeft = report.isLeaving;
	peer.heardOwn = getOwn(report.heard, ownIncarnation) ?? peer.heardOwn;
	peer.hears = Object.keys(report.heard);
	peer.heardUntil = Math.min(report.madeAt, ...Object.values(report.heard));
	peer.claim = {weight: report.weight, demands: Object.fromEntries(Object.entries(report.accounts).map(([account, {demand}]) => [account, demand]))};
};

const getDepartedSpent = (keeper: KeeperState, origin: string): SpentByAccount => {
	const spent = keeper.peers.get(origin)?.spent ?? keeper.departed.get(origin) ?? new Map<string, Map<number, number>>();
	if (!keeper.peers.has(origin)) {
		keeper.departed.set(origin, spent);
	}

	return spent;
};

/** Marks all incarnations of a daemon but the one with the newest report as ended. A late report of an ended one changes nothing. */
const markReplaced = ({peers}: KeeperState, id: string): void => {
	const lives = [...peers.values()].filter(peer => peer.id === id);
	const newestAt = Math.max(...lives.map(({madeAt}) => madeAt));
	for (const peer of lives) {
		peer.isReplaced = peer.madeAt < newestAt;
	}
};

/** Merges a report of another keeper. Returns whether the peer waits for an answer, as it has just started and has not heard this keeper. */
export const mergeKeeperReport = (keeper: KeeperState, report: KeeperReport, clock: KeeperClock): boolean => {
	if (report.incarnation === keeper.incarnation) {
		return false;
	}

	const peer = keeper.peers.get(report.incarnation) ?? makePeer(report);
	keeper.peers.set(report.incarnation, peer);
	// What was told of it before it was heard here.
	for (const [account, amounts] of keeper.departed.get(report.incarnation) ?? []) {
		peer.spent.set(account, amounts);
	}

	keeper.departed.delete(report.incarnation);
	updatePeer(peer, report, keeper.incarnation, clock);
	markReplaced(keeper, report.id);
	const isDated = Math.abs(report.madeAt - clock.trueTime) <= maxClockDifferenceMs;
	const newestSlot = toSlot(isDated ? report.madeAt : clock.trueTime, keeper.windowMs);
	for (const [account, {spent}] of Object.entries(report.accounts)) {
		mergeSpent(peer.spent, account, spent, newestSlot);
	}

	for (const [origin, accounts] of Object.entries(report.departed)) {
		if (origin !== keeper.incarnation) {
			for (const [account, spent] of Object.entries(accounts)) {
				mergeSpent(getDepartedSpent(keeper, origin), account, spent, newestSlot);
			}
		}
	}

	return !report.isSettled && !report.isLeaving && getOwn(report.heard, keeper.incarnation) === undefined;
};

const dropExpired = (spent: SpentByAccount, windowMs: number, trueTime: number): void => {
	for (const [account, amounts] of spent) {
		dropExpiredSlots(amounts, trueTime, windowMs);
		if (amounts.size === 0) {
			spent.delete(account);
		}
	}
};

/** Drops what has left the window, and peers that have not been heard for long. */
export const dropExpiredSpending = (keeper: KeeperState, clock: KeeperClock): void => {
	for (const [incarnation, peer] of keeper.peers) {
		dropExpired(peer.spent, keeper.windowMs, clock.trueTime);
		if (peer.receivedAt < clock.steady - goneAfterMs) {
			keeper.peers.delete(incarnation);
		}
	}

	for (const [origin, spent] of keeper.departed) {
		dropExpired(spent, keeper.windowMs, clock.trueTime);
		if (spent.size === 0) {
			keeper.departed.delete(origin);
		}
	}
};
