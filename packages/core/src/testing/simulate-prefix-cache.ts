/** Simulates daemons and engines with prefix caches of limited memory, in virtual time: skewed prompt parts, engines of unequal speed. */
import {type PromptPart} from '../calls/types.js';
import {computeWorkRate, recordWork, type WorkRate} from '../engines/work-rate.js';
import {chooseBackend} from '../placement/choose-backend.js';
import {
	type PrefixContext, type PrefixEngine, type PrefixEstimate, type PrefixService,
} from '../placement/estimate-prefix-caches.js';
import {makeKnownParts} from '../placement/known-parts.js';
import {type PartUses} from '../placement/part-uses.js';
import {getAffinityHash} from '../placement/prompt-affinity.js';
import {recordPromptParts} from '../placement/record-prompt-parts.js';
import {computeOrderPosition, computeUnreportedMs} from '../placement/spread-choices.js';
import {type BackendView, type Load} from '../placement/types.js';
import {hashText} from '../routing/rank-by-rendezvous.js';

export type PrefixCallKind = {
	readonly name: string;
	readonly perSecond: number;
	readonly rank: number;
	/** Number of shared parts, of which the first are used most. */
	readonly sharedParts: number;
	readonly sharedTokens: number;
	readonly meanOwnTokens: number;
	readonly maxOwnTokens: number;
	/** Time from the first event to the last one. */
	readonly answerMs: number;
	readonly targetMs: number;
	/** Share of the calls that have the first shared part in addition to its usual share, from the middle of the simulation on. */
	readonly hotShare: number;
};

/** An engine as a daemon knows it. */
export type SimulatedEngine = PrefixEngine & {readonly joinedAt: number};

export type PrefixSimulation = {
	readonly daemons: number;
	/** Prompt tokens that each engine prefills per millisecond. */
	readonly engineSpeeds: readonly number[];
	readonly slots: number;
	readonly cacheTokens: number;
	readonly kinds: readonly PrefixCallKind[];
	readonly durationMs: number;
	/** Results of calls that arrive earlier are not counted. */
	readonly countedFromMs: number;
	/** Engines that restart with an empty cache. */
	readonly restarts: ReadonlyArray<{readonly engine: number; readonly at: number}>;
	/** How a daemon estimates what engines have cached. */
	readonly estimate: (call: {readonly promptParts: readonly PromptPart[]}, engines: readonly SimulatedEngine[], context: PrefixContext<SimulatedEngine>) => PrefixEstimate[];
	readonly random: () => number;
};

type SimulatedCall = {
	readonly id: string;
	readonly kind: PrefixCallKind;
	readonly at: number;
	readonly promptParts: readonly PromptPart[];
	readonly promptTokens: number;
	/** Called when the first event is sent, and when the answer has ended. */
	onFirstEvent: () => void;
	onEnd: () => void;
};

export type PrefixCallResult = {
	readonly kind: string;
	readonly at: number;
	readonly promptTokens: number;
	readonly firstEventMs: number;
	readonly targetMs: number;
};

export type PrefixReport = {
	readonly results: readonly PrefixCallResult[];
	/** Tokens of shared parts that were sent, prefilled, and prefilled though an engine had used the part less than 9.6 s before. */
	readonly sharedTokens: number;
	readonly recomputedTokens: number;
	readonly pricedTokens: number;
};

/** Interval of the gossip reports. */
const gossipMs = 333;

/** Offset between the reports of one daemon and the next, which spreads them over the interval. */
const reportOffsetMs = 37;
const fixedMs = 12;

/** Delay of a prefill by each running answer, in milliseconds. */
const runningAnswerMs = 0.05;

/** Period in which the platform prices the prefill of a part that was used before. */
const pricedWithinMs = 9600;

type CachedPart = {readonly tokens: number; pins: number};

