/** Simulates one deployment with one routing policy and load, optionally with an availability zone reclaimed halfway. */
import {setImmediate as waitForNextTurn} from 'node:timers/promises';
import {type CacheEvent} from '@shallotpass/backends/engine-events.js';
import {type ListedInstance} from '@shallotpass/common/instance-list.js';
import {makeRandom} from '@shallotpass/core/testing/make-random.js';
import {type RoutingPolicy} from '@shallotpass/core/routing/types.js';
import {listEngines, type Deployment, type PlacedEngine} from './deployment.js';
import {
	chatService, makeSimulatedDaemon, type ChatResult, type SimulatedDaemon,
} from './simulated-daemon.js';
import {makeSimulatedEngine, type SimulatedEngine} from './simulated-engine.js';
import {makeManualClock, type ManualClock} from './manual-clock.js';
import {makeRequests, type Arrival} from './make-requests.js';
import {summarizeRun, type RunSummary} from './summarize-run.js';

export type RunPlan = {
	readonly deployment: Deployment;
	readonly load: number;
	/** Whether the last availability zone is reclaimed halfway through the measured period. */
	readonly isReclaimed: boolean;
	readonly seed: number;
	/** Whether daemons receive the engines' cache events. */
	readonly hasCacheEvents: boolean;
	/** Requests that arrive earlier are served but not counted: caches fill and speed estimates converge. */
	readonly warmUpMs: number;
	readonly untilMs: number;
};

const lostEventShare = 0.1;
const maxEventDelayMs = 2000;

const loadReportIntervalMs = 1000;

/** Time between the notice of a reclaim and the termination in the users' cloud. */
const noticeMs = 5000;

/** A leaving engine's streams move to other engines this long before its termination. */
const streamMoveMarginMs = 1500;

/** Time after a reclaim until the cloud provides replacements; they start with empty caches. */
const replacementDelayMs = 40_000;

type Simulation = {
	readonly plan: RunPlan;
	readonly clock: ManualClock;
	readonly engines: Map<string, SimulatedEngine>;
	readonly daemons: readonly SimulatedDaemon[];
	readonly instances: Map<string, ListedInstance>;
	/** All engines ever started, including terminated ones. */
	readonly allEngines: SimulatedEngine[];
	/** The time at which each plain server is free again. */
	readonly plainFreeAt: Map<string, number>;
	listVersion: number;
	readonly random: () => number;
};

const publishInstanceList = (simulation: Simulation): void => {
	simulation.listVersion++;
	for (const {registry} of simulation.daemons) {
		registry.applyInstanceList({version: simulation.listVersion, instances: [...simulation.instances.values()]});
	}
};

const addEngine = (simulation: Simulation, placed: PlacedEngine): void => {
	const engine = makeSimulatedEngine(placed, simulation.clock);
	simulation.engines.set(placed.id, engine);
	simulation.allEngines.push(engine);
	simulation.instances.set(placed.id, {
		id: placed.id, address: placed.id, role: 'backend', availabilityZone: placed.availabilityZone, machineClass: placed.machine.name, state: 'live', services: [chatService],
	});
};

const addPlainServers = (simulation: Simulation): void => {
	const {plain, engine} = simulation.plan.deployment;
	for (let index = 0; index < plain.servers; index++) {
		const id = `${plain.service}-${index}`;
		simulation.plainFreeAt.set(id, 0);
		simulation.instances.set(id, {
			id, address: id, role: 'backend', availabilityZone: engine[index % engine.length]!.availabilityZone, machineClass: 'plain', state: 'live', services: [plain.service],
		});
	}
};

const runPlain = async (simulation: Simulation, id: string): Promise<void> => {
	const endsAt = Math.max(simulation.clock.now(), simulation.plainFreeAt.get(id)!) + simulation.plan.deployment.plain.callMs;
	simulation.plainFreeAt.set(id, endsAt);
	await simulation.clock.waitUntil(endsAt as never);
};

/** Reclaims one availability zone at once; its replacements join later with empty caches. */
const reclaimZone = (simulation: Simulation): void => {
	const {clock, plan} = simulation;
	const zone = plan.deployment.engine.at(-1)!.availabilityZone;
	const leaving = [...simulation.engines.values()].filter(engine => engine.availabilityZone === zone);
	const leavesAt = clock.now() + noticeMs;
	for (const {id} of leaving) {
		for (const {registry} of simulation.daemons) {
			registry.applyLeavingNotice(id, leavesAt);
		}
	}

	clock.schedule(leavesAt - streamMoveMarginMs, () => {
		for (const engine of leaving) {
			engine.terminate();
			simulation.instances.delete(engine.id);
		}

		publishInstanceList(simulation);
	});
	clock.schedule(leavesAt + replacementDelayMs, () => {
		for (const {id, availabilityZone, machine} of leaving) {
			addEngine(simulation, {id: `${id}-again`, availabilityZone, machine});
		}

		publishInstanceList(simulation);
	});
};

