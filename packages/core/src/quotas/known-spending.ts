/** What a keeper knows of the spending of an account. The known spending of a past moment never falls but by age. */
import {type KeeperClock, type KeeperPeer, type KeeperState} from './keeper-state.js';
import {
	addToSlot, type SlotAmounts, sumAmounts, toSlot,
} from './slot-amounts.js';
import {computeSpent} from './spending.js';

/** Returns what this keeper granted, by slot. */
export const collectOwn = ({payments, windowMs}: KeeperState, account: string, clock: KeeperClock): SlotAmounts => {
	const offset = clock.trueTime - clock.steady;
	const own: SlotAmounts = new Map();
	for (const {at, cost} of payments.get(account)?.entries ?? []) {
		addToSlot(own, toSlot(at + offset, windowMs), cost);
	}

	return own;
};

/** Lists what each other incarnation granted, heard or departed. */
const listOthers = ({peers, departed}: KeeperState, account: string): SlotAmounts[] =>
	[...[...peers.values()].map(({spent}) => spent), ...departed.values()].flatMap(spent => spent.get(account) ?? []);

/** Returns what is known to be spent on all daemons, by slot. */
export const collectKnown = (keeper: KeeperState, account: string, clock: KeeperClock): SlotAmounts => {
	const known = collectOwn(keeper, account, clock);
	for (const amounts of listOthers(keeper, account)) {
		for (const [slot, amount] of amounts) {
			addToSlot(known, slot, amount);
		}
	}

	return known;
};

/** Returns what the peer surely knew when it made its last report, by slot: what it granted, and what others did until it last heard all of them. */
export const collectKnownTo = (keeper: KeeperState, account: string, peer: KeeperPeer, clock: KeeperClock): SlotAmounts => {
	const granted = peer.spent.get(account) ?? new Map<number, number>();
	const firstUncertain = toSlot(peer.heardUntil, keeper.windowMs);
	return new Map([...collectKnown(keeper, account, clock)].map(([slot, amount]) => [slot, slot < firstUncertain ? amount : granted.get(slot) ?? 0]));
};

/** Sums what other daemons are known to have spent within the window. */
export const sumOthers = (keeper: KeeperState, account: string, clock: KeeperClock): number => {
	let sum = 0;
	for (const amounts of listOthers(keeper, account)) {
		sum += sumAmounts(amounts, clock.trueTime, keeper.windowMs);
	}

	return sum;
};

/** Sums what this keeper granted within the window. */
export const sumOwn = ({payments}: KeeperState, account: string, clock: KeeperClock): number => {
	const spending = payments.get(account);
	return spending === undefined ? 0 : computeSpent(spending, clock.steady);
};

/** Sums what this keeper granted from a true time on, which others may not know. */
export const sumOwnSince = ({payments}: KeeperState, account: string, clock: KeeperClock, since: number): number => {
	const sinceSteady = since - (clock.trueTime - clock.steady);
	const entries = payments.get(account)?.entries ?? [];
	let sum = 0;
	for (let index = entries.length - 1; index >= 0 && entries[index]!.at >= sinceSteady; index--) {
		sum += entries[index]!.cost;
	}

	return sum;
};
