/**
 * Reserves: what a keeper leaves to others that it no longer hears. One that is cut off goes on granting its part, and the rest grants
 * theirs, so that both together keep the limit without a word.
 */
import {
	goneAfterMs, isHeard, type KeeperClock, type KeeperPeer, type KeeperState, type Reserve,
} from './keeper-state.js';
import {computeShares} from './keeper-shares.js';
import {collectKnownTo, sumOthers} from './known-spending.js';
import {sumAmounts} from './slot-amounts.js';

/** Whether something is left to a peer: it is not heard and may still grant. */
export const isSilent = (peer: KeeperPeer, clock: KeeperClock): boolean =>
	!isHeard(peer, clock) && !peer.hasLeft && !peer.isReplaced && peer.receivedAt >= clock.steady - goneAfterMs;

/** Stands for all accounts of which nothing was asked when the peer fell silent. */
const otherAccounts = '';

const listAccounts = ({demands, peers}: KeeperState): Set<string> =>
	new Set([otherAccounts, ...demands.keys(), ...[...peers.values()].flatMap(({spent}) => [...spent.keys()])]);

const sumShares = (shares: Iterable<number>): number => {
	let sum = 0;
	for (const share of shares) {
		sum += share;
	}

	return sum;
};

/** Computes what is left to each peer that has just fallen silent. */
const computeReserves = (keeper: KeeperState, account: string, newlySilent: readonly KeeperPeer[], clock: KeeperClock): Map<KeeperPeer, Reserve> => {
	const peers = [...keeper.peers.values()];
	const {own, byPeer} = computeShares(keeper, account, peers.filter(peer => newlySilent.includes(peer) || isHeard(peer, clock)));
	const left = 1 - sumShares(peers.filter(peer => isSilent(peer, clock)).map(({reserves}) => reserves?.get(account)?.share ?? 0));
	// A part that is not certain to be anybody's may be in use by those that are cut off.
	const uncertain = Math.max(0, 1 - own - sumShares(byPeer.values()));
	return new Map(newlySilent.map(peer => {
		const share = (byPeer.get(peer.incarnation) ?? 0) + (uncertain / newlySilent.length);
		return [peer, {share: share * left, known: collectKnownTo(keeper, account, peer, clock)}];
	}));
};

/** Makes reserves for the peers that have fallen silent since the last call, and ends those of peers that are heard again. */
export const updateReserves = (keeper: KeeperState, clock: KeeperClock): void => {
	const peers = [...keeper.peers.values()];
	for (const peer of peers.filter(peer => isHeard(peer, clock))) {
		peer.reserves = undefined;
	}

	const newlySilent = peers.filter(peer => peer.reserves === undefined && isSilent(peer, clock));
	const reserves = new Map(newlySilent.map(peer => [peer, new Map<string, Reserve>()]));
	for (const account of newlySilent.length > 0 ? listAccounts(keeper) : []) {
		for (const [peer, reserve] of computeReserves(keeper, account, newlySilent, clock)) {
			reserves.get(peer)!.set(account, reserve);
		}
	}

	for (const [peer, byAccount] of reserves) {
		peer.reserves = byAccount;
	}
};

export type ReserveInput = {
	readonly account: string;
	/** Maximum that all daemons together may grant within the window. */
	readonly usable: number;
	/** Part of the limit that belongs to keepers which were never heard. */
	readonly unheardShare: number;
};

/** Sums what is left to keepers that are not heard. */
export const sumReserves = (keeper: KeeperState, {account, usable, unheardShare}: ReserveInput, clock: KeeperClock): number => {
	let sum = unheardShare * Math.max(0, usable - sumOthers(keeper, account, clock));
	for (const peer of keeper.peers.values()) {
		const reserve = isSilent(peer, clock) ? peer.reserves?.get(account) ?? peer.reserves?.get(otherAccounts) : undefined;
		if (reserve !== undefined) {
			sum += reserve.share * Math.max(0, usable - sumAmounts(reserve.known, clock.trueTime, keeper.windowMs));
		}
	}

	return sum;
};
