/** Simulates daemons that send streams of skewed prompt sizes to shared engines, in virtual time: queues by rank, outdated reports, slow moments. */
import {type PlacementRequest, chooseBackend} from '../placement/choose-backend.js';
import {type BackendView} from '../placement/types.js';
import {smoothReportedTokens} from '../placement/smooth-reports.js';
import {computeOrderPosition, computeUnreportedMs} from '../placement/spread-choices.js';
import {hashText} from '../routing/rank-by-rendezvous.js';

export type SimulatedKind = {
	readonly name: string;
	readonly rank: number;
	/** Calls per second at a moment. */
	readonly getRate: (now: number) => number;
	readonly meanTokens: number;
	readonly maxTokens: number;
	/** Time to the first event within which a call is on time, and after which its caller leaves. */
	readonly targetMs: number;
	readonly limitMs: number;
};

export type SimulatedCall = {
	readonly kind: SimulatedKind;
	readonly account: string;
	readonly tokens: number;
	readonly arrivedAt: number;
	/** When its first event came. Undefined if it was refused or its deadline passed. */
	firstEventAt: number | undefined;
	wasRefused: boolean;
};

export type SimulatedView = BackendView & {readonly incarnationHash: number};

/** What a policy knows of a call and of the daemon that places it. */
export type PolicyInput = {
	readonly daemon: number;
	readonly call: SimulatedCall;
	readonly request: PlacementRequest;
	readonly views: readonly SimulatedView[];
	readonly now: number;
	/** Prompt tokens per second of all daemons. */
	readonly tokensPerSecond: number;
};

export type Policy = {
	/** Weight of the pending tokens in other daemons' reports, from 0 to 1. */
	readonly reportWeight: number;
	/** Further properties of requests. */
	readonly request?: Partial<PlacementRequest>;
	/** Returns further penalties of the engines, in milliseconds. */
	readonly computePenalties: (input: PolicyInput) => readonly number[];
	/** Returns the rank with which the call is sent, given the predicted time to its first event with the rank of `request`. Undefined if it is refused. */
	readonly decideRank: (input: PolicyInput, predictedMs: number) => number | undefined;
};

export type MixedSizes = {
	readonly daemons: number;
	readonly engines: number;
	readonly kinds: readonly SimulatedKind[];
	/** Weights of client accounts at a moment, by name. */
	readonly getAccountWeights: (now: number) => Readonly<Record<string, number>>;
	/** Bounds of the age of reports, in milliseconds. */
	readonly reportAgesMs: readonly [number, number];
	readonly durationMs: number;
	readonly random: () => number;
	readonly policy: Policy;
};

const meanTokensPerMs = 61.8;
const engineSpeeds = [0.7, 0.7, 1.7];
const fixedMs = 12;

/** Slow moments: work takes this many times as long on a share of the machines, which is drawn anew at each interval. */
const slowFactor = 2.5;
const slowShare = 0.15;
const slowIntervalMs = 600;
const meanSlowness = 1 + ((slowFactor - 1) * slowShare);

const trackedRanks = 3;

/** Interval of the snapshots of the pending tokens, from which reports of any age are taken. */
const snapshotMs = 20;

/** Offset between the reports of one daemon and the next, which spreads them over the interval. */
const reportOffsetMs = 37;

/** Standard deviation of the logarithm of the sizes: the largest is eight times the mean. */
const sizeDeviation = 1;

type Engine = {
	readonly view: SimulatedView;
	readonly speed: number;
	slowness: number;
	readonly queues: Array<Array<{readonly call: SimulatedCall; readonly daemon: number; remaining: number}>>;
};

/** Draws a size from a logarithmic normal distribution. */
const drawTokens = ({meanTokens, maxTokens}: SimulatedKind, random: () => number): number => {
	const normal = Math.sqrt(-2 * Math.log(1 - random())) * Math.cos(2 * Math.PI * random());
	return Math.round(Math.min(maxTokens, meanTokens * Math.exp((normal * sizeDeviation) - ((sizeDeviation ** 2) / 2))));
};

const drawAccount = (weights: Readonly<Record<string, number>>, random: () => number): string => {
	let remaining = random() * Object.values(weights).reduce((sum, weight) => sum + weight, 0);
	for (const [name, weight] of Object.entries(weights)) {
		remaining -= weight;
		if (remaining < 0) {
			return name;
		}
	}

	return '';
};

