/** Simulates a rollout in virtual time: daemons that each see a part of the calls, servers of both versions, gossip, and faults. */
import {type Rollout} from '../rollouts/types.js';
import {startFault} from './rollout-faults.js';
import {
	makeSimulation, type RolloutObservations, type RolloutPlan, type RolloutSimulation, tickMs,
} from './rollout-simulation.js';
import {dropFinishedCalls, sendCalls} from './simulated-calls.js';
import {runHolder} from './simulated-holder.js';

export type RolloutOutcome = Readonly<RolloutObservations> & {
	readonly rollout: Rollout;
	/** Requests until the deadline. */
	readonly requests: number;
};

/** Time after the deadline for which the simulation goes on, so that running calls end and reports arrive. */
const endMarginMs = 3000;

const dropCallsEveryMs = 1000;

const runEvents = ({events, now}: RolloutSimulation): void => {
	const tick = now / tickMs;
	for (const run of events.get(tick) ?? []) {
		run();
	}

	events.delete(tick);
};

export const simulateRollout = (plan: RolloutPlan): RolloutOutcome => {
	const simulation = makeSimulation(plan);
	const pendingFaults = [...plan.faults].toSorted((left, right) => left.at - right.at);
	for (; simulation.now < plan.durationMs + endMarginMs; simulation.now += tickMs) {
		runEvents(simulation);
		while (pendingFaults.length > 0 && pendingFaults[0]!.at <= simulation.now) {
			startFault(simulation, pendingFaults.shift()!);
		}

		sendCalls(simulation);
		runHolder(simulation);
		if (simulation.now % dropCallsEveryMs === 0) {
			dropFinishedCalls(simulation);
		}
	}

	return {...simulation.observed, rollout: simulation.holder.daemon.rollout, requests: simulation.serviceCalls};
};
