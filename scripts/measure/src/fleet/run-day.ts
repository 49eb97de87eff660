/**
 * A day of demand before a fleet that the real duty sizes: three holders on one log in memory,
 * the cloud in memory, the daemons' real gates and registries, engines on a controlled clock.
 * An hour of the day passes in a minute, and what takes time at the cloud takes a sixtieth of it.
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
import {makeFleetDuty, type FleetDemand, type FleetDuty} from '@shallotpass/tasks/fleet-duty.js';
import {makeLogger} from '@shallotpass/telemetry/logger.js';
import {makeMetrics} from '@shallotpass/telemetry/metrics.js';
import {round} from '../latencies.js';
import {makeSettings} from '../local-fleet.js';
import {computePlaces, type Deployment} from '../routing/deployment.js';
import {
	chatService, makeEntryDaemon, type ChatResult, type EntryDaemon,
} from '../routing/entry-daemon.js';
import {makeHostedEngine, type HostedEngine} from '../routing/hosted-engine.js';
import {makeManualClock, type ManualClock} from '../routing/manual-clock.js';
import {makeRequests, type ChatArrival} from '../routing/make-requests.js';
import {isWithin} from '../routing/summarize-run.js';
import {findFleetPolicy} from './fleet-policies.js';
import {makeMemoryCloud, type MemoryCloud, type MemoryInstance} from './memory-cloud.js';

export type DayPlan = {
	readonly deployment: Deployment;
	readonly policy: string;
	readonly seed: number;
	/** Load at the peak; 1 is what the deployment's own engines carry. */
	readonly peakLoad: number;
	/** Part of the peak at each full hour. */
	readonly shape: readonly number[];
	/** Hours at which a zone's reclaimable instances are taken at once and refused for a while. */
	readonly waves: readonly number[];
};

export type DaySummary = {
	readonly policy: string;
	readonly creditsPerThousand: number;
	readonly credits: number;
	readonly withinTarget: number;
	readonly classes: ReadonlyArray<{readonly class: string; readonly withinTarget: number}>;
	readonly asked: number;
	readonly refused: number;
	readonly unanswered: number;
	readonly instances: number;
	/** Paid for, and never sent a request. */
	readonly neverUsed: number;
	readonly startCalls: number;
};

const hourMs = 60_000;
const startMs = 4000;
const roundMs = 500;
const reportMs = 500;
const noticeMs = 2000;
const refusedForMs = 30_000;
const onDemandFactor = 3;

/** Room at the end for what is still running. */
const tailMs = 90_000;

type Day = {
	readonly plan: DayPlan;
	readonly clock: ManualClock;
	readonly cloud: MemoryCloud;
	readonly engines: Map<string, HostedEngine>;
	readonly daemons: readonly EntryDaemon[];
	readonly listed: Map<string, ListedInstance>;
	readonly used: Set<string>;
	listVersion: number;
	isOver: boolean;
};

const getShape = (shape: readonly number[], at: number): number => {
	const hour = at / hourMs;
	const before = shape[Math.floor(hour) % shape.length]!;
	const after = shape[(Math.floor(hour) + 1) % shape.length]!;
	return before + ((after - before) * (hour % 1));
};

/** The peak's requests, thinned to the shape of the day. */
const makeDayRequests = ({deployment, peakLoad, seed, shape}: DayPlan): ChatArrival[] => {
	const random = makeRandom(seed + 5);
	return makeRequests({
		deployment, load: peakLoad, untilMs: shape.length * hourMs, seed,
	}).filter((arrival): arrival is ChatArrival => arrival.kind === 'chat' && random() < getShape(shape, arrival.at));
};

const listZones = (deployment: Deployment): string[] => [...new Set(deployment.engine.map(group => group.availabilityZone))];

const listOffers = (deployment: Deployment): Offer[] => listZones(deployment).flatMap(availabilityZone => deployment.machine.flatMap(machine => [true, false].map(isReclaimable => ({
	availabilityZone,
	machineClass: machine.name,
	isReclaimable,
	creditsPerHour: machine.price * (isReclaimable ? 1 : onDemandFactor),
	places: computePlaces(deployment, machine),
}))));

