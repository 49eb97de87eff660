/** Judges from the side of the backend servers how far calls were repeated, against the limit of all daemons. */

export type RepeatHistory = {
	/** When callers sent each call, in order, on one clock. */
	readonly calls: readonly number[];
	/** When each further arrival of a call reached a backend server, in order. */
	readonly repeats: readonly number[];
	readonly ratio: number;
	readonly slack: number;
	readonly windowMs: number;
	/** When the record ends. Windows that reach beyond it are not judged. */
	readonly until?: number;
};

export type RepeatWindow = {
	readonly from: number;
	readonly repeats: number;
	readonly allowed: number;
};

/** Returns how many of the sorted moments lie before `end`. */
const countBefore = (moments: readonly number[], end: number): number => {
	let low = 0;
	let high = moments.length;
	while (low < high) {
		const middle = Math.floor((low + high) / 2);
		if (moments[middle]! < end) {
			low = middle + 1;
		} else {
			high = middle;
		}
	}

	return low;
};

const countWithin = (moments: readonly number[], from: number, windowMs: number): number => countBefore(moments, from + windowMs) - countBefore(moments, from);

/** Calls count in the window, the one before it or the one half a window before it, whichever has most. */
const windowsBefore = [0, 0.5, 1] as const;

/** Finds the window with the largest part of what is allowed. */
export const findWorstWindow = ({calls, repeats, ratio, slack, windowMs, until = Infinity}: RepeatHistory): RepeatWindow => {
	let worst: RepeatWindow = {from: 0, repeats: 0, allowed: slack};
	for (const from of repeats.filter(at => at + windowMs <= until)) {
		const mostCalls = Math.max(...windowsBefore.map(windows => countWithin(calls, from - (windows * windowMs), windowMs)));
		const window = {from, repeats: countWithin(repeats, from, windowMs), allowed: (ratio * mostCalls) + slack};
		if (window.repeats * worst.allowed > worst.repeats * window.allowed) {
			worst = window;
		}
	}

	return worst;
};

/** Arrival of a call at a backend server. */
export type CallArrival = {
	readonly id: string;
	readonly at: number;
};

/** Returns when each arrival but the first of its call came, in order. */
export const listRepeats = (arrivals: readonly CallArrival[]): number[] => {
	const seen = new Set<string>();
	const repeats: number[] = [];
	for (const {id, at} of arrivals.toSorted((left, right) => left.at - right.at)) {
		if (seen.has(id)) {
			repeats.push(at);
		}

		seen.add(id);
	}

	return repeats;
};
