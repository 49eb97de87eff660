/**
 * Parts of a limit that keepers may grant before the others know of it. The parts of all keepers sum to 1 at most at any moment, although each
 * knows reports of another age: a keeper counts of itself the smallest claim since the last one that all others have confirmed, and of each other one the last
 * that it received, which is never smaller than what that one counts of itself. So a jump raises no part before the others have lowered theirs.
 */
import {getOwn} from '@shallotpass/common/records.js';
import {
	type Claim, findConfirmedUntil, type KeeperClock, type KeeperPeer, type KeeperState,
} from './keeper-state.js';

/** Part of the limit that is divided by weights, so that keepers without demand can grant the first calls. The rest is divided by demand. */
const weightedPart = 0.7;

/** Time constant of the exponential decay of the demand. */
const demandDecayMs = 3000;

/** Returns the cost units per second that are asked of this keeper. */
export const computeAsked = ({demands}: KeeperState, account: string, clock: KeeperClock): number => {
	const demand = demands.get(account);
	return demand === undefined ? 0 : demand.rate * Math.exp(-Math.max(0, clock.steady - demand.at) / demandDecayMs);
};

/** Adds the cost of a call that is asked for, whether or not it is granted. */
export const recordAsked = (keeper: KeeperState, account: string, cost: number, clock: KeeperClock): void => {
	keeper.demands.set(account, {rate: computeAsked(keeper, account, clock) + (cost * 1000 / demandDecayMs), at: clock.steady});
};

type AccountClaim = {
	readonly weight: number;
	readonly demand: number;
};

const toAccountClaim = ({weight, demands}: Claim, account: string): AccountClaim => ({weight, demand: getOwn(demands, account) ?? 0});

/** Returns the smallest of this keeper's claims that some of the peers may still count. */
const findCertainClaim = ({reported}: KeeperState, account: string, peers: readonly KeeperPeer[]): AccountClaim => {
	const confirmedUntil = findConfirmedUntil(peers);
	const last = reported.at(-1);
	const counted = reported.filter(({madeAt}) => madeAt >= Math.min(confirmedUntil, last?.madeAt ?? 0)).map(claim => toAccountClaim(claim, account));
	return {
		weight: counted.length === 0 ? 0 : Math.min(...counted.map(({weight}) => weight)),
		demand: counted.length === 0 ? 0 : Math.min(...counted.map(({demand}) => demand)),
	};
};

export type Shares = {
	/** This keeper's part. */
	readonly own: number;
	/** Parts of the peers as they last claimed them, by incarnation. */
	readonly byPeer: ReadonlyMap<string, number>;
};

/** Computes the parts of this keeper and of the given peers. */
export const computeShares = (keeper: KeeperState, account: string, peers: readonly KeeperPeer[]): Shares => {
	const last = keeper.reported.at(-1);
	const others = new Map(peers.map(({incarnation, claim}) => [incarnation, toAccountClaim(claim, account)]));
	const all = [last === undefined ? {weight: 0, demand: 0} : toAccountClaim(last, account), ...others.values()];
	let weights = 0;
	let demand = 0;
	for (const claim of all) {
		weights += claim.weight;
		demand += claim.demand;
	}

	const toShare = (claim: AccountClaim): number => {
		const byWeight = weights > 0 ? claim.weight / weights : 0;
		return (weightedPart * byWeight) + ((1 - weightedPart) * (demand > 0 ? claim.demand / demand : byWeight));
	};

	return {
		own: toShare(findCertainClaim(keeper, account, peers)),
		byPeer: new Map([...others].map(([incarnation, claim]) => [incarnation, toShare(claim)])),
	};
};