/** Delivers cache events to the daemons with a delay; a share of them is lost. */
const deliverCacheEvents = (simulation: Simulation, id: string, events: readonly CacheEvent[]): void => {
	const {clock, plan} = simulation;
	if (!plan.hasCacheEvents) {
		return;
	}

	for (const {registry} of simulation.daemons) {
		const delivered = events.filter(() => simulation.random() >= lostEventShare);
		clock.schedule(clock.now() + (simulation.random() * maxEventDelayMs), () => {
			registry.applyCacheEvents(id, delivered);
		});
	}
};

const reportLoads = (simulation: Simulation): void => {
	for (const {id, getLoadReport: getReport, takeEvents} of simulation.engines.values()) {
		if (!simulation.instances.has(id)) {
			continue;
		}

		deliverCacheEvents(simulation, id, takeEvents());

		for (const {registry} of simulation.daemons) {
			registry.applyLoadReport(id, getReport());
		}
	}

	if (simulation.clock.now() < simulation.plan.untilMs) {
		simulation.clock.schedule(simulation.clock.now() + loadReportIntervalMs, () => {
			reportLoads(simulation);
		});
	}
};

const makeSimulation = (plan: RunPlan, makePolicy: () => RoutingPolicy): Simulation => {
	const clock = makeManualClock();
	const random = makeRandom(plan.seed + 1);
	const engines = new Map<string, SimulatedEngine>();
	const daemons: SimulatedDaemon[] = [];
	const simulation: Simulation = {
		plan, clock, engines, daemons, instances: new Map(), allEngines: [], plainFreeAt: new Map(), listVersion: 0, random: makeRandom(plan.seed + 2),
	};
	for (let index = 0; index < plan.deployment.daemons; index++) {
		daemons.push(makeSimulatedDaemon({
			index, deployment: plan.deployment, clock, random, policy: makePolicy(), findEngine: id => engines.get(id)!, runPlain: async id => runPlain(simulation, id),
		}));
	}

	for (const placed of listEngines(plan.deployment)) {
		addEngine(simulation, placed);
	}

	addPlainServers(simulation);
	publishInstanceList(simulation);
	reportLoads(simulation);
	return simulation;
};

export const runDeployment = async (plan: RunPlan, makePolicy: () => RoutingPolicy): Promise<RunSummary> => {
	const simulation = makeSimulation(plan, makePolicy);
	const {clock, daemons} = simulation;
	const results: ChatResult[] = [];
	const plainMs: number[] = [];
	const pendingIds = new Set<string>();
	let plainRefused = 0;
	const serve = async (arrival: Arrival, daemon: SimulatedDaemon): Promise<void> => {
		pendingIds.add(arrival.id);
		if (arrival.kind === 'chat') {
			results.push(await daemon.serve(arrival));
		} else {
			const durationMs = await daemon.servePlain(arrival);
			if (durationMs === undefined) {
				plainRefused++;
			} else {
				plainMs.push(durationMs);
			}
		}

		pendingIds.delete(arrival.id);
	};

	const arrivals = makeRequests({
		deployment: plan.deployment, load: plan.load, untilMs: plan.untilMs, seed: plan.seed,
	});
	for (const [index, arrival] of arrivals.entries()) {
		clock.schedule(arrival.at, () => {
			void serve(arrival, daemons[index % daemons.length]!);
		});
	}

	let warmUpTokens = {promptTokens: 0, recomputedTokens: 0};
	const countTokens = () => ({
		promptTokens: simulation.allEngines.reduce((sum, engine) => sum + engine.counts.promptTokens, 0),
		recomputedTokens: simulation.allEngines.reduce((sum, engine) => sum + engine.counts.recomputedTokens, 0),
	});
	clock.schedule(plan.warmUpMs, () => {
		warmUpTokens = countTokens();
	});
	if (plan.isReclaimed) {
		clock.schedule((plan.warmUpMs + plan.untilMs) / 2, () => {
			reclaimZone(simulation);
		});
	}

	while ((clock.now() < plan.untilMs || pendingIds.size > 0) && clock.advance()) {
		await waitForNextTurn(); // eslint-disable-line no-await-in-loop -- lets pending promises settle before time advances
	}

	const totalTokens = countTokens();
	return summarizeRun({
		plan,
		results,
		plainMs,
		plainRefused,
		unanswered: pendingIds.size,
		promptTokens: totalTokens.promptTokens - warmUpTokens.promptTokens,
		recomputedTokens: totalTokens.recomputedTokens - warmUpTokens.recomputedTokens,
		hasReceived: id => simulation.allEngines.some(engine => engine.hasReceived(id)),
	});
};
