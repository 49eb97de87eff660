/** Decides whether the record in the store allows accounts too little for their demand, so that a new one is written at once. */
import {type KeeperClock, type KeeperState} from './keeper-state.js';
import {collectKnown} from './known-spending.js';
import {computeAllowed, getBurst, sumFrom} from './recorded-spending.js';

/** A new record is written soon when this part of the burst was granted, and at once when nearly all of it was. */
export const usedBurstPart = 0.3;
export const exhaustedBurstPart = 0.6;

/**
 * Whether since the last record more was granted of an account than this part of its burst, or this keeper knows no record. What the record
 * states as a rate is not counted: the newer the record, the less counts as spent after an end of all.
 */
export const needsNewRecord = (keeper: KeeperState, usableByAccount: ReadonlyMap<string, number>, {usedPart, clock}: {readonly usedPart: number; readonly clock: KeeperClock}): boolean => {
	const {allowance, windowMs} = keeper;
	if (typeof allowance === 'string') {
		return true;
	}

	return [...usableByAccount].some(([account, usable]) => {
		const allowed = computeAllowed(allowance, account, {usable, now: allowance.at, windowMs});
		const granted = sumFrom(collectKnown(keeper, account, clock), allowance.since);
		return allowed - granted < getBurst(usable) * (1 - usedPart);
	});
};

/** A record is renewed within this time while the store answers. */
const recentMs = 2000;

/** Whether a new record is likely to follow soon, so that what it does not allow yet need not be refused. */
export const isRecordRecent = ({allowance}: KeeperState, clock: KeeperClock): boolean => allowance === 'unknown' || (allowance !== 'unbounded' && allowance.at >= clock.trueTime - recentMs);
