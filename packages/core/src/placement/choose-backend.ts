/**
 * Chooses the backend server with the lowest cost for a call: its predicted wait plus penalties for risks.
 *
 * Engines prefill prompts one chunk after another, so a call waits for all prompt tokens queued
 * before it. Tokens that are cached on the engine need no prefill.
 */
import {predictSlowedMs} from './current-speed.js';
import {type BackendView} from './types.js';

/** Properties of a call that determine the choice of its backend server. */
export type PlacementRequest = {
	/** 0 is the most urgent. */
	readonly rank: number;
	readonly promptTokens: number;
	readonly isStream: boolean;
	/** Whether the call fails if its backend server is lost, because it cannot continue on another one. */
	readonly isPinned: boolean;
	/** Time until the caller's objective, in milliseconds. Without it, engine time that other calls lose does not count. */
	readonly slackMs?: number;
	/** Rank of calls that yield. Undefined if none of the service do. */
	readonly yieldingRank?: number | undefined;
};

/**
 * Weight of the queued prompt tokens of calls with a lower priority. The call overtakes them, but
 * they share the engine's steps with it, and one of their chunks may be in progress.
 */
const lowerPriorityWeight = 0.25;

/** Delay that each running answer adds to a prefill, because every engine step also generates a token for it. */
const delayPerRunningAnswerMs = 0.6;

/** Time that a failed attempt costs a caller: the attempt itself and a second one. */
const failurePenaltyMs = 600;

/**
 * Additional wait that is accepted to keep a pinned stream off a backend server that may be
 * reclaimed at 2 s notice, because the stream cannot continue on another one.
 */
const pinnedOnReclaimablePenaltyMs = 60;

/**
 * Additional wait that is accepted to keep a call in its own zone. When a network partition cuts
 * off the zone, its calls to other zones are lost or late, and waiting does not show which.
 */
const otherZonePenaltyMs = 25;

/**
 * An unresponsive backend server may keep its connections open without answering. Its calls time
 * out late, and until then silence is the only sign. A long prefill explains silence up to
 * `maxNormalSilenceMs`; each millisecond beyond it counts as `silenceWeight` milliseconds of wait.
 */
export const maxNormalSilenceMs = 200;
const silenceWeight = 2;

/** Most tokens of yielding calls that count as a delay of another call. They queue for seconds, and it overtakes all but a chunk in progress. */
const maxYieldingTokens = 2000;

type RankedCall = Pick<PlacementRequest, 'rank' | 'yieldingRank'>;

/** Limits queued prompt tokens of a rank, if they are of yielding calls and the call does not yield. */
const limitYieldingTokens = (tokens: number, queuedRank: number, {rank, yieldingRank = Infinity}: RankedCall): number =>
	rank < yieldingRank && queuedRank >= yieldingRank ? Math.min(tokens, maxYieldingTokens) : tokens;

/** Counts the queued prompt tokens, indexed by rank, that an engine may prefill before the call. */
export const countTokensAhead = (pendingTokens: readonly number[], call: RankedCall): number =>
	pendingTokens.reduce((sum, tokens, queuedRank) => sum + limitYieldingTokens(tokens, queuedRank, call), 0);

/** Weighs queued prompt tokens of a rank by how much they delay the call. Tokens of less urgent calls count in part. */
const weighQueuedTokens = (tokens: number, queuedRank: number, call: PlacementRequest): number =>
	limitYieldingTokens(queuedRank <= call.rank ? tokens : tokens * lowerPriorityWeight, queuedRank, call);

/** Counts the queued prompt tokens, indexed by rank, that delay the call. Uses `reduce`, as a loop over `entries()` took more than half of the time of a choice among 500 backend servers. */
const countQueuedTokens = (pendingTokens: readonly number[], call: PlacementRequest): number =>
	pendingTokens.reduce((sum, tokens, queuedRank) => sum + weighQueuedTokens(tokens, queuedRank, call), 0);

/** Predicts the time to the first event of a stream that is sent to the backend server now, in milliseconds. */
export const predictFirstEvent = (view: BackendView, call: PlacementRequest): number => {
	const queuedTokens = countQueuedTokens(view.own.pendingTokens, call) + countQueuedTokens(view.others.pendingTokens, call);
	const uncachedTokens = Math.max(0, call.promptTokens - view.cachedTokens);
	const running = view.own.running + view.others.running;
	const slotWaitMs = Math.max(0, running + 1 - view.places) * meanSlotReleaseMs;
	const usualMs = ((queuedTokens + uncachedTokens) / view.latencyModel.tokensPerMs) + view.latencyModel.fixedMs + (running * delayPerRunningAnswerMs) + slotWaitMs;
	return predictSlowedMs(usualMs, view.currentSlowness);
};

/** Mean time until a slot becomes free on an engine whose slots are all in use. */
const meanSlotReleaseMs = 30;

/** Predicts the time to the answer of a plain (non-streaming) call, in milliseconds. */
export const predictPlainAnswer = (view: Pick<BackendView, 'own' | 'others' | 'places' | 'plainMs' | 'currentSlowness'>): number => {
	const running = view.own.running + view.others.running;
	const callsOverCapacity = Math.max(0, running + 1 - view.places);
	return predictSlowedMs(view.plainMs * (1 + (callsOverCapacity / view.places) + (running / (4 * view.places))), view.currentSlowness);
};

export const predictWait = (view: BackendView, call: PlacementRequest): number => call.isStream ? predictFirstEvent(view, call) : predictPlainAnswer(view);

/**
 * Computes the engine time that other calls lose if this one is sent there. It counts only as far as the call is still
 * on time, so that no call is late at a server that has its prompt cached if it would be on time at another one.
 */
const computeLostEngineMs = (view: BackendView, {slackMs}: PlacementRequest, waitMs: number): number =>
	Math.min(view.lostEngineMs ?? 0, Math.max(0, (slackMs ?? 0) - waitMs));

/** Computes the cost of sending the call to the backend server: the predicted wait, engine time that other calls lose, and penalties, in milliseconds. */
export const computeCost = (view: BackendView, call: PlacementRequest): number => {
	const reclaimPenaltyMs = call.isPinned && call.isStream && view.isReclaimable ? pinnedOnReclaimablePenaltyMs : 0;
	const silencePenaltyMs = Math.max(0, view.silentMs - maxNormalSilenceMs) * silenceWeight;
	const zonePenaltyMs = view.isInOtherZone ? otherZonePenaltyMs : 0;
	const waitMs = predictWait(view, call);
	return waitMs + computeLostEngineMs(view, call, waitMs) + (view.failureRate * failurePenaltyMs) + reclaimPenaltyMs + zonePenaltyMs + silencePenaltyMs + view.spreadPenaltyMs - view.limitPreferenceMs;
};

/** The chosen backend server with its predicted wait and cost. */
export type Choice = {
	readonly id: string;
	readonly predictedMs: number;
	readonly cost: number;
};

/**
 * Returns the backend server with the lowest cost, or undefined if all are at their connection
 * limit. Random noise of up to 2% of the cost makes daemons choose differently among near-equal ones.
 */
export const chooseBackend = (views: Iterable<BackendView>, call: PlacementRequest, random: () => number): Choice | undefined => {
	let best: Choice | undefined;
	for (const view of views) {
		if (view.isAtConnectionLimit) {
			continue;
		}

		const cost = computeCost(view, call) * (1 + (0.02 * random()));
		if (best === undefined || cost < best.cost) {
			best = {id: view.id, predictedMs: predictWait(view, call), cost};
		}
	}

	return best;
};