const publish = (day: Day): void => {
	day.listVersion++;
	for (const {registry} of day.daemons) {
		registry.applyInstanceList({version: day.listVersion, instances: [...day.listed.values()]});
	}
};

/** Brings the engines and the list in line with what runs at the cloud. */
const followCloud = (day: Day): void => {
	const running = new Map(day.cloud.listRunning().map(instance => [instance.id, instance]));
	let hasChanged = false;
	for (const [id, engine] of day.engines) {
		if (!running.has(id) && day.listed.delete(id)) {
			engine.takeAway();
			hasChanged = true;
		}
	}

	for (const instance of running.values()) {
		if (!day.engines.has(instance.id) && instance.servesAt <= day.clock.now()) {
			addEngine(day, instance);
			hasChanged = true;
		}
	}

	if (hasChanged) {
		publish(day);
	}
};

const addEngine = ({plan, engines, listed, clock}: Day, {id, availabilityZone, machineClass}: MemoryInstance): void => {
	const machine = plan.deployment.machine.find(item => item.name === machineClass)!;
	engines.set(id, makeHostedEngine({id, availabilityZone, machine}, clock));
	listed.set(id, {
		id, address: id, role: 'backend', availabilityZone, machineClass, state: 'live', services: [chatService],
	});
};

const reportLoads = ({daemons, engines, listed}: Day): void => {
	for (const {id, getReport} of engines.values()) {
		if (listed.has(id)) {
			for (const {registry} of daemons) {
				registry.applyLoadReport(id, getReport());
			}
		}
	}
};

const repeat = (day: Day, everyMs: number, act: () => void): void => {
	act();
	if (!day.isOver) {
		day.clock.schedule(day.clock.now() + everyMs, () => {
			repeat(day, everyMs, act);
		});
	}
};

const announceEnd = ({daemons}: Day, id: string, leavesAt: number): void => {
	for (const {registry} of daemons) {
		registry.applyLeavingNotice(id, leavesAt);
	}
};

/** A zone's reclaimable instances go at once, on notice, and no new ones are to be had for a while. */
const strikeZone = (day: Day, availabilityZone: string): void => {
	const {cloud, clock} = day;
	const leavesAt = clock.now() + noticeMs;
	const leaving = cloud.announce(instance => instance.availabilityZone === availabilityZone && instance.isReclaimable);
	const offers = listOffers(day.plan.deployment).filter(offer => offer.availabilityZone === availabilityZone && offer.isReclaimable).map(offer => makeOfferKey(offer));
	for (const {id} of leaving) {
		announceEnd(day, id, leavesAt);
	}

	for (const offer of offers) {
		cloud.soldOut.add(offer);
	}

	clock.schedule(leavesAt, () => {
		cloud.takeAway(leaving);
		followCloud(day);
	});
	clock.schedule(leavesAt + refusedForMs, () => {
		for (const offer of offers) {
			cloud.soldOut.delete(offer);
		}
	});
};

/** What runs or waits anywhere; the daemons add up their engines' reports and their own lines to the same. */
const makeObserve = (day: Day, countOpen: () => number): (() => FleetDemand) => {
	const offers = listOffers(day.plan.deployment);
	const {smoothing} = findFleetPolicy(day.plan.policy);
	let smoothed: SmoothedDemand | undefined;
	return () => {
		const used = countOpen();
		if (smoothing === undefined) {
			return {offers, fixedPlaces: 0, demandPlaces: used};
		}

		smoothed = smoothDemand(smoothed, used, day.clock.now(), smoothing);
		return {offers, fixedPlaces: 0, demandPlaces: forecastDemand(smoothed, startMs)};
	};
};

const makeDuties = (day: Day, countOpen: () => number, random: () => number): FleetDuty[] => {
	const log = makeMemoryLog(day.clock);
	const plan = findFleetPolicy(day.plan.policy).make(day.plan.deployment);
	return listZones(day.plan.deployment).map((availabilityZone, index) => makeFleetDuty({
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
		measureDemand: makeObserve(day, countOpen),
		announceEnd(id: string, leavesAt: Deadline) {
			announceEnd(day, id, leavesAt);
		},
		timing: {
			roundIntervalMs: roundMs, leaseMs: 5000, listingTimeoutMs: 20_000, firstRefusalWaitMs: 2000, drainMs: 3000,
		},
	}));
};

