/** A daemon of a play: what it believes of the engines, what it tells the others, and where it sends a call. */
import {
	computeServiceSpeed, emptyPrefillRecord, defaultLatencyModel, updateFixedLatency, recordPrefill, type PrefillRecord, decayPrefillRecord, type LatencyModel, toPrefillSample,
} from '@shallotpass/core/placement/engine-latency.js';
import {recordPart, type KnownParts} from '@shallotpass/core/placement/known-parts.js';
import {countCachedTokens, findPreferredBackend, getAffinityHash} from '@shallotpass/core/placement/prompt-affinity.js';
import {computeOrderPosition} from '@shallotpass/core/placement/spread-choices.js';
import {type BackendView} from '@shallotpass/core/placement/types.js';
import {hashText} from '@shallotpass/core/routing/rank-by-rendezvous.js';
import {recordWork, computeWorkRate, type WorkRate} from '@shallotpass/core/engines/work-rate.js';
import {type PlayedCall} from './make-calls.js';
import {
	countedRanks, type ReportBoard, nothingTold, type ToldLoad,
} from './report-board.js';
import {type Policies} from './policies.js';
import {type VirtualEngine} from './virtual-engine.js';

/** What one daemon knows of one engine by itself. */
type Belief = {
	readonly engine: VirtualEngine;
	readonly incarnationHash: number;
	running: number;
	readonly pending: number[];
	reading: PrefillRecord;
	readonly prefixes: KnownParts;
};

export type VirtualDaemon = {
	readonly zone: string;
	/** Renews what is told. */
	readonly tell: (now: number) => void;
	readonly readWork: (now: number) => number;
	readonly getPace: () => LatencyModel;
	readonly countRunning: () => number;
	/** The engine that the call goes to; undefined when there is none. */
	readonly place: (call: PlayedCall, now: number) => Sent | undefined;
};

/** A call that was sent; to be told what comes of it. */
export type Sent = {
	readonly engine: VirtualEngine;
	readonly noteFirst: (now: number) => void;
	readonly noteEnd: () => void;
};

export type DaemonOptions = {
	readonly zone: string;
	readonly policies: Policies;
	readonly gossipMs: number;
	readonly places: number;
	/** Engines that the list of backend servers names now. */
	readonly listEngines: () => readonly VirtualEngine[];
	/** What all daemons told, this one's own part included. */
	readonly board: ReportBoard;
	readonly random: () => number;
};

export const startVirtualDaemon = (options: DaemonOptions): VirtualDaemon => {
	const {policies, zone} = options;
	const beliefs = new Map<string, Belief>();
	let told = nothingTold;
	let pace = defaultLatencyModel;
	let work: WorkRate | undefined;

	const getBelief = (engine: VirtualEngine): Belief => {
		const known = beliefs.get(engine.id);
		if (known !== undefined) {
			return known;
		}

		const belief: Belief = {
			engine, incarnationHash: hashText(engine.id), running: 0, pending: Array.from<number>({length: countedRanks}).fill(0), reading: emptyPrefillRecord, prefixes: new Map(),
		};
		beliefs.set(engine.id, belief);
		return belief;
	};

	const sumOthers = (id: string): ToldLoad => options.board.sumWithout(id, told);

	const learnServiceSpeed = (now: number): void => {
		const readings = options.listEngines().flatMap(engine => [decayPrefillRecord(getBelief(engine).reading, now), sumOthers(engine.id).reading]);
		pace = {...pace, tokensPerMs: computeServiceSpeed(readings)};
	};

	const noteSent = (belief: Belief, call: PlayedCall, reading: {readonly tokens: number; readonly workTokens: number; readonly now: number}): Sent => {
		const rank = Math.min(countedRanks - 1, call.kind.rank);
		belief.running++;
		belief.pending[rank]! += reading.tokens;
		for (const part of call.promptParts) {
			recordPart(belief.prefixes, part.id, reading.now);
		}

		let isPending = true;
		const endPending = (): void => {
			belief.pending[rank]! -= isPending ? reading.tokens : 0;
			isPending = false;
		};

		return {
			engine: belief.engine,
			noteFirst(now) {
				endPending();
				const event = {workTokens: reading.workTokens, tookMs: now - reading.now};
				const seen = toPrefillSample(event, pace);
				pace = updateFixedLatency(pace, event);
				if (seen !== undefined) {
					belief.reading = recordPrefill(belief.reading, seen, now);
				}
			},
			noteEnd() {
				endPending();
				belief.running--;
			},
		};
	};

	return {
		zone,
		tell(now) {
			const before = told;
			told = {
				loads: new Map([...beliefs].map(([id, {running, pending, reading}]) => [id, {running, pending: [...pending], reading: decayPrefillRecord(reading, now)}])),
				tokensPerSecond: work === undefined ? 0 : computeWorkRate(work, now),
			};
			options.board.replace(before, told);
			learnServiceSpeed(now);
		},
		readWork: now => work === undefined ? 0 : computeWorkRate(work, now),
		getPace: () => pace,
		countRunning: () => [...beliefs.values()].reduce((sum, {running}) => sum + running, 0),
		place(call, now) {
			const engines = options.listEngines();
			const known = engines.map(engine => getBelief(engine));
			const keyHash = getAffinityHash(call);
			const home = policies.hasHomes ? findPreferredBackend(keyHash, known) : undefined;
			const unseenMs = policies.computeUnseen({
				tokensPerSecond: options.board.getTokensPerSecond() - told.tokensPerSecond,
				gossipDelayMs: options.gossipMs,
				backends: engines.length,
				tokensPerMs: pace.tokensPerMs,
			});
			const others = new Map(known.map(({engine}) => [engine.id, sumOthers(engine.id)]));
			const cached = new Map(known.map(belief => [belief.engine.id, countCachedTokens(call.promptParts, {wasSent: partId => belief.prefixes.has(partId), isPreferred: belief === home})]));
			const views = known.map((belief): BackendView => {
				const {engine} = belief;
				const other = others.get(engine.id)!;
				return {
					id: engine.id,
					isInOtherZone: policies.isRemote(zone, engine.zone),
					places: options.places,
					isReclaimable: engine.isReclaimable,
					latencyModel: {...pace, tokensPerMs: policies.computeSpeed(decayPrefillRecord(belief.reading, now), other.reading, pace)},
					plainMs: 0,
					own: {running: belief.running, pendingTokens: belief.pending},
					others: {running: other.running, pendingTokens: other.pending},
					failureRate: 0,
					isAtConnectionLimit: false,
					cachedTokens: cached.get(engine.id) ?? 0,
					spreadPenaltyMs: unseenMs * computeOrderPosition(keyHash, belief.incarnationHash),
					silentMs: 0,
				};
			});
			const choice = policies.choose(views, {
				rank: call.kind.rank, promptTokens: call.promptTokens, isStream: true, isPinned: !call.kind.isResumable,
			}, options.random);
			if (choice === undefined) {
				return undefined;
			}

			const belief = beliefs.get(choice.id)!;
			const tokens = Math.max(0, call.promptTokens - (cached.get(choice.id) ?? 0));
			const {pending} = others.get(choice.id)!;
			const workTokens = tokens + [...belief.pending, ...pending].reduce((sum, waiting) => sum + waiting, 0);
			work = recordWork(work, tokens, now);
			return noteSent(belief, call, {tokens, workTokens, now});
		},
	};
};
