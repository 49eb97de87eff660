/** One run: a deployment, a policy, a load, with or without an availability zone reclaimed in the middle. */
import {setImmediate as nextTurn} from 'node:timers/promises';
import {type CacheEvent} from '@shallotpass/backends/engine-events.js';
import {type ListedInstance} from '@shallotpass/common/instance-list.js';
import {makeRandom} from '@shallotpass/core/testing/make-random.js';
import {type RoutingPolicy} from '@shallotpass/core/routing/types.js';
import {listEngines, type Deployment, type PlacedEngine} from './deployment.js';
import {
	chatService, makeEntryDaemon, type ChatResult, type EntryDaemon,
} from './entry-daemon.js';
import {makeHostedEngine, type HostedEngine} from './hosted-engine.js';
import {makeManualClock, type ManualClock} from './manual-clock.js';
import {makeRequests, type Arrival} from './make-requests.js';
import {summarizeRun, type RunSummary} from './summarize-run.js';

export type RunPlan = {
	readonly deployment: Deployment;
	readonly load: number;
	readonly isReclaimed: boolean;
	readonly seed: number;
	/** Whether daemons are told of the engines' caches. */
	readonly hasCacheEvents: boolean;
	/** What arrives before this is served and not counted: caches fill, speeds are learned. */
	readonly warmUpMs: number;
	readonly untilMs: number;
};

const lostEventShare = 0.1;
const latestEventMs = 2000;

const reportEveryMs = 1000;

/** Seconds of notice, as the users have them. */
const noticeMs = 5000;

/** A leaving engine's streams move this long before it goes. */
const moveMarginMs = 1500;

/** After a reclaim the cloud gives replacements, with nothing cached, only so much later. */
const replacedAfterMs = 40_000;

type World = {
	readonly plan: RunPlan;
	readonly clock: ManualClock;
	readonly engines: Map<string, HostedEngine>;
	readonly daemons: readonly EntryDaemon[];
	readonly instances: Map<string, ListedInstance>;
	/** All engines that ever were. */
	readonly everyEngine: HostedEngine[];
	/** When each plain server is free again. */
	readonly plainFreeAt: Map<string, number>;
	listVersion: number;
	readonly random: () => number;
};

const publishList = (world: World): void => {
	world.listVersion++;
	for (const {registry} of world.daemons) {
		registry.applyInstanceList({version: world.listVersion, instances: [...world.instances.values()]});
	}
};

const addEngine = (world: World, placed: PlacedEngine): void => {
	const engine = makeHostedEngine(placed, world.clock);
	world.engines.set(placed.id, engine);
	world.everyEngine.push(engine);
	world.instances.set(placed.id, {
		id: placed.id, address: placed.id, role: 'backend', availabilityZone: placed.availabilityZone, machineClass: placed.machine.name, state: 'live', services: [chatService],
	});
};

const addPlainServers = (world: World): void => {
	const {plain, engine} = world.plan.deployment;
	for (let index = 0; index < plain.servers; index++) {
		const id = `${plain.service}-${index}`;
		world.plainFreeAt.set(id, 0);
		world.instances.set(id, {
			id, address: id, role: 'backend', availabilityZone: engine[index % engine.length]!.availabilityZone, machineClass: 'plain', state: 'live', services: [plain.service],
		});
	}
};

const runPlain = async (world: World, id: string): Promise<void> => {
	const endsAt = Math.max(world.clock.now(), world.plainFreeAt.get(id)!) + world.plan.deployment.plain.callMs;
	world.plainFreeAt.set(id, endsAt);
	await world.clock.waitUntil(endsAt as never);
};

/** The whole of one availability zone is reclaimed at once, and comes back later with empty caches. */
const reclaimZone = (world: World): void => {
	const {clock, plan} = world;
	const zone = plan.deployment.engine.at(-1)!.availabilityZone;
	const leaving = [...world.engines.values()].filter(engine => engine.availabilityZone === zone);
	const leavesAt = clock.now() + noticeMs;
	for (const {id} of leaving) {
		for (const {registry} of world.daemons) {
			registry.applyLeavingNotice(id, leavesAt);
		}
	}

	clock.schedule(leavesAt - moveMarginMs, () => {
		for (const engine of leaving) {
			engine.takeAway();
			world.instances.delete(engine.id);
		}

		publishList(world);
	});
	clock.schedule(leavesAt + replacedAfterMs, () => {
		for (const {id, availabilityZone, machine} of leaving) {
			addEngine(world, {id: `${id}-again`, availabilityZone, machine});
		}

		publishList(world);
	});
};

