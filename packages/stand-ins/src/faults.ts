/** The table of faults that a stand-in obeys. */

export type Fault = {
	/** Operation it strikes, as the stand-in names it. */
	readonly on: string;
	/**
	 * `delay` answers late, `lose_reply` takes effect and closes the connection,
	 * `refuse` answers 503 without effect, `silent` never answers, `break` answers
	 * with what cannot be read, `mismatch` answers under another request's id,
	 * `cut` breaks off in the middle of the answer.
	 */
	readonly kind: 'delay' | 'lose_reply' | 'refuse' | 'silent' | 'break' | 'mismatch' | 'cut';
	/** How often it strikes; for good when absent. */
	readonly times?: number;
	readonly delayMs?: number;
	/** Token chunks before a stream is cut or goes silent. */
	readonly afterChunks?: number;
};

export type FaultTable = {
	readonly add: (fault: Fault) => void;
	readonly clear: (on?: string) => void;
	/** The fault that strikes this operation now, if any; counts it. */
	readonly take: (on: string) => Fault | undefined;
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
	};
};
