/** Lets requests in: limits of client accounts first, then a bounded place in line for each service. */
import {waitQuietly} from '@shallotpass/common/clock.js';
import {type Account} from '@shallotpass/common/configuration-schema.js';
import {ServingError} from '@shallotpass/common/serving-error.js';
import {addMilliseconds, type Deadline} from '@shallotpass/common/types.js';
import {hasPlace} from '@shallotpass/core/admission/adapt-concurrency.js';
import {limitRate, shareLimit} from '@shallotpass/core/admission/limit-rate.js';
import {
	dequeueRequest,
	enqueueRequest,
	expireRequests,
	makeWaitingQueue,
	removeRequest,
	type WaitingQueue,
} from '@shallotpass/core/admission/waiting-queue.js';
import {type Environment} from '@shallotpass/tasks/environment.js';

export type EntryRequest = {
	readonly id: string;
	readonly team: string;
	readonly account: Account;
	readonly serviceId: string;
	readonly rank: number;
	/** Whether its class has no latency target. */
	readonly isPatient: boolean;
	/** Target of its class for the first token, in milliseconds. */
	readonly firstTokenMs: number | undefined;
	/** Expected work in tokens, 1 for plain services. */
	readonly work: number;
	readonly deadline: Deadline;
	readonly signal: AbortSignal;
};

export type AdmissionGate = {
	/** Resolves to the function that gives the place back; rejects with a refusal. */
	readonly enter: (request: EntryRequest) => Promise<() => void>;
	readonly countRunning: () => number;
	readonly countWaiting: () => number;
};

type GateOptions = {
	readonly environment: Environment;
	/** Requests that all backend servers of the service may run for this daemon. */
	readonly getCapacity: (serviceId: string) => number;
	/** Daemons that share the limits. */
	readonly countMembers: () => number;
};

type Waiter = {
	readonly resolve: () => void;
	readonly reject: (error: Error) => void;
};

type Line = {
	readonly queue: WaitingQueue;
	readonly waiters: Map<string, Waiter>;
	running: number;
	/** Since when no backend server has served it; undefined while one does. */
	emptySince: number | undefined;
};

const retryFullMs = 1000;
const checkEveryMs = 20;

/** Time for a replacement to show before those who wait are refused. */
const emptyGraceMs = 1000;

/** What may be used at once of a limit: so many seconds' worth. */
/** Part of the time to the first token that may be spent waiting; the rest is for the engine. */
const waitingShare = 0.5;

const burstSeconds = 2;

const secondsPerMinute = 60;

