/** Admits requests: enforces the rate limits of client accounts, then queues requests per service up to a maximum length. */
import {waitUntilOrAborted} from '@shallotpass/common/clock.js';
import {type Account} from '@shallotpass/common/configuration-schema.js';
import {ServingError} from '@shallotpass/common/serving-error.js';
import {addMilliseconds, type Deadline} from '@shallotpass/common/types.js';
import {hasCapacity} from '@shallotpass/core/admission/adapt-concurrency.js';
import {limitRate, computeLimitShare} from '@shallotpass/core/admission/limit-rate.js';
import {
	dequeueRequest,
	enqueueRequest,
	expireRequests,
	makeWaitingQueue,
	removeRequest,
	type WaitingQueue,
} from '@shallotpass/core/admission/waiting-queue.js';
import {type Environment} from '@shallotpass/tasks/environment.js';

export type AdmissionRequest = {
	readonly id: string;
	readonly team: string;
	readonly account: Account;
	readonly serviceId: string;
	readonly rank: number;
	/** Whether the request's class has no latency target, so that the request uses only spare capacity. */
	readonly isBackground: boolean;
	/** Latency target of the request's class for the first token. */
	readonly firstTokenMs: number | undefined;
	/** Expected cost in tokens, 1 for plain services. */
	readonly work: number;
	readonly deadline: Deadline;
	readonly signal: AbortSignal;
};

export type AdmissionGate = {
	/** Waits for admission. Resolves to a function that releases the slot; rejects if the request is refused. */
	readonly admit: (request: AdmissionRequest) => Promise<() => void>;
	readonly countRunning: () => number;
	readonly countWaiting: () => number;
};

type GateOptions = {
	readonly environment: Environment;
	/** Returns how many requests this daemon may run at once on all backend servers of the service. */
	readonly getCapacity: (serviceId: string) => number;
	/** Counts the daemons that share the rate limits. */
	readonly countMembers: () => number;
};

type Waiter = {
	readonly resolve: () => void;
	readonly reject: (error: Error) => void;
};

type ServiceQueue = {
	readonly queue: WaitingQueue;
	readonly waiters: Map<string, Waiter>;
	running: number;
	/** When the service lost its last backend server; undefined while it has one. */
	unservedSince: number | undefined;
};

const retryAfterMs = 1000;
const checkIntervalMs = 20;

/** How long a service may have no backend server before queued requests are rejected. A replacement may appear in this time. */
const unservedGraceMs = 1000;

/** Share of the first-token latency target that a request may spend in the queue; the rest is left for the engine. */
const maxWaitingShare = 0.5;

/** Size of a burst, as the number of seconds of the rate limit that may be used at once. */
const burstSeconds = 2;

const secondsPerMinute = 60;

