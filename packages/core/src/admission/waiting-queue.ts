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

type Entry = {
	readonly request: WaitingRequest;
	readonly rank: number;
	/** Infinity without a target. A field that some entries lack costs half a microsecond at each look. */
	readonly startBy: number;
	readonly waitingSince: number;
	readonly isPatient: boolean;
	readonly finishTag: number;
};

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

/** One that is late for its target already gives way to one that can still keep its own, or in an overload all would be late. */
const isBefore = (left: Entry, right: Entry, now: number): boolean => {
	if (left.rank !== right.rank) {
		return left.rank < right.rank;
	}

	const isRightLate = right.startBy < now;
	return (left.startBy < now) === isRightLate ? left.finishTag < right.finishTag : isRightLate;
};

/** Adds a request. Returns the request that had to give way when the queue is full, which may be the new one. */
export const enqueueRequest = (queue: WaitingQueue, request: WaitingRequest, capacity: number): WaitingRequest | undefined => {
	const start = Math.max(queue.virtualTime, queue.accountTags.get(request.account) ?? 0);
	const {rank, startBy = Number.POSITIVE_INFINITY, waitingSince, isPatient} = request;
	const entry: Entry = {
		request, rank, startBy, waitingSince, isPatient, finishTag: start + (request.work / request.share),
	};
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
	return last.request;
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
	queue.virtualTime = Math.max(queue.virtualTime, entry.finishTag - (entry.request.work / entry.request.share));
	if (queue.entries.length === 0) {
		queue.accountTags.clear();
		queue.virtualTime = 0;
	}

	return entry.request;
};

/** Takes out the requests whose deadline has passed. */
export const expireRequests = (queue: WaitingQueue, now: number): WaitingRequest[] => {
	const expired = queue.entries.filter(entry => entry.request.deadline <= now);
	for (const entry of expired) {
		queue.entries.splice(queue.entries.indexOf(entry), 1);
	}

	return expired.map(entry => entry.request);
};

export const removeRequest = (queue: WaitingQueue, id: string): boolean => {
	const index = queue.entries.findIndex(entry => entry.request.id === id);
	if (index === -1) {
		return false;
	}

	queue.entries.splice(index, 1);
	return true;
};