type Engine = {
	readonly speed: number;
	readonly cache: Map<string, CachedPart>;
	cachedTokens: number;
	queue: SimulatedCall[];
	running: number;
	prefilling: SimulatedCall | undefined;
	prefilledAt: number;
	answers: Array<{readonly endsAt: number; readonly call: SimulatedCall}>;
	incarnationHash: number;
	joinedAt: number;
};

type EngineKnowledge = {
	incarnationHash: number;
	knownParts: ReturnType<typeof makeKnownParts>;
	running: number;
	runningTokens: number;
	readonly pendingTokens: number[];
	reported: Load;
};

type Daemon = {
	readonly engines: EngineKnowledge[];
	readonly partUses: PartUses;
	work: WorkRate | undefined;
	reportedWork: number;
};

const emptyLoad: Load = {running: 0, pendingTokens: [0, 0, 0]};

const addLoads = (left: Load, right: Load, sign: 1 | -1): Load => ({
	running: left.running + (sign * right.running),
	pendingTokens: left.pendingTokens.map((tokens, rank) => tokens + (sign * right.pendingTokens[rank]!)),
});

/** Drops the least recently used parts that no running call uses. */
const dropParts = (engine: Engine, capacity: number): void => {
	for (const [id, part] of engine.cache) {
		if (engine.cachedTokens <= capacity) {
			return;
		}

		if (part.pins === 0) {
			engine.cache.delete(id);
			engine.cachedTokens -= part.tokens;
		}
	}
};

/** Records that a running call begins (1) or ends (-1) to use a part, which makes it the most recently used one. */
const holdPart = (engine: Engine, {id, tokens}: PromptPart, pins: 1 | -1): void => {
	const part = engine.cache.get(id);
	engine.cache.delete(id);
	engine.cache.set(id, {tokens, pins: Math.max(0, (part?.pins ?? 0) + pins)});
	engine.cachedTokens += part === undefined ? tokens : 0;
};

const drawCall = (kind: PrefixCallKind, {index, at, isHot, random}: {readonly index: number; readonly at: number; readonly isHot: boolean; readonly random: () => number}): SimulatedCall => {
	const partIndex = isHot && random() < kind.hotShare ? 0 : Math.floor(kind.sharedParts * (random() ** 2));
	const exponential = -Math.log(1 - random());
	// The square of an exponential number is skewed: its mean is 2, a tenth is more than 5.
	const ownTokens = Math.max(16, Math.round(Math.min(kind.maxOwnTokens, kind.meanOwnTokens * exponential * exponential / 2)));
	const id = `${kind.name}-${index}`;
	return {
		id, kind, at, promptParts: [{id: `${kind.name}/${partIndex}`, tokens: kind.sharedTokens}, {id, tokens: ownTokens}], promptTokens: kind.sharedTokens + ownTokens,
		onFirstEvent() {/* set when it is sent */},
		onEnd() {/* set when it is sent */},
	};
};