export const makeAdmissionGate = ({environment, getCapacity, countMembers}: GateOptions): AdmissionGate => {
	const {clock, settings, metrics} = environment;
	const serviceQueues = new Map<string, ServiceQueue>();
	/** Theoretical arrival times of the request rate limit, by client account. */
	const requestArrivalTimes = new Map<string, number>();
	/** Theoretical arrival times of the token rate limit, by client account. */
	const tokenArrivalTimes = new Map<string, number>();
	let isChecking = false;

	const getServiceQueue = (serviceId: string): ServiceQueue => {
		const existing = serviceQueues.get(serviceId);
		if (existing !== undefined) {
			return existing;
		}

		const serviceQueue: ServiceQueue = {
			queue: makeWaitingQueue(), waiters: new Map(), running: 0, unservedSince: undefined,
		};
		serviceQueues.set(serviceId, serviceQueue);
		return serviceQueue;
	};

	const countWaiting = (): number => [...serviceQueues.values()].reduce((sum, serviceQueue) => sum + serviceQueue.queue.entries.length, 0);

	const chargeRateLimit = (arrivalTimes: Map<string, number>, name: string, amount: number, perSecond: number | undefined): void => {
		if (perSecond === undefined) {
			return;
		}

		const now = clock.now();
		const sharePerSecond = computeLimitShare(perSecond, countMembers());
		const decision = limitRate(arrivalTimes.get(name) ?? 0, amount, now, {perSecond: sharePerSecond, burst: Math.max(1, sharePerSecond * burstSeconds)});
		if (!decision.isAllowed) {
			throw new ServingError(`client account ${name} is over its limit of ${perSecond} a second`, {kind: 'rate_limited', retryAt: decision.retryAt as Deadline});
		}

		arrivalTimes.set(name, decision.theoreticalArrivalAt);
	};

	const chargeAccountLimits = ({team, account, work}: AdmissionRequest): void => {
		const name = `${team}/${account.name}`;
		chargeRateLimit(requestArrivalTimes, name, 1, account.requestsPerSecond);
		chargeRateLimit(tokenArrivalTimes, name, work, account.tokensPerMinute === undefined ? undefined : account.tokensPerMinute / secondsPerMinute);
	};

	const rejectWaiter = (serviceQueue: ServiceQueue, id: string, error: ServingError): void => {
		serviceQueue.waiters.get(id)?.reject(error);
		serviceQueue.waiters.delete(id);
	};

	const admitWaiting = (serviceId: string, serviceQueue: ServiceQueue): void => {
		const capacity = getCapacity(serviceId);
		while (serviceQueue.queue.entries.length > 0) {
			const next = dequeueRequest(serviceQueue.queue, {now: clock.now(), running: serviceQueue.running, capacity});
			if (next === undefined) {
				return;
			}

			serviceQueue.running++;
			serviceQueue.waiters.get(next.id)?.resolve();
			serviceQueue.waiters.delete(next.id);
		}
	};

	/** Rejects queued requests once the service has had no backend server for the grace period, rather than at their deadlines. */
	const rejectWhenUnserved = (serviceId: string, serviceQueue: ServiceQueue): void => {
		if (getCapacity(serviceId) > 0) {
			serviceQueue.unservedSince = undefined;
			return;
		}

		serviceQueue.unservedSince ??= clock.now();
		if (clock.now() - serviceQueue.unservedSince < unservedGraceMs) {
			return;
		}

		for (const {request: {id}} of serviceQueue.queue.entries.splice(0)) {
			rejectWaiter(serviceQueue, id, new ServingError('no backend server serves this any more', {kind: 'no_backend', retryAt: addMilliseconds(clock.now(), retryAfterMs)}));
		}
	};

	const checkQueues = (): void => {
		for (const [serviceId, serviceQueue] of serviceQueues) {
			for (const expired of expireRequests(serviceQueue.queue, clock.now())) {
				rejectWaiter(serviceQueue, expired.id, new ServingError('the deadline passed while the request waited', {
					kind: 'deadline_unreachable', retryAt: addMilliseconds(clock.now(), retryAfterMs),
				}));
			}

			rejectWhenUnserved(serviceId, serviceQueue);
			admitWaiting(serviceId, serviceQueue);
		}

		metrics.waiting.set(countWaiting());
	};

	/** Checks the queues periodically while any request is waiting. */
	const runQueueChecks = async (): Promise<void> => {
		if (isChecking) {
			return;
		}

		isChecking = true;
		while (countWaiting() > 0 && !environment.signal.aborted) {
			await waitUntilOrAborted(clock, addMilliseconds(clock.now(), checkIntervalMs), environment.signal); // eslint-disable-line no-await-in-loop -- checks run one at a time
			checkQueues();
		}

		isChecking = false;
	};

	const waitInQueue = async (request: AdmissionRequest, serviceQueue: ServiceQueue): Promise<void> => new Promise((resolve, reject) => {
		const onCallerGone = (): void => {
			if (removeRequest(serviceQueue.queue, request.id)) {
				rejectWaiter(serviceQueue, request.id, new ServingError('the caller went away', {kind: 'caller_cancelled', executed: 'no'}));
			}
		};

		request.signal.addEventListener('abort', onCallerGone, {once: true});
		const settle = (callback: () => void) => () => {
			request.signal.removeEventListener('abort', onCallerGone);
			callback();
		};

		serviceQueue.waiters.set(request.id, {
			resolve: settle(resolve),
			reject(error) {
				settle(() => {
					reject(error);
				})();
			},
		});
		const {
			id, account, rank, work, deadline, isBackground, firstTokenMs,
		} = request;
		const displaced = enqueueRequest(serviceQueue.queue, {
			id, account: `${request.team}/${account.name}`, share: account.share, rank, work, waitingSince: clock.now(), deadline, isBackground, startBy: firstTokenMs === undefined ? undefined : clock.now() + (firstTokenMs * maxWaitingShare),
		}, settings.limits.maxWaiting);
		if (displaced !== undefined) {
			rejectWaiter(serviceQueue, displaced.id, new ServingError('too many requests wait already', {kind: 'over_capacity', retryAt: addMilliseconds(clock.now(), retryAfterMs)}));
		}

		// This request may be allowed to use a free slot that the requests ahead of it in the queue must not use.
		admitWaiting(request.serviceId, serviceQueue);
		void runQueueChecks();
	});

	const makeRelease = (serviceId: string, serviceQueue: ServiceQueue) => {
		let isReleased = false;
		return () => {
			if (isReleased) {
				return;
			}

			isReleased = true;
			serviceQueue.running--;
			admitWaiting(serviceId, serviceQueue);
		};
	};

	return {
		async admit(request) {
			chargeAccountLimits(request);
			const serviceQueue = getServiceQueue(request.serviceId);
			if (getCapacity(request.serviceId) === 0) {
				throw new ServingError('no backend server serves this now', {kind: 'no_backend', retryAt: addMilliseconds(clock.now(), retryAfterMs)});
			}

			if (serviceQueue.queue.entries.length === 0 && hasCapacity(serviceQueue.running, getCapacity(request.serviceId), request.isBackground)) {
				serviceQueue.running++;
			} else {
				await waitInQueue(request, serviceQueue);
			}

			return makeRelease(request.serviceId, serviceQueue);
		},
		countRunning: () => [...serviceQueues.values()].reduce((sum, serviceQueue) => sum + serviceQueue.running, 0),
		countWaiting,
	};
};
