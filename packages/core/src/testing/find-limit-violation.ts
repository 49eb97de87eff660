/** Checks from the side of a backend server that it gets no more calls than the limits that it states allow. */

export type StatedSpan = {
	/** Calls per second that it takes from all daemons together. */
	readonly perSecond: number;
	/** Moments on one clock, in milliseconds. */
	readonly from: number;
	readonly until: number;
};

export type LimitedCall = {
	readonly at: number;
	/** The daemon that sent it. */
	readonly daemon: string;
};

export type LimitHistory = {
	/** Spans in which it stated a limit, in order. */
	readonly spans: readonly StatedSpan[];
	/** Calls that reached it, in order. */
	readonly calls: readonly LimitedCall[];
	/** Whether a call is excused by a fault of its daemon. */
	readonly isExcused?: (call: LimitedCall) => boolean;
};

const windowMs = 4000;

/** Time after the first statement from which the bound holds. */
const settlingMs = 3000;

/** Time after an answer until its daemon counts as told. */
const toldAfterMs = 500;

/** Time for which a lowered limit may not be known yet. Where no limit is stated, any number is allowed. */
const propagationMs = 1000;

const allowedFactor = 1.5;
const allowedSlack = 5;

const stepMs = 50;

/** Returns the calls that the limits allow within the window that ends at `end`, without factor and slack. */
const sumAllowed = (spans: readonly StatedSpan[], end: number): number => {
	let allowed = 0;
	for (let at = end - windowMs; at < end; at += stepMs) {
		const isStated = spans.some(({from, until}) => from <= at && at < until);
		const rates = spans.filter(({from, until}) => from <= at && at < until + propagationMs).map(({perSecond}) => perSecond);
		allowed += (isStated ? Math.max(...rates) : Infinity) * stepMs / 1000;
	}

	return allowed;
};

/** Returns when each daemon got its first answer that stated a limit within the spans that touch each other. */
const findToldTimes = ({spans, calls}: LimitHistory): Map<string, number> => {
	const told = new Map<string, number>();
	for (const {at, daemon} of calls) {
		if (!told.has(daemon) && spans.some(({from, until}) => from <= at && at < until)) {
			told.set(daemon, at);
		}
	}

	return told;
};

export type LimitViolation = {
	readonly at: number;
	readonly calls: number;
	readonly allowed: number;
};

/** Returns the worst window in which the told daemons sent more than is allowed, or undefined. */
export const findLimitViolation = (history: LimitHistory): LimitViolation | undefined => {
	const [first] = history.spans;
	if (first === undefined) {
		return undefined;
	}

	const told = findToldTimes(history);
	const counted = history.calls.filter(call => call.at >= (told.get(call.daemon) ?? Infinity) + toldAfterMs && history.isExcused?.(call) !== true);
	let worst: LimitViolation | undefined;
	let start = 0;
	for (const [index, {at}] of counted.entries()) {
		while (counted[start]!.at <= at - windowMs) {
			start++;
		}

		const calls = index - start + 1;
		if (at < first.from + settlingMs || calls <= allowedSlack) {
			continue;
		}

		const allowed = (allowedFactor * sumAllowed(history.spans, at)) + allowedSlack;
		if (calls > allowed && calls - allowed > (worst === undefined ? 0 : worst.calls - worst.allowed)) {
			worst = {at, calls, allowed};
		}
	}

	return worst;
};
