/** The lease holder of a simulated rollout: the reports that it exchanges with the daemons, and its plans. */
import {needsRelays} from '../gossip/pick-relays.js';
import {pickNewerRollout} from '../rollouts/merge-rollouts.js';
import {planRollout} from '../rollouts/plan-rollout.js';
import {emptyResults, mergeResults} from '../rollouts/record-result.js';
import {recordHistory} from '../rollouts/results-history.js';
import {type Rollout, type RolloutResults} from '../rollouts/types.js';
import {
	countRunning, isDuring, listReady, type RolloutSimulation, scheduleAt, type SimulatedDaemon, tickMs,
} from './rollout-simulation.js';

/** Interval of the gossip reports of a daemon, and of the plans of the lease holder. */
const roundMs = 300;

const ticksPerRound = roundMs / tickMs;

const directDelayMs = 20;

/** No call of the simulation takes longer, except at the slowest servers. */
const longestCallMs = 8000;

/** Delay of a report through relays in milliseconds, which pass sums on in their own rounds. */
const drawRelayedDelay = (random: () => number): number => 60 + (random() * 2 * roundMs);

/** Runs after the delay of a report, unless it is lost. */
const deliver = (simulation: RolloutSimulation, run: () => void): void => {
	const {plan: {random, lossShare, daemons}, now} = simulation;
	if (random() >= lossShare) {
		scheduleAt(simulation, now + (needsRelays(daemons) ? drawRelayedDelay(random) : directDelayMs), run);
	}
};

const isReachable = (simulation: RolloutSimulation, daemon: SimulatedDaemon): boolean => {
	const {holder} = simulation;
	return daemon === holder.daemon || daemon.zone === holder.daemon.zone || !isDuring(simulation, 'partition');
};

const exchangeReports = (simulation: RolloutSimulation, daemon: SimulatedDaemon): void => {
	const {holder} = simulation;
	if (!daemon.isAlive || !isReachable(simulation, daemon)) {
		return;
	}

	const {results} = daemon;
	const {rollout} = holder.daemon;
	deliver(simulation, () => {
		holder.reported.set(daemon, results);
	});
	deliver(simulation, () => {
		daemon.rollout = pickNewerRollout(daemon.rollout, rollout);
	});
};

const sumReported = ({holder}: RolloutSimulation): RolloutResults => {
	let results = emptyResults(1);
	for (const reported of holder.reported.values()) {
		results = mergeResults(results, reported);
	}

	return results;
};

const observePlan = (simulation: RolloutSimulation, known: Rollout, next: Rollout, canWrite: boolean): void => {
	const {observed, now} = simulation;
	observed.hasIncreasedWithoutStore ||= !canWrite && next.share > known.share;
	if (next.stage !== known.stage && (next.stage === 'completed' || next.stage === 'rolled_back')) {
		observed.finalAt = now;
		observed.brokenCalls = next.stage === 'completed' ? countRunning(simulation, 'old') : 0;
	}
};

const planNext = (simulation: RolloutSimulation): void => {
	const {holder, observed, now, serviceCalls, plan: {bounds}} = simulation;
	if (now < holder.actsFrom) {
		return;
	}

	const {daemon} = holder;
	const canWrite = !isDuring(simulation, 'store_outage');
	holder.reported.set(daemon, daemon.results);
	const results = sumReported(simulation);
	holder.history = recordHistory(holder.history, results, now);
	observed.longestResults = Math.max(observed.longestResults, JSON.stringify(daemon.results).length);
	const ready = listReady(simulation);
	const known = pickNewerRollout(daemon.rollout, simulation.leaseRecord);
	const next = planRollout(known, {
		results, history: holder.history, serviceCalls, readyNew: ready.new.length, readyOld: ready.old.length, runningOld: countRunning(simulation, 'old'), canWrite, longestCallMs,
	}, bounds, now);
	observePlan(simulation, known, next, canWrite);
	daemon.rollout = next;
	simulation.leaseRecord = canWrite ? next : simulation.leaseRecord;
};

/** Exchanges the reports that are due in this tick, and plans once a round. */
export const runHolder = (simulation: RolloutSimulation): void => {
	const round = (simulation.now / tickMs) % ticksPerRound;
	for (const [index, daemon] of simulation.daemons.entries()) {
		if (index % ticksPerRound === round) {
			exchangeReports(simulation, daemon);
		}
	}

	if (round === 0) {
		planNext(simulation);
	}
};
