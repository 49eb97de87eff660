/** State of a simulated rollout, which its parts share and change. */
import {applyRequest} from '../rollouts/apply-request.js';
import {emptyResults} from '../rollouts/record-result.js';
import {emptyHistory, type ResultsHistory} from '../rollouts/results-history.js';
import {type Rollout, type RolloutBounds, type RolloutResults} from '../rollouts/types.js';
import {
	type Badness, makeServers, type SimulatedRoute, type SimulatedServer,
} from './simulated-backends.js';

export type RolloutFault = {
	readonly kind: 'crash' | 'reclaim' | 'burst' | 'partition' | 'holder_killed' | 'daemons_killed' | 'store_outage';
	/** When the fault begins, in milliseconds after the order. */
	readonly at: number;
	readonly forMs: number;
};

export type RolloutPlan = {
	readonly daemons: number;
	/** Servers of each version. */
	readonly servers: number;
	readonly routes: readonly SimulatedRoute[];
	readonly durationMs: number;
	readonly bounds: RolloutBounds;
	/** Undefined for a good version. */
	readonly badness: Badness | undefined;
	readonly faults: readonly RolloutFault[];
	/** Share of the gossip reports that are lost. */
	readonly lossShare: number;
	readonly random: () => number;
};

/** What is seen of the rollout from outside. */
export type RolloutObservations = {
	/** When the final stage was planned, in milliseconds after the order. */
	finalAt: number;
	/** Requests that were sent to the new version until the final stage was planned. */
	exposure: number;
	/** Bad responses that have ended. */
	bad: number;
	/** When the first bad response ended, and the 50th, in milliseconds after the order. */
	firstBadAt: number;
	fiftiethBadAt: number;
	/** When the last request was sent to the new version, in milliseconds after the order. */
	lastNewAt: number;
	/** Calls that still ran at the old version when the rollout was completed. */
	brokenCalls: number;
	/** Whether the share of a daemon increased while the store was unreachable. */
	hasIncreasedWithoutStore: boolean;
	/** Size of the longest results of a lease holder as JSON, in characters. */
	longestResults: number;
};

export type SimulatedDaemon = {
	rollout: Rollout;
	results: RolloutResults;
	isAlive: boolean;
	readonly zone: number;
};

export type LeaseHolder = {
	daemon: SimulatedDaemon;
	/** Last results that each daemon reported to it. */
	reported: Map<SimulatedDaemon, RolloutResults>;
	history: ResultsHistory;
	/** When it may plan. */
	actsFrom: number;
};

/** A call that is broken if its server crashes before its end. */
export type RunningCall = {readonly endsAt: number; readonly end: () => void};

export type ReadyServers = Readonly<Record<SimulatedServer['version'], readonly SimulatedServer[]>>;

export type RolloutSimulation = {
	readonly plan: RolloutPlan;
	readonly daemons: readonly SimulatedDaemon[];
	readonly servers: readonly SimulatedServer[];
	readonly runningCalls: ReadonlyMap<SimulatedServer, RunningCall[]>;
	readonly holder: LeaseHolder;
	leaseRecord: Rollout;
	/** What is due in each tick. */
	readonly events: Map<number, Array<() => void>>;
	/** In milliseconds after the order. */
	now: number;
	/** Requests until the deadline. */
	serviceCalls: number;
	readonly observed: RolloutObservations;
};

export const tickMs = 20;

export const makeSimulation = (plan: RolloutPlan): RolloutSimulation => {
	const ordered = applyRequest(undefined, {
		service: 'assistant', toVersion: 'new', durationMs: plan.durationMs, offset: 1,
	}, 0);
	const daemons: SimulatedDaemon[] = Array.from({length: plan.daemons}, (_value, index) => ({
		rollout: ordered, results: emptyResults(1), isAlive: true, zone: index % 3,
	}));
	const servers = makeServers(plan.servers, plan.random);
	return {
		plan,
		daemons,
		servers,
		runningCalls: new Map(servers.map(server => [server, []])),
		holder: {
			daemon: daemons[0]!, reported: new Map(), history: emptyHistory, actsFrom: 0,
		},
		leaseRecord: ordered,
		events: new Map(),
		now: 0,
		serviceCalls: 0,
		observed: {
			finalAt: Infinity, exposure: 0, bad: 0, firstBadAt: Infinity, fiftiethBadAt: Infinity, lastNewAt: 0, brokenCalls: 0, hasIncreasedWithoutStore: false, longestResults: 0,
		},
	};
};

/** Runs something in the first tick at or after a moment. */
export const scheduleAt = ({events}: RolloutSimulation, at: number, run: () => void): void => {
	const tick = Math.ceil(at / tickMs);
	events.set(tick, [...(events.get(tick) ?? []), run]);
};

export const isDuring = ({plan, now}: RolloutSimulation, kind: RolloutFault['kind']): boolean =>
	plan.faults.some(fault => fault.kind === kind && now >= fault.at && now < fault.at + fault.forMs);

export const countRunning = ({servers}: RolloutSimulation, version: SimulatedServer['version']): number =>
	servers.reduce((sum, server) => sum + (server.version === version ? server.running : 0), 0);

export const listReady = ({servers, now}: RolloutSimulation): ReadyServers => {
	const listOf = (version: SimulatedServer['version']): SimulatedServer[] => servers.filter(server => server.version === version && server.readyAt <= now);
	return {old: listOf('old'), new: listOf('new')};
};