/** Returns the calls that arrived, in order. */
export const simulateMixedSizes = ({daemons, engines: engineCount, kinds, getAccountWeights, reportAgesMs, durationMs, random, policy}: MixedSizes): SimulatedCall[] => {
	const engines: Engine[] = Array.from({length: engineCount}, (_, index) => {
		const speed = meanTokensPerMs * engineSpeeds[index % engineSpeeds.length]!;
		const id = `engine-${index}`;
		return {
			speed, slowness: 1, queues: Array.from({length: trackedRanks}, () => []), view: {
				id, incarnationHash: hashText(id), isInOtherZone: false, places: 64, isReclaimable: true, latencyModel: {tokensPerMs: speed / meanSlowness, fixedMs}, plainMs: 0,
				own: {running: 0, pendingTokens: []}, others: {running: 0, pendingTokens: []},
				failureRate: 0, isAtConnectionLimit: false, cachedTokens: 0, spreadPenaltyMs: 0, limitPreferenceMs: 0, silentMs: 0,
			},
		};
	});
	const cellCount = daemons * engineCount * trackedRanks;
	const getCell = (daemon: number, engine: number, rank: number): number => (((daemon * engineCount) + engine) * trackedRanks) + rank;
	const pending = new Float64Array(cellCount);
	const sums = new Float64Array(engineCount * trackedRanks);
	const snapshots: Array<{readonly pending: Float64Array; readonly sums: Float64Array}> = [];
	const calls: SimulatedCall[] = [];
	const [minAgeMs, maxAgeMs] = reportAgesMs;

	const place = (call: SimulatedCall, daemon: number, now: number): void => {
		// Reports come in an interval of their own for each daemon, and their age grows until the next one.
		const ageMs = minAgeMs + ((now + (daemon * reportOffsetMs)) % (maxAgeMs - minAgeMs));
		const snapshot = snapshots.at(-1 - Math.round(ageMs / snapshotMs));
		const tokensPerSecond = kinds.reduce((sum, {getRate, meanTokens}) => sum + (getRate(now) * meanTokens), 0);
		const unreportedMs = computeUnreportedMs({
			tokensPerSecond, gossipDelayMs: maxAgeMs, backends: engineCount, tokensPerMs: meanTokensPerMs / meanSlowness,
		});
		const keyHash = hashText(String(random()));
		const getReported = (engine: number, index: number): number =>
			snapshot === undefined ? 0 : snapshot.sums[(engine * trackedRanks) + index]! - snapshot.pending[getCell(daemon, engine, index)]!;
		const reported = smoothReportedTokens(engines.map(({view}, engine) => ({
			tokensPerMs: view.latencyModel.tokensPerMs,
			pendingTokens: Array.from({length: trackedRanks}, (_, index) => getReported(engine, index)),
		})), policy.reportWeight);
		const views = engines.map(({view}, engine) => ({
			...view,
			own: {running: 0, pendingTokens: [...pending.subarray(getCell(daemon, engine, 0), getCell(daemon, engine, 0) + trackedRanks)]},
			others: {running: 0, pendingTokens: reported[engine]!},
			spreadPenaltyMs: unreportedMs * computeOrderPosition(keyHash, view.incarnationHash),
		}));
		const tryRank = (rank: number): {readonly rank: number | undefined; readonly id: string} => {
			const request = {
				rank, promptTokens: call.tokens, isStream: true, isPinned: false, ...policy.request,
			};
			const input = {
				daemon, call, request, views, now, tokensPerSecond,
			};
			const penalties = policy.computePenalties(input);
			const {id, predictedMs} = chooseBackend(views.map((view, index) => ({...view, spreadPenaltyMs: view.spreadPenaltyMs + (penalties[index] ?? 0)})), request, random)!;
			const decided = policy.decideRank(input, predictedMs);
			return decided === undefined || decided === rank ? {rank: decided, id} : tryRank(decided);
		};

		const {rank, id} = tryRank(call.kind.rank);
		if (rank === undefined) {
			call.wasRefused = true;
			return;
		}

		const engine = engines.findIndex(({view}) => view.id === id);
		engines[engine]!.queues[rank]!.push({call, daemon, remaining: call.tokens});
		pending[getCell(daemon, engine, rank)]! += call.tokens;
		sums[(engine * trackedRanks) + rank]! += call.tokens;
	};

	const runEngine = ({queues, speed, slowness}: Engine, engine: number, now: number): void => {
		let tokens = speed / slowness;
		for (const [rank, queue] of queues.entries()) {
			while (tokens > 0 && queue.length > 0) {
				const first = queue[0]!;
				const {call, daemon} = first;
				const isOver = now > call.arrivedAt + call.kind.limitMs;
				const taken = isOver ? 0 : Math.min(tokens, first.remaining);
				tokens -= taken;
				first.remaining -= taken;
				if (!isOver && first.remaining > 0) {
					return;
				}

				queue.shift();
				call.firstEventAt = isOver ? undefined : now + fixedMs;
				pending[getCell(daemon, engine, rank)]! -= call.tokens;
				sums[(engine * trackedRanks) + rank]! -= call.tokens;
			}
		}
	};

	for (let now = 0; now < durationMs; now++) {
		if (now % snapshotMs === 0) {
			snapshots.push({pending: Float64Array.from(pending), sums: Float64Array.from(sums)});
			if (snapshots.length > (maxAgeMs / snapshotMs) + 2) {
				snapshots.shift();
			}
		}

		if (now % slowIntervalMs === 0) {
			for (const engine of engines) {
				engine.slowness = random() < slowShare ? slowFactor : 1;
			}
		}

		for (const kind of kinds) {
			if (random() < kind.getRate(now) / 1000) {
				const call: SimulatedCall = {
					kind, account: drawAccount(getAccountWeights(now), random), tokens: drawTokens(kind, random), arrivedAt: now, firstEventAt: undefined, wasRefused: false,
				};
				calls.push(call);
				place(call, Math.floor(random() * daemons), now);
			}
		}

		for (const [index, engine] of engines.entries()) {
			runEngine(engine, index, now);
		}
	}

	return calls.filter(({arrivedAt, kind}) => arrivedAt < durationMs - kind.limitMs);
};

export const isOnTime = ({arrivedAt, firstEventAt, kind}: SimulatedCall): boolean => firstEventAt !== undefined && firstEventAt <= arrivedAt + kind.targetMs;

/** Computes the share of the calls that were on time. */
export const computeShareOnTime = (calls: readonly SimulatedCall[]): number => calls.filter(call => isOnTime(call)).length / Math.max(1, calls.length);

/** Returns the calls between the shares `from` and `to` in the order of size, from the largest on. */
export const pickLargest = (calls: readonly SimulatedCall[], from: number, to: number): SimulatedCall[] =>
	calls.toSorted((left, right) => right.tokens - left.tokens).slice(Math.floor(calls.length * from), Math.floor(calls.length * to));

