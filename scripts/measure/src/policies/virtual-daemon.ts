/** Simulated daemon: tracks the load of the engines, reports it to the other daemons and chooses an engine for each call. */
import {
	computeServiceSpeed, emptyPrefillRecord, defaultLatencyModel, updateFixedLatency, recordPrefill, type PrefillRecord, decayPrefillRecord, type LatencyModel, toPrefillSample,
} from '@shallotpass/core/placement/engine-latency.js';
import {estimatePrefixCaches} from '@shallotpass/core/placement/estimate-prefix-caches.js';
import {makeKnownParts, type KnownParts} from '@shallotpass/core/placement/known-parts.js';
import {type PartUses} from '@shallotpass/core/placement/part-uses.js';
import {getAffinityHash} from '@shallotpass/core/placement/prompt-affinity.js';
import {recordPromptParts} from '@shallotpass/core/placement/record-prompt-parts.js';
import {computeOrderPosition} from '@shallotpass/core/placement/spread-choices.js';
import {type BackendView} from '@shallotpass/core/placement/types.js';
import {hashText} from '@shallotpass/core/routing/rank-by-rendezvous.js';
import {recordWork, computeWorkRate, type WorkRate} from '@shallotpass/core/engines/work-rate.js';
import {type SimulatedCall} from './make-calls.js';
import {
	rankCount, type ReportTotals, emptyReport, type ReportedLoad,
} from './report-totals.js';
import {type Policies} from './policies.js';
import {type VirtualEngine} from './virtual-engine.js';

/** What a daemon knows about an engine from the calls that it sent there. */
type EngineState = {
	readonly engine: VirtualEngine;
	readonly incarnationHash: number;
	running: number;
	/** Prompt tokens of the running calls. */
	runningTokens: number;
	/** Prompt tokens that the engine has not processed yet, by rank. */
	readonly pendingTokens: number[];
	/** Measured prompt processing speed. */
	prefill: PrefillRecord;
	/** Prompt parts that were sent to the engine and may be cached there. */
	readonly knownParts: KnownParts;
};

export type VirtualDaemon = {
	readonly zone: string;
	/** Replaces this daemon's report with its current load. */
	readonly publishReport: (now: number) => void;
	/** Returns the prompt tokens per second that this daemon sends to engines. */
	readonly getWorkRate: (now: number) => number;
	readonly getLatencyModel: () => LatencyModel;
	readonly countRunning: () => number;
	/** Counts the prompt tokens of calls that wait for their first event. */
	readonly countPendingTokens: () => number;
	/** Chooses an engine for the call and counts the call there; undefined if no engine is available. */
	readonly placeCall: (call: SimulatedCall, now: number) => SentCall | undefined;
};

/** A call that was sent to an engine. The caller of `placeCall` records its progress here. */
export type SentCall = {
	readonly engine: VirtualEngine;
	readonly recordFirstEvent: (now: number) => void;
	readonly recordEnd: () => void;
};

export type DaemonOptions = {
	readonly zone: string;
	readonly policies: Policies;
	readonly gossipMs: number;
	readonly places: number;
	readonly cacheTokens: number;
	readonly countDaemons: () => number;
	/** Returns the engines that accept calls. */
	readonly listEngines: () => readonly VirtualEngine[];
	/** Totals of all daemons' reports, including this daemon's own. */
	readonly reportTotals: ReportTotals;
	readonly random: () => number;
};

