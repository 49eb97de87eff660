/**
 * Decides whether a plain call that has waited long is also sent to another backend server, while the first one still works on it.
 * Its machine may be slow at the moment, and the last reading of its speed is as old as its last response.
 */

export type HedgeQuestion = {
	/** `sentAt`, `targetAt` and `now` are times on the steady clock, in milliseconds. */
	readonly sentAt: number;
	readonly targetAt: number;
	readonly now: number;
	/** Predicted answer time of a call that is sent to its backend server now. */
	readonly currentMs: number;
	/** The same for the best other backend server. Undefined if there is none. */
	readonly alternativeMs: number | undefined;
};

export type HedgeDecision =
	| {readonly kind: 'repeat'}
	/** To be decided again at that time. */
	| {readonly kind: 'wait'; readonly until: number}
	/** A repeat would be late as well. */
	| {readonly kind: 'none'};

/** Share of the repeat limit that hedges may use. The rest is for calls whose backend server fails. */
export const hedgeShare = 0.5;

/** Most calls take less than this multiple of the predicted time. */
const usualSpread = 2;

/** Factor by which the other server may be predicted slower: predictions of equal servers differ by their running calls. One that is slower still would hardly finish earlier, as the call itself may be long. */
const toleratedSlownessFactor = 1.1;

/** A call hardly ever waits for longer than this multiple of the time that its server usually takes, so a longer wait shows that the server is slower than predicted. */
const overdueFactor = 3;

/** Share of the time left after which the next decision is due, and the least time until then. */
const nextDecisionShare = 0.125;
const minDecisionIntervalMs = 10;

/** With less time left, a repeat would be late as well. */
const minLeftMs = 10;

/** Returns when the call is going to miss its target at its backend server: a call is expected to take as long again as it has waited, at least the predicted time. */
export const computeMissTime = ({sentAt, targetAt, currentMs}: Pick<HedgeQuestion, 'sentAt' | 'targetAt' | 'currentMs'>): number =>
	Math.max(sentAt, Math.min((sentAt + targetAt) / 2, targetAt - currentMs));

export const decideHedge = (question: HedgeQuestion): HedgeDecision => {
	const {sentAt, targetAt, now, currentMs, alternativeMs} = question;
	const missTime = computeMissTime(question);
	if (now < missTime) {
		return {kind: 'wait', until: missTime};
	}

	const leftMs = targetAt - now;
	if (leftMs < minLeftMs) {
		return {kind: 'none'};
	}

	const paceMs = Math.max(currentMs, (now - sentAt) / overdueFactor);
	const isWorthwhile = alternativeMs !== undefined && alternativeMs <= paceMs * toleratedSlownessFactor && alternativeMs * usualSpread <= leftMs;
	return isWorthwhile ? {kind: 'repeat'} : {kind: 'wait', until: now + Math.max(minDecisionIntervalMs, leftMs * nextDecisionShare)};
};
