/**
 * Settles a keeper that has started or was suspended: it grants nothing until it knows what the others know, and they know of it. Otherwise each
 * restart would give an account its limit again.
 */
import {type KeeperClock, type KeeperState, listHeardPeers} from './keeper-state.js';
import {type RecordedSpending, readRecordedSlots} from './recorded-spending.js';

/** A keeper waits this long for others that it has never heard. */
const introductionMs = 1000;

/** Whether the keeper has started so lately that others may still be starting as well. Until then it refuses nothing for the sake of their parts. */
export const isIntroducing = (keeper: KeeperState, hasUnheard: boolean, clock: KeeperClock): boolean =>
	clock.trueTime < keeper.unsettledSince + introductionMs && (hasUnheard || listHeardPeers(keeper, clock).some(({isSettled}) => !isSettled));

/** A keeper that sent no report for this long has not run meanwhile. */
const maxReportPauseMs = 1000;

/** Origin of spending that was read from the store. */
const recordOrigin = 'record';

/** Adopts recorded spending. Nobody else has it after an end of all daemons at once. */
const adoptRecord = (keeper: KeeperState, record: RecordedSpending, clock: KeeperClock): void => {
	const {windowMs, startedAt} = keeper;
	const endedBy = clock.trueTime - (clock.steady - startedAt);
	const spent = Object.keys(record.accounts).map(account => [account, readRecordedSlots(record, account, {windowMs, endedBy})] as const);
	keeper.departed.set(recordOrigin, new Map(spent));
};

/** Whether the keeper has not run for a while, so that what it knows is old. */
export const wasPaused = ({reportedAt}: KeeperState, clock: KeeperClock): boolean => clock.steady > reportedAt + maxReportPauseMs;

/** Lets the keeper hear the others before it grants again. */
export const unsettle = (keeper: KeeperState, clock: KeeperClock): void => {
	keeper.isSettled = false;
	keeper.unsettledSince = clock.trueTime;
	keeper.reportedAt = clock.steady;
};

/** Clocks of daemons differ by less than this. */
const clockToleranceMs = 300;

/** What the store holds of the spending of accounts. `unknown` if it could not be read, or was written by a holder that did not know it either. */
export type SpendingRecord =
	| {readonly kind: 'unknown'}
	/** Nothing was spent before. */
	| {readonly kind: 'none'}
	| {readonly kind: 'read'; readonly spending: RecordedSpending};

/**
 * Whether everything that earlier processes granted has left the window. A keeper that hears no settled one then needs no record: whoever
 * granted since is heard or has its part reserved.
 */
export const isOlderThanWindow = ({startedAt, windowMs}: KeeperState, clock: KeeperClock): boolean => clock.steady >= startedAt + windowMs + clockToleranceMs;

export type SettleInput = {
	/** Spending that the store holds. It is needed only if no other keeper is settled. */
	readonly record: SpendingRecord;
	/** Whether there are other keepers that it has never heard. */
	readonly hasUnheard: boolean;
};

/** Settles the keeper if all that it hears have heard it since, and a settled one or the record has told what was spent. Returns whether it may grant. */
export const trySettle = (keeper: KeeperState, {record, hasUnheard}: SettleInput, clock: KeeperClock): boolean => {
	if (keeper.isSettled) {
		return true;
	}

	const heard = listHeardPeers(keeper, clock);
	if (heard.length === 0 && isIntroducing(keeper, hasUnheard, clock)) {
		return false;
	}

	const hasHeardAll = heard.every(({hears}) => hears.every(incarnation => incarnation === keeper.incarnation || keeper.peers.has(incarnation)));
	const isHeardByAll = heard.every(({heardOwn}) => heardOwn !== undefined && heardOwn >= keeper.unsettledSince);
	if (!hasHeardAll || !isHeardByAll) {
		return false;
	}

	const isToldByPeers = heard.some(({isSettled}) => isSettled);
	if (!isToldByPeers && record.kind === 'unknown' && !isOlderThanWindow(keeper, clock)) {
		return false;
	}

	if (!isToldByPeers && record.kind === 'read') {
		adoptRecord(keeper, record.spending, clock);
	}

	keeper.isSettled = true;
	return true;
};