export const startVirtualDaemon = (options: DaemonOptions): VirtualDaemon => {
	const {policies, zone} = options;
	const engineStates = new Map<string, EngineState>();
	const partUses: PartUses = new Map();
	let ownReport = emptyReport;
	let latencyModel = defaultLatencyModel;
	let workRate: WorkRate | undefined;

	const getEngineState = (engine: VirtualEngine): EngineState => {
		const existing = engineStates.get(engine.id);
		if (existing !== undefined) {
			return existing;
		}

		const state: EngineState = {
			engine, incarnationHash: hashText(engine.id), running: 0, runningTokens: 0, knownParts: makeKnownParts(),
			pendingTokens: Array.from<number>({length: rankCount}).fill(0), prefill: emptyPrefillRecord,
		};
		engineStates.set(engine.id, state);
		return state;
	};

	const getOthersLoad = (id: string): ReportedLoad => options.reportTotals.sumExcluding(id, ownReport);

	/** Updates the mean speed of the service from the samples of all daemons. */
	const updateServiceSpeed = (now: number): void => {
		const records = options.listEngines().flatMap(engine => [decayPrefillRecord(getEngineState(engine).prefill, now), getOthersLoad(engine.id).prefill]);
		latencyModel = {...latencyModel, tokensPerMs: computeServiceSpeed(records)};
	};

	/** Counts a call at its engine. `tokens` are the call's prompt tokens that are not cached, `workTokens` also those queued before it. */
	const recordSent = (engineState: EngineState, call: SimulatedCall, prompt: {readonly tokens: number; readonly workTokens: number; readonly now: number}): SentCall => {
		const rank = Math.min(rankCount - 1, call.kind.rank);
		engineState.running++;
		engineState.runningTokens += call.promptTokens;
		engineState.pendingTokens[rank]! += prompt.tokens;
		recordPromptParts(call.promptParts, {knownParts: engineState.knownParts, partUses}, {now: prompt.now, cacheTokens: options.cacheTokens});

		let hasPending = true;
		const removePending = (): void => {
			engineState.pendingTokens[rank]! -= hasPending ? prompt.tokens : 0;
			hasPending = false;
		};

		return {
			engine: engineState.engine,
			recordFirstEvent(now) {
				removePending();
				const event = {workTokens: prompt.workTokens, tookMs: now - prompt.now};
				const sample = toPrefillSample(event, latencyModel);
				latencyModel = updateFixedLatency(latencyModel, event);
				if (sample !== undefined) {
					engineState.prefill = recordPrefill(engineState.prefill, sample, now);
				}
			},
			recordEnd() {
				removePending();
				engineState.running--;
				engineState.runningTokens -= call.promptTokens;
			},
		};
	};

	return {
		zone,
		publishReport(now) {
			const previousReport = ownReport;
			ownReport = {
				loads: new Map([...engineStates].map(([id, {running, pendingTokens, prefill}]) => [id, {running, pendingTokens: [...pendingTokens], prefill: decayPrefillRecord(prefill, now)}])),
				tokensPerSecond: computeWorkRate(workRate, now),
			};
			options.reportTotals.replace(previousReport, ownReport);
			updateServiceSpeed(now);
		},
		getWorkRate: now => computeWorkRate(workRate, now),
		getLatencyModel: () => latencyModel,
		countPendingTokens: () => [...engineStates.values()].flatMap(({pendingTokens}) => pendingTokens).reduce((sum, tokens) => sum + tokens, 0),
		countRunning: () => [...engineStates.values()].reduce((sum, {running}) => sum + running, 0),
		placeCall(call, now) {
			const engines = options.listEngines();
			const states = engines.map(engine => getEngineState(engine));
			const keyHash = getAffinityHash(call);
			const unreportedMs = policies.computeUnreportedWorkMs({
				tokensPerSecond: options.reportTotals.getTokensPerSecond() - ownReport.tokensPerSecond,
				gossipDelayMs: options.gossipMs,
				backends: engines.length,
				tokensPerMs: latencyModel.tokensPerMs,
			});
			const othersLoads = new Map(states.map(({engine}) => [engine.id, getOthersLoad(engine.id)]));
			const speeds = new Map(states.map(state => [state, policies.computeSpeed(decayPrefillRecord(state.prefill, now), othersLoads.get(state.engine.id)!.prefill, latencyModel)]));
			const ownTokensPerSecond = computeWorkRate(workRate, now);
			const caches = estimatePrefixCaches(call, states.map(state => ({...state, othersRunning: othersLoads.get(state.engine.id)!.running})), {
				service: {
					partUses, cacheTokens: options.cacheTokens, tokensPerMs: latencyModel.tokensPerMs, daemons: options.countDaemons(),
					inflowPerMs: (ownTokensPerSecond + options.reportTotals.getTokensPerSecond() - ownReport.tokensPerSecond) / 1000 / Math.max(1, engines.length),
				},
				keyHash,
				speeds: states.map(state => speeds.get(state)!),
				getCondition: () => ({places: options.places, joinedAt: policies.hasPreferredBackends ? Number.NEGATIVE_INFINITY : now, reliability: 1}),
				now,
			});
			const cacheById = new Map(states.map(({engine}, index) => [engine.id, caches[index]!]));
			const views = states.map((state): BackendView => {
				const {engine} = state;
				const other = othersLoads.get(engine.id)!;
				return {
					id: engine.id,
					isInOtherZone: policies.isInOtherZone(zone, engine.zone),
					places: options.places,
					isReclaimable: engine.isReclaimable,
					latencyModel: {...latencyModel, tokensPerMs: speeds.get(state)!},
					plainMs: 0,
					own: {running: state.running, pendingTokens: state.pendingTokens},
					others: {running: other.running, pendingTokens: other.pendingTokens},
					failureRate: 0,
					isAtConnectionLimit: false,
					cachedTokens: cacheById.get(engine.id)!.cachedTokens,
					lostEngineMs: cacheById.get(engine.id)!.lostEngineMs ?? 0,
					spreadPenaltyMs: unreportedMs * computeOrderPosition(keyHash, state.incarnationHash),
					limitPreferenceMs: 0,
					silentMs: 0,
				};
			});
			const choice = policies.choose(views, {
				rank: call.kind.rank, promptTokens: call.promptTokens, isStream: true, isPinned: !call.kind.isResumable, slackMs: call.at + call.kind.firstMs - now,
			}, options.random);
			if (choice === undefined) {
				return undefined;
			}

			const chosen = engineStates.get(choice.id)!;
			const tokens = Math.max(0, call.promptTokens - cacheById.get(choice.id)!.cachedTokens);
			const {pendingTokens: othersPendingTokens} = othersLoads.get(choice.id)!;
			const workTokens = tokens + [...chosen.pendingTokens, ...othersPendingTokens].reduce((sum, count) => sum + count, 0);
			workRate = recordWork(workRate, call.promptTokens, now);
			return recordSent(chosen, call, {tokens, workTokens, now});
		},
	};
};