export const makeAdmissionGate = ({environment, getCapacity, countMembers}: GateOptions): AdmissionGate => {
	const {clock, settings, metrics} = environment;
	const lines = new Map<string, Line>();
	const paidRequests = new Map<string, number>();
	const paidTokens = new Map<string, number>();
	let isChecking = false;

	const getLine = (serviceId: string): Line => {
		const known = lines.get(serviceId);
		if (known !== undefined) {
			return known;
		}

		const line: Line = {
			queue: makeWaitingQueue(), waiters: new Map(), running: 0, emptySince: undefined,
		};
		lines.set(serviceId, line);
		return line;
	};

	const countWaiting = (): number => [...lines.values()].reduce((sum, line) => sum + line.queue.entries.length, 0);

	const pay = (paid: Map<string, number>, name: string, amount: number, perSecond: number | undefined): void => {
		if (perSecond === undefined) {
			return;
		}

		const now = clock.now();
		const own = shareLimit(perSecond, countMembers());
		const decision = limitRate(paid.get(name) ?? 0, amount, now, {perSecond: own, burst: Math.max(1, own * burstSeconds)});
		if (!decision.isAllowed) {
			throw new ServingError(`client account ${name} is over its limit of ${perSecond} a second`, {kind: 'rate_limited', retryAt: decision.retryAt as Deadline});
		}

		paid.set(name, decision.paidAt);
	};

	const checkLimits = ({team, account, work}: EntryRequest): void => {
		const name = `${team}/${account.name}`;
		pay(paidRequests, name, 1, account.requestsPerSecond);
		pay(paidTokens, name, work, account.tokensPerMinute === undefined ? undefined : account.tokensPerMinute / secondsPerMinute);
	};

	const refuse = (line: Line, id: string, error: ServingError): void => {
		line.waiters.get(id)?.reject(error);
		line.waiters.delete(id);
	};

	const letIn = (serviceId: string, line: Line): void => {
		const capacity = getCapacity(serviceId);
		while (line.queue.entries.length > 0) {
			const next = dequeueRequest(line.queue, {now: clock.now(), running: line.running, capacity});
			if (next === undefined) {
				return;
			}

			line.running++;
			line.waiters.get(next.id)?.resolve();
			line.waiters.delete(next.id);
		}
	};

	/** Nothing is left to wait for: who waits is told now rather than at its deadline. */
	const refuseWhenEmpty = (serviceId: string, line: Line): void => {
		if (getCapacity(serviceId) > 0) {
			line.emptySince = undefined;
			return;
		}

		line.emptySince ??= clock.now();
		if (clock.now() - line.emptySince < emptyGraceMs) {
			return;
		}

		for (const {request: {id}} of line.queue.entries.splice(0)) {
			refuse(line, id, new ServingError('no backend server serves this any more', {kind: 'no_backend', retryAt: addMilliseconds(clock.now(), retryFullMs)}));
		}
	};

	const check = (): void => {
		for (const [serviceId, line] of lines) {
			for (const expired of expireRequests(line.queue, clock.now())) {
				refuse(line, expired.id, new ServingError('the deadline passed while the request waited', {kind: 'deadline_unreachable', retryAt: addMilliseconds(clock.now(), retryFullMs)}));
			}

			refuseWhenEmpty(serviceId, line);
			letIn(serviceId, line);
		}

		metrics.waiting.set(countWaiting());
	};

	/** Looks after those who wait for as long as somebody does. */
	const keepChecking = async (): Promise<void> => {
		if (isChecking) {
			return;
		}

		isChecking = true;
		while (countWaiting() > 0 && !environment.signal.aborted) {
			await waitQuietly(clock, addMilliseconds(clock.now(), checkEveryMs), environment.signal); // eslint-disable-line no-await-in-loop -- one check after the other
			check();
		}

		isChecking = false;
	};

	const waitInLine = async (request: EntryRequest, line: Line): Promise<void> => new Promise((resolve, reject) => {
		const leave = (): void => {
			if (removeRequest(line.queue, request.id)) {
				refuse(line, request.id, new ServingError('the caller went away', {kind: 'caller_cancelled', executed: 'no'}));
			}
		};

		request.signal.addEventListener('abort', leave, {once: true});
		const settle = (act: () => void) => () => {
			request.signal.removeEventListener('abort', leave);
			act();
		};

		line.waiters.set(request.id, {
			resolve: settle(resolve),
			reject(error) {
				settle(() => {
					reject(error);
				})();
			},
		});
		const {
			id, account, rank, work, deadline, isPatient, firstTokenMs,
		} = request;
		const gaveWay = enqueueRequest(line.queue, {
			id, account: `${request.team}/${account.name}`, share: account.share, rank, work, waitingSince: clock.now(), deadline, isPatient, startBy: firstTokenMs === undefined ? undefined : clock.now() + (firstTokenMs * waitingShare),
		}, settings.limits.maxWaiting);
		if (gaveWay !== undefined) {
			refuse(line, gaveWay.id, new ServingError('too many requests wait already', {kind: 'over_capacity', retryAt: addMilliseconds(clock.now(), retryFullMs)}));
		}

		// A place may be free that those before it are not given.
		letIn(request.serviceId, line);
		void keepChecking();
	});

	const makeRelease = (serviceId: string, line: Line) => {
		let isReleased = false;
		return () => {
			if (isReleased) {
				return;
			}

			isReleased = true;
			line.running--;
			letIn(serviceId, line);
		};
	};

	return {
		async enter(request) {
			checkLimits(request);
			const line = getLine(request.serviceId);
			if (getCapacity(request.serviceId) === 0) {
				throw new ServingError('no backend server serves this now', {kind: 'no_backend', retryAt: addMilliseconds(clock.now(), retryFullMs)});
			}

			if (line.queue.entries.length === 0 && hasPlace(line.running, getCapacity(request.serviceId), request.isPatient)) {
				line.running++;
			} else {
				await waitInLine(request, line);
			}

			return makeRelease(request.serviceId, line);
		},
		countRunning: () => [...lines.values()].reduce((sum, line) => sum + line.running, 0),
		countWaiting,
	};
};
