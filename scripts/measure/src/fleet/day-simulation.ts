/** State of a simulated day of demand, which its parts share and change. */
import {type Offer} from '@shallotpass/core/fleet/types.js';
import {makeRandom} from '@shallotpass/core/testing/make-random.js';
import {chooseLowestCost} from '@shallotpass/core/routing/policies.js';
import {type ListedInstance} from '@shallotpass/common/instance-list.js';
import {computeSlots, type Deployment} from '../routing/deployment.js';
import {makeManualClock, type ManualClock} from '../routing/manual-clock.js';
import {makeSimulatedDaemon, type SimulatedDaemon} from '../routing/simulated-daemon.js';
import {type SimulatedEngine} from '../routing/simulated-engine.js';
import {makeMemoryCloud, type MemoryCloud} from './memory-cloud.js';

export type DayPlan = {
	readonly deployment: Deployment;
	readonly policy: string;
	readonly seed: number;
	/** Load at the peak, relative to the capacity of the deployment's own engines. */
	readonly peakLoad: number;
	/** Load at each full hour, as a fraction of the peak. */
	readonly shape: readonly number[];
	/** Hours at which all reclaimable instances of one zone are reclaimed and new ones refused for some time. The zones are affected in turn. */
	readonly reclaimHours: readonly number[];
};

/** Simulated duration of an hour of the day. */
export const hourMs = 60_000;

/** Time that an instance takes from its start until it serves calls. */
export const instanceStartMs = 4000;

/** Price of an on-demand instance relative to a reclaimable one. */
const onDemandPriceFactor = 3;

export type DaySimulation = {
	readonly plan: DayPlan;
	readonly clock: ManualClock;
	readonly cloud: MemoryCloud;
	readonly engines: Map<string, SimulatedEngine>;
	readonly daemons: readonly SimulatedDaemon[];
	/** Instances in the list that the daemons get, by their id. */
	readonly listedInstances: Map<string, ListedInstance>;
	/** Ids of the instances that received a request. */
	readonly usedInstances: Set<string>;
	listVersion: number;
	isOver: boolean;
};

export const listZones = (deployment: Deployment): string[] => [...new Set(deployment.engine.map(group => group.availabilityZone))];

export const listOffers = (deployment: Deployment): Offer[] => listZones(deployment).flatMap(availabilityZone => deployment.machine.flatMap(machine => [true, false].map(isReclaimable => ({
	availabilityZone,
	machineClass: machine.name,
	isReclaimable,
	creditsPerHour: machine.price * (isReclaimable ? 1 : onDemandPriceFactor),
	places: computeSlots(deployment, machine),
}))));

export const makeDaySimulation = (plan: DayPlan): DaySimulation => {
	const clock = makeManualClock();
	const random = makeRandom(plan.seed + 1);
	const engines = new Map<string, SimulatedEngine>();
	const daemons: SimulatedDaemon[] = [];
	const usedInstances = new Set<string>();
	for (let index = 0; index < plan.deployment.daemons; index++) {
		daemons.push(makeSimulatedDaemon({
			index,
			deployment: plan.deployment,
			clock,
			random,
			policy: chooseLowestCost,
			findEngine(id) {
				usedInstances.add(id);
				return engines.get(id)!;
			},
			async runPlain() {/* no plain calls are simulated */},
		}));
	}

	return {
		plan, clock, cloud: makeMemoryCloud({now: clock.now, startMs: instanceStartMs}), engines, daemons, listedInstances: new Map(), usedInstances, listVersion: 0, isOver: false,
	};
};
