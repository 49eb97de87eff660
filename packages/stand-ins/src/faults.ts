/** Faults that tests inject into stand-ins. */

export type Fault = {
	/** Operation of the stand-in that the fault affects. */
	readonly on: string;
	/**
	 * `delay` responds late, `lose_reply` performs the operation and closes the connection without a
	 * response, `refuse` responds with 503 and does not perform the operation, `silent` never responds,
	 * `pause` sends nothing for a while in the middle of a stream, or before another response, and goes on,
	 * `break` sends an unreadable response, `mismatch` responds with the id of another request, and `cut`
	 * aborts the response in the middle.
	 */
	readonly kind: 'delay' | 'lose_reply' | 'refuse' | 'silent' | 'pause' | 'break' | 'mismatch' | 'cut';
	/** Number of times that the fault applies. Unlimited by default. */
	readonly times?: number;
	readonly delayMs?: number;
	/** Number of token chunks that a stream sends before the fault takes effect. */
	readonly afterChunks?: number;
};

export type FaultTable = {
	readonly add: (fault: Fault) => void;
	/** Removes the faults of an operation, or all faults by default. */
	readonly clear: (on?: string) => void;
	/** Returns the fault that applies to the current call of the operation, if any, and counts it as used. */
	readonly take: (on: string) => Fault | undefined;
	/** Counts the faults that still apply to the operation. */
	readonly count: (on: string) => number;
};

export const makeFaultTable = (): FaultTable => {
	let faults: Array<{fault: Fault; left: number}> = [];
	return {
		add(fault) {
			faults.push({fault, left: fault.times ?? Number.POSITIVE_INFINITY});
		},
		clear(on) {
			faults = on === undefined ? [] : faults.filter(entry => entry.fault.on !== on);
		},
		take(on) {
			const entry = faults.find(candidate => candidate.fault.on === on && candidate.left > 0);
			if (entry === undefined) {
				return undefined;
			}

			entry.left--;
			return entry.fault;
		},
		count: on => faults.filter(({fault, left}) => fault.on === on && left > 0).length,
	};
};
