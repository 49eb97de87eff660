/** Simulates daemons that share the limit of repeats, in virtual time, and records what backend servers see. */
import {
	makeRepeatAccount, recordCall, type RepeatAccount, type RepeatLimit, returnRepeat, settleRepeat, takeRepeat,
} from '../retries/repeat-account.js';
import {type RepeatHistory} from './find-worst-window.js';

export type RepeatSimulation = {
	readonly daemons: number;
	readonly callsPerSecond: (now: number) => number;
	/** Share of the arrivals that fail, so that the call is repeated if it may be. */
	readonly failingShare: (now: number) => number;
	/** Most arrivals of one call. */
	readonly maxArrivals: number;
	readonly ratio: number;
	readonly slack: number;
	readonly windowMs: number;
	/** Times at which a daemon is killed and starts again. */
	readonly restarts: ReadonlyArray<{readonly at: number; readonly daemon: number}>;
	/** Number of daemons that a daemon counts. All by default. */
	readonly countKnown?: (daemon: number, now: number) => number;
	/** Time from a send until the arrival. */
	readonly getDelayMs: (now: number) => number;
	/** Share of the repeats that are paid for and not sent. */
	readonly unsentShare: number;
	readonly durationMs: number;
	readonly random: () => number;
};

/** What an arrival does once it is there, in steps of the simulation. */
type Arrival = {
	readonly daemon: SimulatedDaemon;
	readonly arrivals: number;
	readonly isRepeat: boolean;
};

type SimulatedDaemon = {
	readonly index: number;
	readonly startedAt: number;
	readonly account: RepeatAccount;
	isRunning: boolean;
};

const stepMs = 20;

/** Runs the simulation. Daemons run for two windows before its time 0. */
export const simulateRepeats = (simulation: RepeatSimulation): Omit<RepeatHistory, 'ratio' | 'slack' | 'windowMs'> => {
	const {daemons: count, windowMs, random} = simulation;
	const calls: number[] = [];
	const repeats: number[] = [];
	const arriving = new Map<number, Arrival[]>();
	const start = (index: number, startedAt: number): SimulatedDaemon => ({
		index, startedAt, account: makeRepeatAccount(), isRunning: true,
	});
	const daemons = Array.from({length: count}, (_value, index) => start(index, -2 * windowMs));
	const restarts = [...simulation.restarts].sort((left, right) => left.at - right.at);

	const getLimit = ({index, startedAt}: SimulatedDaemon, now: number): RepeatLimit => ({
		ratio: simulation.ratio, slack: simulation.slack, windowMs, daemons: simulation.countKnown?.(index, now) ?? count, inheritsUntil: startedAt + windowMs,
	});

	const send = (arrival: Arrival, now: number): void => {
		const step = Math.floor((now + simulation.getDelayMs(now)) / stepMs) + 1;
		const list = arriving.get(step) ?? [];
		list.push(arrival);
		arriving.set(step, list);
	};

	const tryRepeat = (daemon: SimulatedDaemon, arrivals: number, now: number): void => {
		if (!daemon.isRunning || !takeRepeat(daemon.account, getLimit(daemon, now), now)) {
			return;
		}

		if (random() < simulation.unsentShare) {
			returnRepeat(daemon.account);
			return;
		}

		send({daemon, arrivals, isRepeat: true}, now);
	};

	const receive = ({daemon, arrivals, isRepeat}: Arrival, now: number): void => {
		if (isRepeat) {
			repeats.push(now);
			settleRepeat(daemon.account, now);
		}

		if (arrivals + 1 < simulation.maxArrivals && random() < simulation.failingShare(now)) {
			tryRepeat(daemon, arrivals + 1, now);
		}
	};

	const admitCalls = (now: number): void => {
		const expected = simulation.callsPerSecond(now) * stepMs / 1000;
		const admitted = Math.floor(expected) + (random() < expected % 1 ? 1 : 0);
		for (let call = 0; call < admitted; call++) {
			const daemon = daemons[Math.floor(random() * count)]!;
			calls.push(now);
			recordCall(daemon.account, getLimit(daemon, now), now);
			send({daemon, arrivals: 0, isRepeat: false}, now);
		}
	};

	for (let step = Math.floor(-windowMs / stepMs); step * stepMs < simulation.durationMs; step++) {
		const now = step * stepMs;
		while (restarts.length > 0 && restarts[0]!.at <= now) {
			const {daemon} = restarts.shift()!;
			daemons[daemon]!.isRunning = false;
			daemons[daemon] = start(daemon, now);
		}

		for (const arrival of arriving.get(step) ?? []) {
			receive(arrival, now);
		}

		arriving.delete(step);
		admitCalls(now);
	}

	return {calls, repeats, until: simulation.durationMs};
};
