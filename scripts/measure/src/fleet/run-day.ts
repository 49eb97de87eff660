/**
 * Simulates a day of demand for a fleet that is sized by the daemon's fleet scaler. Each availability zone has its own
 * one on a shared in-memory log. The cloud is in memory, the daemons use the real admission gates and backend registries,
 * and the engines run on a virtual clock. An hour of the day is simulated as one minute, and durations at the cloud
 * are a sixtieth of the real ones.
 */
import {setImmediate as nextTurn} from 'node:timers/promises';
import {type Deadline} from '@shallotpass/common/types.js';
import {makeRandom} from '@shallotpass/core/testing/make-random.js';
import {forecastDemand, smoothDemand, type SmoothedDemand} from '@shallotpass/core/fleet/smooth-demand.js';
import {makeMemoryLog} from '@shallotpass/provider/memory-log.js';
import {makeFleetScaler, type FleetDemand, type FleetScaler} from '@shallotpass/tasks/fleet-scaler.js';
import {makeLogger} from '@shallotpass/telemetry/logger.js';
import {makeMetrics} from '@shallotpass/telemetry/metrics.js';
import {makeSettings} from '../local-fleet.js';
import {type ChatResult, type SimulatedDaemon} from '../routing/simulated-daemon.js';
import {makeRequests, type ChatArrival} from '../routing/make-requests.js';
import {
	announceEnd, reclaimZone, reportLoads, syncInstances,
} from './day-instances.js';
import {
	type DayPlan, type DaySimulation, hourMs, instanceStartMs, listOffers, listZones, makeDaySimulation,
} from './day-simulation.js';
import {findFleetPolicy} from './fleet-policies.js';
import {computeCredits, type DaySummary, summarizeDay} from './summarize-day.js';

/** Interval between two rounds of a fleet scaler. */
const roundMs = 500;

/** Interval between two load reports of an engine. */
const reportIntervalMs = 500;

/** Time at the end in which running requests may complete. */
const completionMs = 90_000;

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

/** Runs a function immediately and then at a fixed interval until the day is over. */
const scheduleEvery = (day: DaySimulation, intervalMs: number, run: () => void): void => {
	run();
	if (!day.isOver) {
		day.clock.schedule(day.clock.now() + intervalMs, () => {
			scheduleEvery(day, intervalMs, run);
		});
	}
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

const makeScalers = (day: DaySimulation, countOpenRequests: () => number, random: () => number): FleetScaler[] => {
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

export const runDay = async (plan: DayPlan): Promise<DaySummary> => {
	const day = makeDaySimulation(plan);
	const {clock, daemons} = day;
	const untilMs = plan.shape.length * hourMs;
	const results: ChatResult[] = [];
	let openRequests = 0;
	const scalers = makeScalers(day, () => openRequests, makeRandom(plan.seed + 3));
	scheduleEvery(day, reportIntervalMs, () => {
		syncInstances(day);
		reportLoads(day);
	});
	for (const [index, scaler] of scalers.entries()) {
		clock.schedule(index * (roundMs / scalers.length), () => {
			scheduleEvery(day, roundMs, () => {
				void scaler.runRound();
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

	for (const [index, hour] of plan.reclaimHours.entries()) {
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
	return summarizeDay(day, results, openRequests, credits);
};
