/**
 * Backend servers that state that they fall over when they have to turn more than a few calls away in a second for want of
 * room. They let fewer calls wait than otherwise, so calls are only sent where a place is known to be free: the daemons
 * share the places as they share limits, and each keeps to its own.
 */
import {computeHoldingOrder, type LimitedBackend} from './plan-sharing.js';
import {hasSettled, type Participant, type ParticipantHistory} from './participants.js';

export type BrittlenessStatement = {
	/** Calls that the backend server can turn away in a second. Undefined if it does not state that it is brittle, or no more. */
	readonly rejections: number | undefined;
	/** When the call was sent whose answer contained the statement, in true time in milliseconds. */
	readonly statedAt: number;
};

export type Brittleness = {
	readonly statement: BrittlenessStatement;
	/** When it was first stated, on the steady clock in milliseconds. */
	readonly since: number;
	/** When it last turned a call of any daemon away, in true time. */
	readonly rejectedAt: number;
};

/** Time from the first statement until daemons keep to their places: all know of it then, and what waits has run. */
const settleMs = 1500;

/** Time after a rejection in which no daemon sends calls: the backend server counts rejections over a second. */
const pauseMs = 1000;

/** Part of the places that is used after a rejection, and the time in which the whole comes back. */
const partAfterRejection = 0.5;
const recoveryMs = 10_000;

/** Part of the places that is used at most. A new connection may hold one for a moment. */
const usedPart = 0.9;

export const neverRejected = 0;

/** Returns the state after a statement, or the known one if the statement is older. */
export const applyBrittleness = (known: Brittleness | undefined, statement: BrittlenessStatement, now: number): Brittleness | undefined => {
	if (known === undefined) {
		return statement.rejections === undefined ? undefined : {statement, since: now, rejectedAt: neverRejected};
	}

	if (statement.statedAt < known.statement.statedAt) {
		return known;
	}

	const isNew = known.statement.rejections === undefined && statement.rejections !== undefined;
	return {...known, statement, since: isNew ? now : known.since};
};

/** Records that a call was turned away, as seen here or by a peer. `at` is in true time. */
export const recordRejection = (known: Brittleness, at: number): Brittleness => ({...known, rejectedAt: Math.max(known.rejectedAt, at)});

/** Whether daemons keep to their places at `now`, on the steady clock. */
export const isInForce = ({statement, since}: Brittleness, now: number): boolean => statement.rejections !== undefined && now >= since + settleMs;

/** Milliseconds until calls may be sent again after a rejection. */
export const computePauseMs = ({rejectedAt}: Brittleness, trueTime: number): number => Math.max(0, rejectedAt + pauseMs - trueTime);

/** Places that all daemons together use. */
export const countUsedPlaces = (places: number): number => Math.max(1, Math.floor(places * usedPart));

/** Distributes the places among the participants in proportion to their weights; the first in order get what is left over. */
const computePlaces = (backend: LimitedBackend, participants: readonly Participant[], daemon: string, places: number): number => {
	const holders = computeHoldingOrder(backend, participants).slice(0, places);
	const total = holders.reduce((sum, {weight}) => sum + weight, 0);
	// Each holder has a place, and the others follow the weights.
	const shared = places - holders.length;
	const floors = holders.map(({weight}) => 1 + Math.floor(shared * weight / total));
	const leftOver = places - floors.reduce((sum, count) => sum + count, 0);
	const position = holders.findIndex(holder => holder.daemon === daemon);
	return position === -1 ? 0 : floors[position]! + (position < leftOver ? 1 : 0);
};

export type PlacesInput = {
	readonly backend: LimitedBackend;
	readonly history: ParticipantHistory;
	readonly daemon: string;
	/** Calls that the backend server runs at a time. */
	readonly places: number;
	readonly now: number;
	readonly propagationMs: number;
};

/** Counts the places that this daemon may use: the fewest by any list of participants that some daemon may still know, so that those in use never sum to more than there are. */
export const countOwnPlaces = ({backend, history, daemon, places, now, propagationMs}: PlacesInput): number => hasSettled(history, now, propagationMs)
	? Math.min(...history.map(({participants}) => computePlaces(backend, participants, daemon, countUsedPlaces(places))))
	: 0;

/** Counts the places that may be used some time after a rejection. A holder keeps one. */
export const limitAfterRejection = (places: number, {rejectedAt}: Brittleness, trueTime: number): number => {
	const part = Math.min(1, partAfterRejection + ((1 - partAfterRejection) * Math.max(0, trueTime - rejectedAt) / recoveryMs));
	return places === 0 ? 0 : Math.max(1, Math.floor(places * part));
};
