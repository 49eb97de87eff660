/**
 * Simulates a day of demand for a fleet that is sized by the daemon's fleet duty. Each availability zone has its own
 * duty on a shared in-memory log. The cloud is in memory, the daemons use the real admission gates and backend registries,
 * and the engines run on a virtual clock. An hour of the day is simulated as one minute, and durations at the cloud
 * are a sixtieth of the real ones.
 */
import {setImmediate as nextTurn} from 'node:timers/promises';
import {type Deadline} from '@shallotpass/common/types.js';
import {type CloudInstance} from '@shallotpass/common/cloud-service.js';
import {makeRandom} from '@shallotpass/core/testing/make-random.js';
import {forecastDemand, smoothDemand, type SmoothedDemand} from '@shallotpass/core/fleet/smooth-demand.js';
import {makeOfferKey, type Offer} from '@shallotpass/core/fleet/types.js';
import {chooseLowestCost} from '@shallotpass/core/routing/policies.js';
import {type ListedInstance} from '@shallotpass/common/instance-list.js';
import {makeMemoryLog} from '@shallotpass/provider/memory-log.js';
import {makeFleetScaler, type FleetDemand, type FleetScaler} from '@shallotpass/tasks/fleet-scaler.js';
import {makeLogger} from '@shallotpass/telemetry/logger.js';
import {makeMetrics} from '@shallotpass/telemetry/metrics.js';
import {round} from '../latencies.js';
import {makeSettings} from '../local-fleet.js';
import {computeSlots, type Deployment} from '../routing/deployment.js';
import {
	chatService, makeSimulatedDaemon, type ChatResult, type SimulatedDaemon,
} from '../routing/simulated-daemon.js';
import {makeSimulatedEngine, type SimulatedEngine} from '../routing/simulated-engine.js';
import {makeManualClock, type ManualClock} from '../routing/manual-clock.js';
import {makeRequests, type ChatArrival} from '../routing/make-requests.js';
import {isWithinTarget} from '../routing/summarize-run.js';
import {findFleetPolicy} from './fleet-policies.js';
import {makeMemoryCloud, type MemoryCloud, type MemoryInstance} from './memory-cloud.js';

export type DayPlan = {
	readonly deployment: Deployment;
	readonly policy: string;
	readonly seed: number;
	/** Load at the peak, relative to the capacity of the deployment's own engines. */
	readonly peakLoad: number;
	/** Load at each full hour, as a fraction of the peak. */
	readonly shape: readonly number[];
	/** Hours at which all reclaimable instances of one zone are reclaimed and new ones refused for some time. The waves affect the zones in turn. */
	readonly waves: readonly number[];
};

export type DaySummary = {
	readonly policy: string;
	/** Credits spent for each thousand requests within their latency target. */
	readonly creditsPerThousand: number;
	readonly credits: number;
	readonly withinTarget: number;
	readonly classes: ReadonlyArray<{readonly class: string; readonly withinTarget: number}>;
	readonly asked: number;
	readonly refused: number;
	/** Requests without a response when the simulation ended. */
	readonly unanswered: number;
	readonly instances: number;
	/** Instances that were paid for but received no request. */
	readonly neverUsed: number;
	readonly startCalls: number;
};

/** Simulated duration of an hour of the day. */
const hourMs = 60_000;

/** Time that an instance takes from its start until it serves calls. */
const instanceStartMs = 4000;

/** Interval between two rounds of a fleet duty. */
const roundMs = 500;

/** Interval between two load reports of an engine. */
const reportIntervalMs = 500;

/** Time between the notice of a reclaim and the end of the instances. */
const noticeMs = 2000;

/** Time for which a zone refuses to start reclaimable instances after a reclaim. */
const startRefusalMs = 30_000;

/** Price of an on-demand instance relative to a reclaimable one. */
const onDemandPriceFactor = 3;

/** Time at the end in which running requests may complete. */
const completionMs = 90_000;