/** Runs the simulation in steps of a millisecond. */
export const simulatePrefixCache = (simulation: PrefixSimulation): PrefixReport => {
	const {random, kinds} = simulation;
	const meanSpeed = simulation.engineSpeeds.reduce((sum, speed) => sum + speed, 0) / simulation.engineSpeeds.length;
	const engines = simulation.engineSpeeds.map((speed, index): Engine => ({
		speed, cache: new Map(), cachedTokens: 0, queue: [], running: 0, prefilling: undefined, prefilledAt: 0, answers: [], incarnationHash: hashText(`engine-${index}`), joinedAt: Number.NEGATIVE_INFINITY,
	}));
	const daemons = Array.from({length: simulation.daemons}, (): Daemon => ({
		engines: engines.map(({incarnationHash}) => ({
			incarnationHash, knownParts: makeKnownParts(), running: 0, runningTokens: 0, pendingTokens: [0, 0, 0], reported: emptyLoad,
		})),
		partUses: new Map(), work: undefined, reportedWork: 0,
	}));
	const totals = engines.map(() => emptyLoad);
	let totalWork = 0;
	const results: PrefixCallResult[] = [];
	const usedAt = new Map<string, number>();
	const tokens = {shared: 0, recomputed: 0, priced: 0};

	const publishReport = (daemon: Daemon, now: number): void => {
		for (const [index, engine] of daemon.engines.entries()) {
			const report = {running: engine.running, pendingTokens: [...engine.pendingTokens]};
			totals[index] = addLoads(addLoads(totals[index]!, engine.reported, -1), report, 1);
			engine.reported = report;
		}

		const work = computeWorkRate(daemon.work, now);
		totalWork += work - daemon.reportedWork;
		daemon.reportedWork = work;
	};

	const placeCall = (daemon: Daemon, call: SimulatedCall, now: number): void => {
		const {promptParts, promptTokens, kind} = call;
		const keyHash = getAffinityHash(call);
		const othersWork = totalWork - daemon.reportedWork;
		const othersLoads = daemon.engines.map(({reported}, index) => addLoads(totals[index]!, reported, -1));
		const ownWork = computeWorkRate(daemon.work, now);
		const prefixEngines = daemon.engines.map((known, index) => ({...known, joinedAt: engines[index]!.joinedAt, othersRunning: othersLoads[index]!.running}));
		const service: PrefixService = {
			partUses: daemon.partUses, cacheTokens: simulation.cacheTokens, tokensPerMs: meanSpeed, inflowPerMs: (ownWork + othersWork) / 1000 / engines.length, daemons: simulation.daemons,
		};
		const estimates = simulation.estimate(call, prefixEngines, {
			service, keyHash, speeds: simulation.engineSpeeds, now, getCondition: ({joinedAt}) => ({places: simulation.slots, joinedAt, reliability: 1}),
		});
		const unreportedMs = computeUnreportedMs({
			tokensPerSecond: othersWork, gossipDelayMs: 300, backends: engines.length, tokensPerMs: meanSpeed,
		});
		const views = daemon.engines.map((known, index): BackendView => ({
			id: String(index), isInOtherZone: false, places: simulation.slots, isReclaimable: false, latencyModel: {tokensPerMs: engines[index]!.speed, fixedMs}, plainMs: 0,
			own: known, others: othersLoads[index]!, failureRate: 0, isAtConnectionLimit: false, cachedTokens: estimates[index]!.cachedTokens, lostEngineMs: estimates[index]!.lostEngineMs ?? 0,
			spreadPenaltyMs: unreportedMs * computeOrderPosition(keyHash, known.incarnationHash), limitPreferenceMs: 0, silentMs: 0,
		}));
		const {id} = chooseBackend(views, {
			rank: kind.rank, promptTokens, isStream: true, isPinned: false, slackMs: kind.targetMs,
		}, random)!;
		const chosen = daemon.engines[Number(id)]!;
		const uncachedTokens = Math.max(0, promptTokens - estimates[Number(id)]!.cachedTokens);
		daemon.work = recordWork(daemon.work, uncachedTokens, now);
		chosen.running++;
		chosen.runningTokens += promptTokens;
		chosen.pendingTokens[kind.rank]! += uncachedTokens;
		recordPromptParts(promptParts, {knownParts: chosen.knownParts, partUses: daemon.partUses}, {now, cacheTokens: simulation.cacheTokens});

		engines[Number(id)]!.queue.push(Object.assign(call, {
			onFirstEvent() {
				chosen.pendingTokens[kind.rank]! -= uncachedTokens;
				if (call.at >= simulation.countedFromMs) {
					results.push({
						kind: kind.name, at: call.at, promptTokens, firstEventMs: clock.now - call.at, targetMs: kind.targetMs,
					});
				}
			},
			onEnd() {
				chosen.running--;
				chosen.runningTokens -= promptTokens;
			},
		}));
	};

	/** Starts the prefill of the most urgent call, if there is a free slot. */
	const startPrefill = (engine: Engine, now: number): void => {
		if (engine.queue.length === 0 || engine.running >= simulation.slots) {
			return;
		}

		const rank = Math.min(...engine.queue.map(({kind}) => kind.rank));
		const [call] = engine.queue.splice(engine.queue.findIndex(({kind}) => kind.rank === rank), 1);
		const {promptParts, at} = call!;
		const firstMissing = promptParts.findIndex(({id}) => !engine.cache.has(id));
		let uncachedTokens = 0;
		for (const [index, {id, tokens: partTokens}] of promptParts.entries()) {
			const isMissing = firstMissing !== -1 && index >= firstMissing;
			uncachedTokens += isMissing ? partTokens : 0;
			if (index < promptParts.length - 1 && at >= simulation.countedFromMs) {
				tokens.shared += partTokens;
				tokens.recomputed += isMissing ? partTokens : 0;
				tokens.priced += isMissing && now - (usedAt.get(id) ?? Number.NEGATIVE_INFINITY) <= pricedWithinMs ? partTokens : 0;
			}

			usedAt.set(id, now);
		}

		for (const part of promptParts) {
			holdPart(engine, part, 1);
		}

		dropParts(engine, simulation.cacheTokens);
		engine.running++;
		engine.prefilling = call;
		engine.prefilledAt = now + (uncachedTokens / engine.speed) + (engine.running * runningAnswerMs);
	};

	const stepEngine = (engine: Engine, now: number): void => {
		if (engine.prefilling !== undefined && engine.prefilledAt <= now) {
			const call = engine.prefilling;
			engine.prefilling = undefined;
			engine.answers.push({endsAt: now + call.kind.answerMs, call});
			call.onFirstEvent();
		}

		if (engine.answers.some(({endsAt}) => endsAt <= now)) {
			for (const {call} of engine.answers.filter(({endsAt}) => endsAt <= now)) {
				engine.running--;
				call.onEnd();
				for (const part of call.promptParts) {
					holdPart(engine, part, -1);
				}
			}

			engine.answers = engine.answers.filter(({endsAt}) => endsAt > now);
		}

		if (engine.prefilling === undefined) {
			startPrefill(engine, now);
		}
	};

	/** The engine's cache is lost; its calls go on, as only the caches matter here. */
	const restartEngine = (index: number, now: number): void => {
		const engine = engines[index]!;
		engine.cache.clear();
		engine.cachedTokens = 0;
		engine.incarnationHash = hashText(`engine-${index}/${now}`);
		engine.joinedAt = now;
		for (const daemon of daemons) {
			daemon.engines[index]!.incarnationHash = engine.incarnationHash;
			daemon.engines[index]!.knownParts = makeKnownParts();
		}
	};

	const clock = {now: 0};
	const nextAt = kinds.map(({perSecond}) => -Math.log(1 - random()) * 1000 / perSecond);
	let index = 0;
	for (; clock.now < simulation.durationMs; clock.now++) {
		const {now} = clock;
		for (const restart of simulation.restarts.filter(({at}) => at === now)) {
			restartEngine(restart.engine, now);
		}

		for (const [daemonIndex, daemon] of daemons.entries()) {
			if ((now + (daemonIndex * reportOffsetMs)) % gossipMs === 0) {
				publishReport(daemon, now);
			}
		}

		for (const [kindIndex, kind] of kinds.entries()) {
			while (nextAt[kindIndex]! <= now) {
				nextAt[kindIndex]! -= Math.log(1 - random()) * 1000 / kind.perSecond;
				const daemon = daemons[Math.floor(random() * daemons.length)]!;
				placeCall(daemon, drawCall(kind, {
					index: index++, at: now, isHot: now >= simulation.durationMs / 2, random,
				}), now);
			}
		}

		for (const engine of engines) {
			stepEngine(engine, now);
		}
	}

	return {
		results, sharedTokens: tokens.shared, recomputedTokens: tokens.recomputed, pricedTokens: tokens.priced,
	};
};
