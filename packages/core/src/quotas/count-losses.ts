/**
 * Counts what a keeper may have granted after its last report when it was killed. It goes into the ledger under the ended incarnation, so that
 * every keeper hears of it, also one that starts later.
 */
import {getOwn} from '@shallotpass/common/records.js';
import {
	isHeard, type KeeperClock, type KeeperPeer, type KeeperState,
} from './keeper-state.js';
import {computeShares} from './keeper-shares.js';
import {collectKnown} from './known-spending.js';
import {mergeAmounts, sumAmounts, toSlot} from './slot-amounts.js';

/** A keeper grants at most what it was asked for in this time before it reports: four reports. */
const unreportedMs = 1200;

const estimateLoss = (keeper: KeeperState, account: string, usable: number, {peer, clock}: {readonly peer: KeeperPeer; readonly clock: KeeperClock}): number => {
	const peers = [...keeper.peers.values()].filter(other => other === peer || isHeard(other, clock));
	const share = computeShares(keeper, account, peers).byPeer.get(peer.incarnation) ?? 0;
	const left = usable - sumAmounts(collectKnown(keeper, account, clock), clock.trueTime, keeper.windowMs);
	const asked = (getOwn(peer.claim.demands, account) ?? 0) * unreportedMs / 1000;
	return Math.min(asked, share * Math.max(0, left));
};

/** Counts the losses of an account by the keepers that were replaced since the last call. `usable` is what may be granted within the window. */
export const countLosses = (keeper: KeeperState, account: string, usable: number, clock: KeeperClock): void => {
	for (const peer of keeper.peers.values()) {
		if (!peer.isReplaced || peer.hasLeft || peer.lossCounted.has(account)) {
			continue;
		}

		peer.lossCounted.add(account);
		const loss = estimateLoss(keeper, account, usable, {peer, clock});
		const amounts = peer.spent.get(account) ?? new Map<number, number>();
		// Nothing that it reported stands in the slot after its last report, so others that count the same add nothing.
		mergeAmounts(amounts, new Map([[toSlot(peer.madeAt, keeper.windowMs) + 1, loss]]));
		peer.spent.set(account, amounts);
	}
};
