/** Bounded queue of requests that wait for a backend server, ordered by class rank and then by weighted fair queueing between accounts. */
import {hasCapacity} from './adapt-concurrency.js';

export type WaitingRequest = {
	readonly id: string;
	readonly account: string;
	readonly share: number;
	readonly rank: number;
	/** Expected cost in tokens, used for fair queueing. */
	readonly work: number;
	readonly waitingSince: number;
	readonly deadline: number;
	/** Latest start time that meets the latency target, in milliseconds since the epoch; absent without a target. */
	readonly startBy?: number;
	/** Whether the request has no latency target and uses only spare capacity. */
	readonly isBackground: boolean;
};

type QueueEntry = {
	readonly request: WaitingRequest;
	readonly rank: number;
	/** Infinity without a target: reading a field that some entries lack costs half a microsecond per access. */
	readonly startBy: number;
	readonly waitingSince: number;
	readonly isBackground: boolean;
	readonly finishTag: number;
};

export type WaitingQueue = {
	readonly entries: QueueEntry[];
	/** Virtual finish time of the last request of each account. */
	readonly accountTags: Map<string, number>;
	virtualTime: number;
	dequeuedSinceOldestFirst: number;
};

/** Every n-th dequeue takes the request that waited longest, regardless of its class, so that no class starves. */
const oldestFirstInterval = 16;

export const makeWaitingQueue = (): WaitingQueue => ({
	entries: [],
	accountTags: new Map(),
	virtualTime: 0,
	dequeuedSinceOldestFirst: 0,
});

/**
 * Whether `left` is dequeued before `right`. Within a rank, requests that can no longer meet their
 * target come after those that can; otherwise every request would be late under overload.
 */
const isBefore = (left: QueueEntry, right: QueueEntry, now: number): boolean => {
	if (left.rank !== right.rank) {
		return left.rank < right.rank;
	}

	const isRightLate = right.startBy < now;
	return (left.startBy < now) === isRightLate ? left.finishTag < right.finishTag : isRightLate;
};

/** Adds a request. If the queue exceeds its capacity, removes and returns the least urgent request, which may be the new one. */
export const enqueueRequest = (queue: WaitingQueue, request: WaitingRequest, capacity: number): WaitingRequest | undefined => {
	const start = Math.max(queue.virtualTime, queue.accountTags.get(request.account) ?? 0);
	const {rank, startBy = Number.POSITIVE_INFINITY, waitingSince, isBackground} = request;
	const entry: QueueEntry = {
		request, rank, startBy, waitingSince, isBackground, finishTag: start + (request.work / request.share),
	};
	queue.accountTags.set(request.account, entry.finishTag);
	queue.entries.push(entry);
	if (queue.entries.length <= capacity) {
		return undefined;
	}

	let leastUrgent: QueueEntry = queue.entries[0]!;
	for (const candidate of queue.entries) {
		if (isBefore(leastUrgent, candidate, request.waitingSince)) {
			leastUrgent = candidate;
		}
	}

	queue.entries.splice(queue.entries.indexOf(leastUrgent), 1);
	return leastUrgent.request;
};

/** Current time and capacity, which decide what may start. */
export type CapacityState = {
	readonly now: number;
	/** Number of running calls. */
	readonly running: number;
	/** Number of calls that may run concurrently. */
	readonly capacity: number;
};

const pickNext = (queue: WaitingQueue, {now, running, capacity}: CapacityState): QueueEntry | undefined => {
	const isOldestFirst = queue.dequeuedSinceOldestFirst >= oldestFirstInterval - 1;
	const hasInteractiveCapacity = hasCapacity(running, capacity, false);
	// The oldest request may use the reserved capacity too; otherwise background requests would starve under constant interactive load.
	const hasBackgroundCapacity = isOldestFirst ? hasInteractiveCapacity : hasCapacity(running, capacity, true);
	let best: QueueEntry | undefined;
	for (const entry of queue.entries) {
		if (!(entry.isBackground ? hasBackgroundCapacity : hasInteractiveCapacity)) {
			continue;
		}

		if (best === undefined || (isOldestFirst ? entry.waitingSince < best.waitingSince : isBefore(entry, best, now))) {
			best = entry;
		}
	}

	return best;
};

/** Removes and returns the next request that may start. */
export const dequeueRequest = (queue: WaitingQueue, capacityState: CapacityState): WaitingRequest | undefined => {
	const entry = pickNext(queue, capacityState);
	if (entry === undefined) {
		return undefined;
	}

	queue.entries.splice(queue.entries.indexOf(entry), 1);
	queue.dequeuedSinceOldestFirst = queue.dequeuedSinceOldestFirst >= oldestFirstInterval - 1 ? 0 : queue.dequeuedSinceOldestFirst + 1;
	queue.virtualTime = Math.max(queue.virtualTime, entry.finishTag - (entry.request.work / entry.request.share));
	if (queue.entries.length === 0) {
		queue.accountTags.clear();
		queue.virtualTime = 0;
	}

	return entry.request;
};

/** Removes and returns the requests whose deadline has passed. */
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