const makeDay = (plan: DayPlan): Day => {
	const clock = makeManualClock();
	const random = makeRandom(plan.seed + 1);
	const engines = new Map<string, HostedEngine>();
	const daemons: EntryDaemon[] = [];
	const used = new Set<string>();
	for (let index = 0; index < plan.deployment.daemons; index++) {
		daemons.push(makeEntryDaemon({
			index,
			deployment: plan.deployment,
			clock,
			random,
			policy: chooseLowestCost,
			findEngine(id) {
				used.add(id);
				return engines.get(id)!;
			},
			async runPlain() {/* the day has no plain calls */},
		}));
	}

	return {
		plan, clock, cloud: makeMemoryCloud({now: clock.now, startMs}), engines, daemons, listed: new Map(), used, listVersion: 0, isOver: false,
	};
};

const countCredits = ({plan, cloud, clock}: Day): number => {
	const offers = listOffers(plan.deployment);
	let credits = 0;
	for (const instance of cloud.instances) {
		const price = offers.find(offer => makeOfferKey(offer) === makeOfferKey(instance as CloudInstance))!.creditsPerHour;
		credits += price * ((instance.endedAt ?? clock.now()) - instance.startedAt) / hourMs;
	}

	return credits;
};

const summarize = (day: Day, results: readonly ChatResult[], unanswered: number, credits: number): DaySummary => {
	const {plan, cloud, used} = day;
	const countWithin = (list: readonly ChatResult[]): number => list.filter(result => isWithin(result, plan.deployment.class.find(item => item.name === result.arrival.class)!)).length;
	const within = countWithin(results);
	return {
		policy: plan.policy,
		creditsPerThousand: round(credits / Math.max(1, within) * 1000, 3),
		credits: round(credits, 2),
		withinTarget: round(within / Math.max(1, results.length), 4),
		classes: plan.deployment.class.map(({name}) => {
			const own = results.filter(result => result.arrival.class === name);
			return {class: name, withinTarget: round(countWithin(own) / Math.max(1, own.length), 4)};
		}),
		asked: results.length + unanswered,
		refused: results.filter(result => result.refusedAs !== undefined).length,
		unanswered,
		instances: cloud.instances.length,
		neverUsed: cloud.instances.filter(instance => !used.has(instance.id)).length,
		startCalls: cloud.countStartCalls(),
	};
};

export const runDay = async (plan: DayPlan): Promise<DaySummary> => {
	const day = makeDay(plan);
	const {clock, daemons} = day;
	const untilMs = plan.shape.length * hourMs;
	const results: ChatResult[] = [];
	let open = 0;
	const duties = makeDuties(day, () => open, makeRandom(plan.seed + 3));
	repeat(day, reportMs, () => {
		followCloud(day);
		reportLoads(day);
	});
	for (const [index, duty] of duties.entries()) {
		clock.schedule(index * (roundMs / duties.length), () => {
			repeat(day, roundMs, () => {
				void duty.runRound();
			});
		});
	}

	const serve = async (arrival: ChatArrival, daemon: EntryDaemon): Promise<void> => {
		open++;
		results.push(await daemon.serve(arrival));
		open--;
	};

	// The first hour's instances start before its first question.
	for (const [index, arrival] of makeDayRequests(plan).entries()) {
		clock.schedule(arrival.at + hourMs, () => {
			void serve({...arrival, at: arrival.at + hourMs}, daemons[index % daemons.length]!);
		});
	}

	for (const [index, hour] of plan.waves.entries()) {
		const zones = listZones(plan.deployment);
		clock.schedule((hour + 1) * hourMs, () => {
			strikeZone(day, zones[index % zones.length]!);
		});
	}

	let credits = 0;
	clock.schedule(untilMs + hourMs, () => {
		credits = countCredits(day);
	});
	const isDone = (): boolean => clock.now() >= untilMs + hourMs + (open > 0 ? tailMs : 0);
	while (!isDone() && clock.advance()) {
		await nextTurn(); // eslint-disable-line no-await-in-loop -- whoever waited for this moment goes on before the next
	}

	day.isOver = true;
	return summarize(day, results, open, credits);
};
