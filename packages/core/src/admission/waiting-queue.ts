/** Requests that wait for a backend server: by class rank, then fairly between accounts, in bounds. */
import {hasPlace} from './adapt-concurrency.js';

export type WaitingRequest = {
	readonly id: string;
	readonly account: string;
	readonly share: number;
	readonly rank: number;
	/** Expected work in tokens; what fairness is measured in. */
	readonly work: number;
	readonly waitingSince: number;
	readonly deadline: number;
	/** When it has to start for its latency target, milliseconds since the epoch; absent without a target. */
	readonly startBy?: number;
	/** Whether it has no latency target, and fills what others leave. */
	readonly isPatient: boolean;
};

type Entry = WaitingRequest & {readonly finishTag: number};

export type WaitingQueue = {
	readonly entries: Entry[];
	/** Virtual finish time of each account's last request. */
	readonly accountTags: Map<string, number>;
	virtualTime: number;
	takenSinceOldest: number;
};

/** One in this many goes to the request that waited longest, whatever its class, so that no class starves. */
const oldestTurn = 16;

export const makeWaitingQueue = (): WaitingQueue => ({
	entries: [],
	accountTags: new Map(),
	virtualTime: 0,
	takenSinceOldest: 0,
});

/** Late for its target already: one that can still keep its own goes first, or in an overload all would be late. */
const isLate = ({startBy}: Entry, now: number): boolean => startBy !== undefined && startBy < now;

const isBefore = (left: Entry, right: Entry, now: number): boolean => {
	if (left.rank !== right.rank) {
		return left.rank < right.rank;
	}

	const isRightLate = isLate(right, now);
	return isLate(left, now) === isRightLate ? left.finishTag < right.finishTag : isRightLate;
};

/** Adds a request. Returns the request that had to give way when the queue is full, which may be the new one. */
export const enqueueRequest = (queue: WaitingQueue, request: WaitingRequest, capacity: number): WaitingRequest | undefined => {
	const start = Math.max(queue.virtualTime, queue.accountTags.get(request.account) ?? 0);
	const entry = {...request, finishTag: start + (request.work / request.share)};
	queue.accountTags.set(request.account, entry.finishTag);
	queue.entries.push(entry);
	if (queue.entries.length <= capacity) {
		return undefined;
	}

	let last: Entry = queue.entries[0]!;
	for (const candidate of queue.entries) {
		if (isBefore(last, candidate, request.waitingSince)) {
			last = candidate;
		}
	}

	queue.entries.splice(queue.entries.indexOf(last), 1);
	return last;
};

/** What may start now. */
export type Places = {
	readonly now: number;
	/** Calls that run. */
	readonly running: number;
	/** Calls that may run. */
	readonly capacity: number;
};

const pickNext = (queue: WaitingQueue, {now, running, capacity}: Places): Entry | undefined => {
	const wantsOldest = queue.takenSinceOldest >= oldestTurn - 1;
	const hasUrgentPlace = hasPlace(running, capacity, false);
	// Were the free places kept from the oldest too, drafts would starve behind a counter that never rests.
	const hasPatientPlace = wantsOldest ? hasUrgentPlace : hasPlace(running, capacity, true);
	let best: Entry | undefined;
	for (const entry of queue.entries) {
		if (!(entry.isPatient ? hasPatientPlace : hasUrgentPlace)) {
			continue;
		}

		if (best === undefined || (wantsOldest ? entry.waitingSince < best.waitingSince : isBefore(entry, best, now))) {
			best = entry;
		}
	}

	return best;
};

/** Takes the next request that has a place. */
export const dequeueRequest = (queue: WaitingQueue, places: Places): WaitingRequest | undefined => {
	const entry = pickNext(queue, places);
	if (entry === undefined) {
		return undefined;
	}

	queue.entries.splice(queue.entries.indexOf(entry), 1);
	queue.takenSinceOldest = queue.takenSinceOldest >= oldestTurn - 1 ? 0 : queue.takenSinceOldest + 1;
	queue.virtualTime = Math.max(queue.virtualTime, entry.finishTag - (entry.work / entry.share));
	if (queue.entries.length === 0) {
		queue.accountTags.clear();
		queue.virtualTime = 0;
	}

	return entry;
};

/** Takes out the requests whose deadline has passed. */
export const expireRequests = (queue: WaitingQueue, now: number): WaitingRequest[] => {
	const expired = queue.entries.filter(entry => entry.deadline <= now);
	for (const entry of expired) {
		queue.entries.splice(queue.entries.indexOf(entry), 1);
	}

	return expired;
};

export const removeRequest = (queue: WaitingQueue, id: string): boolean => {
	const index = queue.entries.findIndex(entry => entry.id === id);
	if (index === -1) {
		return false;
	}

	queue.entries.splice(index, 1);
	return true;
};