/** Cache events reach the daemons late, and a part of them never. */
const tellEvents = (world: World, id: string, events: readonly CacheEvent[]): void => {
	const {clock, plan} = world;
	if (!plan.hasCacheEvents) {
		return;
	}

	for (const {registry} of world.daemons) {
		const told = events.filter(() => world.random() >= lostEventShare);
		clock.schedule(clock.now() + (world.random() * latestEventMs), () => {
			registry.applyCacheEvents(id, told);
		});
	}
};

const reportLoads = (world: World): void => {
	for (const {id, getReport, takeEvents} of world.engines.values()) {
		if (!world.instances.has(id)) {
			continue;
		}

		tellEvents(world, id, takeEvents());

		for (const {registry} of world.daemons) {
			registry.applyLoadReport(id, getReport());
		}
	}

	if (world.clock.now() < world.plan.untilMs) {
		world.clock.schedule(world.clock.now() + reportEveryMs, () => {
			reportLoads(world);
		});
	}
};

const makeWorld = (plan: RunPlan, makePolicy: () => RoutingPolicy): World => {
	const clock = makeManualClock();
	const random = makeRandom(plan.seed + 1);
	const engines = new Map<string, HostedEngine>();
	const daemons: EntryDaemon[] = [];
	const world: World = {
		plan, clock, engines, daemons, instances: new Map(), everyEngine: [], plainFreeAt: new Map(), listVersion: 0, random: makeRandom(plan.seed + 2),
	};
	for (let index = 0; index < plan.deployment.daemons; index++) {
		daemons.push(makeEntryDaemon({
			index, deployment: plan.deployment, clock, random, policy: makePolicy(), findEngine: id => engines.get(id)!, runPlain: async id => runPlain(world, id),
		}));
	}

	for (const placed of listEngines(plan.deployment)) {
		addEngine(world, placed);
	}

	addPlainServers(world);
	publishList(world);
	reportLoads(world);
	return world;
};

export const runDeployment = async (plan: RunPlan, makePolicy: () => RoutingPolicy): Promise<RunSummary> => {
	const world = makeWorld(plan, makePolicy);
	const {clock, daemons} = world;
	const results: ChatResult[] = [];
	const plainMs: number[] = [];
	const open = new Set<string>();
	let plainRefused = 0;
	const serve = async (arrival: Arrival, daemon: EntryDaemon): Promise<void> => {
		open.add(arrival.id);
		if (arrival.kind === 'chat') {
			results.push(await daemon.serve(arrival));
		} else {
			const took = await daemon.servePlain(arrival);
			if (took === undefined) {
				plainRefused++;
			} else {
				plainMs.push(took);
			}
		}

		open.delete(arrival.id);
	};

	const arrivals = makeRequests({
		deployment: plan.deployment, load: plan.load, untilMs: plan.untilMs, seed: plan.seed,
	});
	for (const [index, arrival] of arrivals.entries()) {
		clock.schedule(arrival.at, () => {
			void serve(arrival, daemons[index % daemons.length]!);
		});
	}

	let readBefore = {promptTokens: 0, recomputedTokens: 0};
	const countTokens = () => ({
		promptTokens: world.everyEngine.reduce((sum, engine) => sum + engine.counts.promptTokens, 0),
		recomputedTokens: world.everyEngine.reduce((sum, engine) => sum + engine.counts.recomputedTokens, 0),
	});
	clock.schedule(plan.warmUpMs, () => {
		readBefore = countTokens();
	});
	if (plan.isReclaimed) {
		clock.schedule((plan.warmUpMs + plan.untilMs) / 2, () => {
			reclaimZone(world);
		});
	}

	while ((clock.now() < plan.untilMs || open.size > 0) && clock.advance()) {
		await nextTurn(); // eslint-disable-line no-await-in-loop -- whoever waited for this moment goes on before the next
	}

	const read = countTokens();
	return summarizeRun({
		plan,
		results,
		plainMs,
		plainRefused,
		unanswered: open.size,
		promptTokens: read.promptTokens - readBefore.promptTokens,
		recomputedTokens: read.recomputedTokens - readBefore.recomputedTokens,
		hasSeen: id => world.everyEngine.some(engine => engine.hasSeen(id)),
	});
};
