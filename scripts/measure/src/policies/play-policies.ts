/** Plays a customer's load on several daemons and engines in virtual time, and says what callers got. */
import {makeRandom} from '@shallotpass/core/testing/make-random.js';
import {type DemandEstimate} from '@shallotpass/core/engines/estimate-demand.js';
import {makeManualClock, type ManualClock} from '../routing/manual-clock.js';
import {type Customer} from './customer.js';
import {makeCalls, type PlayedCall} from './make-calls.js';
import {openReportBoard} from './report-board.js';
import {type Policies} from './policies.js';
import {startVirtualDaemon, type VirtualDaemon} from './virtual-daemon.js';
import {type RunEnd} from './virtual-engine.js';
import {startVirtualFleet, type VirtualFleet} from './virtual-fleet.js';

/** The holder of the duties plans so often, in milliseconds. */
const planEveryMs = 500;

/** Time before the first caller, in milliseconds: what is ordered then has started. */
const leadMs = 6000;

/** Time that answers are given after the last call, in milliseconds. */
const tailMs = 10_000;

/** A call that finds no engine tries again after this time, in milliseconds, until its first event would be so many times too late. */
const retryMs = 100;
const mostTimesLate = 5;

const windowMs = 2000;

export type Fate = 'on_time' | 'late' | 'lost';

export type PlayedAnswer = {
	readonly call: PlayedCall;
	readonly fate: Fate;
};

export type PlayReport = {
	readonly calls: number;
	readonly onTime: number;
	readonly late: number;
	readonly lost: number;
	/** Share of the calls on time in the two worst windows of two seconds. */
	readonly worstWindows: number;
	/** Price of the engines, in seconds of one at the full price. */
	readonly price: number;
	readonly engines: number;
	/** Tokens read for each one sent. */
	readonly readPart: number;
};

type Play = {
	readonly customer: Customer;
	readonly policies: Policies;
	readonly clock: ManualClock;
	readonly fleet: VirtualFleet;
	readonly daemons: readonly VirtualDaemon[];
	readonly random: () => number;
	readonly answers: PlayedAnswer[];
};

const judge = ({kind, at}: PlayedCall, {firstAt, longestPauseMs}: RunEnd): Fate =>
	firstAt !== undefined && firstAt - at <= kind.firstMs && longestPauseMs <= kind.pauseMs ? 'on_time' : 'late';

const serve = (play: Play, daemon: VirtualDaemon, call: PlayedCall, before: RunEnd | undefined): void => {
	const {clock, answers} = play;
	const sent = daemon.place(call, clock.now());
	if (sent === undefined) {
		if (clock.now() > call.at + (call.kind.firstMs * mostTimesLate)) {
			answers.push({call, fate: 'lost'});
			return;
		}

		clock.schedule(clock.now() + retryMs, () => {
			serve(play, daemon, call, before);
		});
		return;
	}

	sent.engine.run(call, {
		after: before?.tokens ?? 0,
		onFirst() {
			sent.noteFirst(clock.now());
		},
		onEnd(end) {
			sent.noteEnd();
			const merged: RunEnd = before?.firstAt === undefined ? end : {...end, firstAt: before.firstAt, longestPauseMs: Infinity};
			if (end.kind === 'complete') {
				answers.push({call, fate: judge(call, merged)});
				return;
			}

			if (call.kind.isResumable || merged.tokens === 0) {
				serve(play, daemon, call, merged);
				return;
			}

			answers.push({call, fate: 'lost'});
		},
	});
};

const startPlanning = ({customer, policies, clock, fleet, daemons}: Play): void => {
	let need: DemandEstimate | undefined;
	let planned = 0;
	const {engine} = customer;
	const bounds = {
		least: engine.least, most: engine.most, bootMs: engine.bootMs, reclaimablePrice: engine.reclaimablePrice, zonePrices: Object.fromEntries(customer.zones.map(({name, price}) => [name, price])),
	};
	const plan = (): void => {
		const now = clock.now();
		need = policies.learnNeed(need, {
			promptTokensPerSecond: daemons.reduce((sum, daemon) => sum + daemon.readWork(now), 0),
			running: daemons.reduce((sum, daemon) => sum + daemon.countRunning(), 0),
			present: fleet.listReady().length,
			tokensPerMs: daemons[0]!.getPace().tokensPerMs,
			places: engine.places,
			bootMs: engine.bootMs,
		}, now);
		planned = policies.roundNeed(need.backends, planned);
		fleet.order(policies.plan({
			service: 'llm', bounds, zones: fleet.listZones(), needed: planned, assumed: Math.ceil(need.assumed), now,
		}));
		clock.schedule(now + planEveryMs, plan);
	};

	plan();
};

const startTelling = ({customer, clock, daemons, random}: Play): void => {
	for (const daemon of daemons) {
		const tell = (): void => {
			daemon.tell(clock.now());
			clock.schedule(clock.now() + customer.gossipMs, tell);
		};

		clock.schedule(random() * customer.gossipMs, tell);
	}
};

/** Share on time in the two worst windows. */
const findWorstWindows = (answers: readonly PlayedAnswer[]): number => {
	const windows = new Map<number, {calls: number; onTime: number}>();
	for (const {call, fate} of answers) {
		const key = Math.floor(call.at / windowMs);
		const window = windows.get(key) ?? {calls: 0, onTime: 0};
		window.calls++;
		window.onTime += fate === 'on_time' ? 1 : 0;
		windows.set(key, window);
	}

	const shares = [...windows.values()].map(({calls, onTime}) => onTime / calls).toSorted((left, right) => left - right);
	const worst = shares.slice(0, 2);
	return worst.reduce((sum, share) => sum + share, 0) / Math.max(1, worst.length);
};

const summarize = ({answers, fleet}: Play): PlayReport => {
	const count = (fate: Fate): number => answers.filter(answer => answer.fate === fate).length;
	const {read, sent} = fleet.sumTokens();
	return {
		calls: answers.length,
		onTime: count('on_time') / answers.length,
		late: count('late') / answers.length,
		lost: count('lost') / answers.length,
		worstWindows: findWorstWindows(answers),
		price: fleet.sumPrice(),
		engines: fleet.countEngines(),
		readPart: read / Math.max(1, sent),
	};
};

export const playPolicies = (customer: Customer, policies: Policies, seed: number): PlayReport => {
	const clock = makeManualClock();
	const fleet = startVirtualFleet({...customer, waves: {...customer.waves, at: customer.waves.at.map(at => at + leadMs)}}, clock);
	const random = makeRandom(seed + 1_000_000);
	const daemons: VirtualDaemon[] = [];
	const board = openReportBoard();
	for (const {name, daemons: count} of customer.zones) {
		for (let index = 0; index < count; index++) {
			daemons.push(startVirtualDaemon({
				zone: name, policies, gossipMs: customer.gossipMs, places: customer.engine.places, listEngines: fleet.listReady, random, board,
			}));
		}
	}

	const play: Play = {
		customer, policies, clock, fleet, daemons, random, answers: [],
	};
	for (const call of makeCalls(customer, makeRandom(seed))) {
		const arriving = {...call, at: call.at + leadMs};
		clock.schedule(arriving.at, () => {
			serve(play, daemons[Math.floor(random() * daemons.length)]!, arriving, undefined);
		});
	}

	startTelling(play);
	startPlanning(play);
	const endsAt = leadMs + customer.lengthMs + tailMs;
	while (clock.now() < endsAt && clock.advance()) {
		// The clock plays.
	}

	return summarize(play);
};
