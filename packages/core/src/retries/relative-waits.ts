/**
 * Compares how long a call waits at its backend server with how long others took meanwhile. A long wait alone is no sign of a
 * fault: all backend servers may be as slow, and a call that is given up would wait as long at the next one.
 */

/** What a call waits for: the head of its answer, the first event of a stream or the end of a plain answer, or the next event. */
export type WaitStage = 'head' | 'content' | 'gap';

/** The last wait at a backend server that came to its end. */
export type EndedWait = {
	/** When it ended, on the steady clock. */
	readonly at: number;
	readonly tookMs: number;
	/** How many times longer than predicted it took. */
	readonly slowness: number;
};

export type EndedWaits = Partial<Record<WaitStage, EndedWait>>;

export type CurrentWait = {
	/** When it began, on the steady clock. */
	readonly since: number;
	readonly predictedMs: number;
};

/** Predictions below this are no more exact than it. Pauses between events are not predicted, and count as this. */
export const leastPredictedMs = 30;

/** Factor that is beyond what chance and inexact predictions explain. */
const clearFactor = 2;

const computeSlowness = (tookMs: number, predictedMs: number): number => tookMs / Math.max(leastPredictedMs, predictedMs);

export const makeEndedWait = ({since, predictedMs}: CurrentWait, now: number): EndedWait => ({at: now, tookMs: now - since, slowness: computeSlowness(now - since, predictedMs)});

/** What another backend server that could take the call does. */
export type OtherWaits = {
	/** Its last wait that ended. */
	readonly ended: EndedWait | undefined;
	/** How long a call has been waiting there, in milliseconds. 0 if none is. */
	readonly waitingMs: number;
};

/**
 * How a wait compares with those at the other backend servers. `overtaken`: one of them has answered meanwhile, clearly faster, and still would
 * in time. `alike`: they take about as long, or there is no other. `unusual`: nothing is known of this moment, and one of them
 * was clearly faster before. `unknown`: nothing is known at all.
 */
export type WaitFinding = 'overtaken' | 'alike' | 'unusual' | 'unknown';

export type WaitComparison = {
	readonly wait: CurrentWait;
	readonly others: readonly OtherWaits[];
	/** Until when the answer is of use, on the steady clock. */
	readonly usefulUntil: number;
	readonly now: number;
};

/** Whether a wait that has ended was clearly shorter, also in relation to what was predicted: prompts differ in length, and predictions change. */
const isClearlyShorter = (ended: EndedWait, {since, predictedMs}: CurrentWait, now: number): boolean =>
	ended.tookMs * clearFactor <= now - since && ended.slowness * clearFactor <= computeSlowness(now - since, predictedMs);

export const judgeWait = ({wait, others, usefulUntil, now}: WaitComparison): WaitFinding => {
	const ended = others.map(other => other.ended).filter(other => other !== undefined);
	const hasEndedSince = ({at}: EndedWait): boolean => at >= wait.since;
	const quicker = ended.filter(other => isClearlyShorter(other, wait, now) && other.slowness * Math.max(leastPredictedMs, wait.predictedMs) <= usefulUntil - now);
	if (quicker.some(other => hasEndedSince(other))) {
		return 'overtaken';
	}

	const isAnyAsSlow = others.some(({waitingMs}) => waitingMs * clearFactor >= now - wait.since);
	if (others.length === 0 || isAnyAsSlow || ended.some(other => hasEndedSince(other))) {
		return 'alike';
	}

	return quicker.length > 0 ? 'unusual' : 'unknown';
};

/** Whether the pause within a stream is beyond what is usual at the other backend servers. Unknown pauses are not usual. */
export const isUnusualPause = (pause: CurrentWait, others: ReadonlyArray<EndedWait | undefined>, now: number): boolean => {
	const known = others.filter(other => other !== undefined);
	return known.length === 0 || known.some(other => isClearlyShorter(other, pause, now));
};