type DaySimulation = {
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

/** Returns the load at a time as a fraction of the peak, interpolated between the full hours. */
const interpolateShape = (shape: readonly number[], at: number): number => {
	const hour = at / hourMs;
	const before = shape[Math.floor(hour) % shape.length]!;
	const after = shape[(Math.floor(hour) + 1) % shape.length]!;
	return before + ((after - before) * (hour % 1));
};

/** Generates requests at the peak load and drops some at random to match the shape of the day. */
const makeDayRequests = ({deployment, peakLoad, seed, shape}: DayPlan): ChatArrival[] => {
	const random = makeRandom(seed + 5);
	return makeRequests({
		deployment, load: peakLoad, untilMs: shape.length * hourMs, seed,
	}).filter((arrival): arrival is ChatArrival => arrival.kind === 'chat' && random() < interpolateShape(shape, arrival.at));
};

const listZones = (deployment: Deployment): string[] => [...new Set(deployment.engine.map(group => group.availabilityZone))];

const listOffers = (deployment: Deployment): Offer[] => listZones(deployment).flatMap(availabilityZone => deployment.machine.flatMap(machine => [true, false].map(isReclaimable => ({
	availabilityZone,
	machineClass: machine.name,
	isReclaimable,
	creditsPerHour: machine.price * (isReclaimable ? 1 : onDemandPriceFactor),
	places: computeSlots(deployment, machine),
}))));

/** Sends the current instance list to all daemons. */
const publishInstanceList = (day: DaySimulation): void => {
	day.listVersion++;
	for (const {registry} of day.daemons) {
		registry.applyInstanceList({version: day.listVersion, instances: [...day.listedInstances.values()]});
	}
};

/** Updates the engines and the instance list to the instances that run at the cloud. */
const syncInstances = (day: DaySimulation): void => {
	const running = new Map(day.cloud.listRunning().map(instance => [instance.id, instance]));
	let hasChanged = false;
	for (const [id, engine] of day.engines) {
		if (!running.has(id) && day.listedInstances.delete(id)) {
			engine.terminate();
			hasChanged = true;
		}
	}

	for (const instance of running.values()) {
		if (!day.engines.has(instance.id) && instance.readyAt <= day.clock.now()) {
			addEngine(day, instance);
			hasChanged = true;
		}
	}

	if (hasChanged) {
		publishInstanceList(day);
	}
};

const addEngine = ({plan, engines, listedInstances, clock}: DaySimulation, {id, availabilityZone, machineClass}: MemoryInstance): void => {
	const machine = plan.deployment.machine.find(item => item.name === machineClass)!;
	engines.set(id, makeSimulatedEngine({id, availabilityZone, machine}, clock));
	listedInstances.set(id, {
		id, address: id, role: 'backend', availabilityZone, machineClass, state: 'live', services: [chatService],
	});
};

const reportLoads = ({daemons, engines, listedInstances}: DaySimulation): void => {
	for (const {id, getLoadReport: getReport} of engines.values()) {
		if (listedInstances.has(id)) {
			for (const {registry} of daemons) {
				registry.applyLoadReport(id, getReport());
			}
		}
	}
};

/** Runs a function immediately and then at a fixed interval until the day is over. */
const scheduleEvery = (day: DaySimulation, intervalMs: number, run: () => void): void => {
	run();
	if (!day.isOver) {
		day.clock.schedule(day.clock.now() + intervalMs, () => {
			scheduleEvery(day, intervalMs, run);
		});
	}
};

/** Informs all daemons that an instance is about to end. */
const announceEnd = ({daemons}: DaySimulation, id: string, leavesAt: number): void => {
	for (const {registry} of daemons) {
		registry.applyLeavingNotice(id, leavesAt);
	}
};

/** Reclaims all reclaimable instances of a zone after the notice. New ones are refused from the notice on until some time after the reclaim. */
const reclaimZone = (day: DaySimulation, availabilityZone: string): void => {
	const {cloud, clock} = day;
	const leavesAt = clock.now() + noticeMs;
	const leaving = cloud.announceTermination(instance => instance.availabilityZone === availabilityZone && instance.isReclaimable);
	const offers = listOffers(day.plan.deployment).filter(offer => offer.availabilityZone === availabilityZone && offer.isReclaimable).map(offer => makeOfferKey(offer));
	for (const {id} of leaving) {
		announceEnd(day, id, leavesAt);
	}

	for (const offer of offers) {
		cloud.soldOut.add(offer);
	}

	clock.schedule(leavesAt, () => {
		cloud.terminate(leaving);
		syncInstances(day);
	});
	clock.schedule(leavesAt + startRefusalMs, () => {
		for (const offer of offers) {
			cloud.soldOut.delete(offer);
		}
	});
};

/** Measures the demand as the number of running and waiting requests. Real daemons get the same number from the load reports of their engines and their own queues. */
const makeDemandMeasurement = (day: DaySimulation, countOpenRequests: () => number): (() => FleetDemand) => {
	const offers = listOffers(day.plan.deployment);
	const {smoothing} = findFleetPolicy(day.plan.policy);
	let smoothed: SmoothedDemand | undefined;
	return () => {
		const openRequests = countOpenRequests();
		if (smoothing === undefined) {
			return {offers, fixedSlots: 0, demandSlots: openRequests};
		}

		smoothed = smoothDemand(smoothed, openRequests, day.clock.now(), smoothing);
		return {offers, fixedSlots: 0, demandSlots: forecastDemand(smoothed, instanceStartMs)};
	};
};

const makeDuties = (day: DaySimulation, countOpenRequests: () => number, random: () => number): FleetScaler[] => {
	const log = makeMemoryLog(day.clock);
	const plan = findFleetPolicy(day.plan.policy).makePlanner(day.plan.deployment);
	return listZones(day.plan.deployment).map((availabilityZone, index) => makeFleetScaler({
		environment: {
			settings: makeSettings({id: `entry-${index}`, availabilityZone, platform: undefined}),
			clock: day.clock,
			random,
			metrics: makeMetrics(),
			makeLogger: task => makeLogger(task, `entry-${index}`),
			signal: new AbortController().signal,
		},
		log,
		cloud: day.cloud,
		plan,
		availabilityZone,
		holder: `entry-${index}`,
		measureDemand: makeDemandMeasurement(day, countOpenRequests),
		announceEnd(id: string, leavesAt: Deadline) {
			announceEnd(day, id, leavesAt);
		},
		timing: {
			roundIntervalMs: roundMs, leaseMs: 5000, listingTimeoutMs: 20_000, firstRefusalWaitMs: 2000, drainMs: 3000,
		},
	}));
};

const makeDaySimulation = (plan: DayPlan): DaySimulation => {
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

/** Computes the credits spent on all instances until now. */
const computeCredits = ({plan, cloud, clock}: DaySimulation): number => {
	const offers = listOffers(plan.deployment);
	let credits = 0;
	for (const instance of cloud.instances) {
		const price = offers.find(offer => makeOfferKey(offer) === makeOfferKey(instance as CloudInstance))!.creditsPerHour;
		credits += price * ((instance.endedAt ?? clock.now()) - instance.startedAt) / hourMs;
	}

	return credits;
};

const summarize = (day: DaySimulation, results: readonly ChatResult[], unanswered: number, credits: number): DaySummary => {
	const {plan, cloud, usedInstances} = day;
	const countWithinTarget = (list: readonly ChatResult[]): number => list.filter(result => isWithinTarget(result, plan.deployment.class.find(item => item.name === result.arrival.class)!)).length;
	const withinCount = countWithinTarget(results);
	return {
		policy: plan.policy,
		creditsPerThousand: round(credits / Math.max(1, withinCount) * 1000, 3),
		credits: round(credits, 2),
		withinTarget: round(withinCount / Math.max(1, results.length), 4),
		classes: plan.deployment.class.map(({name}) => {
			const classResults = results.filter(result => result.arrival.class === name);
			return {class: name, withinTarget: round(countWithinTarget(classResults) / Math.max(1, classResults.length), 4)};
		}),
		asked: results.length + unanswered,
		refused: results.filter(result => result.errorKind !== undefined).length,
		unanswered,
		instances: cloud.instances.length,
		neverUsed: cloud.instances.filter(instance => !usedInstances.has(instance.id)).length,
		startCalls: cloud.countStartCalls(),
	};
};

export const runDay = async (plan: DayPlan): Promise<DaySummary> => {
	const day = makeDaySimulation(plan);
	const {clock, daemons} = day;
	const untilMs = plan.shape.length * hourMs;
	const results: ChatResult[] = [];
	let openRequests = 0;
	const duties = makeDuties(day, () => openRequests, makeRandom(plan.seed + 3));
	scheduleEvery(day, reportIntervalMs, () => {
		syncInstances(day);
		reportLoads(day);
	});
	for (const [index, duty] of duties.entries()) {
		clock.schedule(index * (roundMs / duties.length), () => {
			scheduleEvery(day, roundMs, () => {
				void duty.runRound();
			});
		});
	}

	const serve = async (arrival: ChatArrival, daemon: SimulatedDaemon): Promise<void> => {
		openRequests++;
		results.push(await daemon.serve(arrival));
		openRequests--;
	};

	// Requests begin after one hour, so that the instances for the first hour of the day are running by then.
	for (const [index, arrival] of makeDayRequests(plan).entries()) {
		clock.schedule(arrival.at + hourMs, () => {
			void serve({...arrival, at: arrival.at + hourMs}, daemons[index % daemons.length]!);
		});
	}

	for (const [index, hour] of plan.waves.entries()) {
		const zones = listZones(plan.deployment);
		clock.schedule((hour + 1) * hourMs, () => {
			reclaimZone(day, zones[index % zones.length]!);
		});
	}

	let credits = 0;
	clock.schedule(untilMs + hourMs, () => {
		credits = computeCredits(day);
	});
	const isDone = (): boolean => clock.now() >= untilMs + hourMs + (openRequests > 0 ? completionMs : 0);
	while (!isDone() && clock.advance()) {
		await nextTurn(); // eslint-disable-line no-await-in-loop -- code that awaits this moment runs before the clock advances
	}

	day.isOver = true;
	return summarize(day, results, openRequests, credits);
};
