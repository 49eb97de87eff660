/** Estimated state of a backend server that a daemon uses to choose one for a call. */
import {type CurrentSlowness} from './current-speed.js';
import {type LatencyModel} from './engine-latency.js';

export type Load = {
	/** Calls that are running or queued. */
	readonly running: number;
	/** Prompt tokens of calls that have not received a first event yet, indexed by rank. */
	readonly pendingTokens: readonly number[];
};

export type BackendView = {
	readonly id: string;
	/** Whether the backend server is in a different availability zone than this daemon. */
	readonly isInOtherZone: boolean;
	/** Number of slots: calls that the backend server runs concurrently. */
	readonly places: number;
	readonly isReclaimable: boolean;
	/** Prefill speed and fixed latency, estimated from measured answers. */
	readonly latencyModel: LatencyModel;
	/** Duration of a plain (non-streaming) call, estimated from measured answers, in milliseconds. */
	readonly plainMs: number;
	/** Current slowness of its machine. Undefined if nothing is known of it, which counts as usual. */
	readonly currentSlowness?: CurrentSlowness | undefined;
	/** Exact load from this daemon. */
	readonly own: Load;
	/** Load from the other daemons according to their last reports. */
	readonly others: Load;
	/** Fraction of recent calls that failed, from 0 to 1. */
	readonly failureRate: number;
	/** Whether this daemon has reached its connection limit for the backend server. */
	readonly isAtConnectionLimit: boolean;
	/** Tokens of the call's prompt that are probably cached. */
	readonly cachedTokens: number;
	/** Engine time that other calls lose because shared parts of the prompt are prefilled again, in milliseconds. Absent if the call has no shared parts. */
	readonly lostEngineMs?: number;
	/** Penalty from the call's own order of backend servers, which spreads calls, in milliseconds. */
	readonly spreadPenaltyMs: number;
	/** Additional wait that is accepted because of the limit that it states, in milliseconds. */
	readonly limitPreferenceMs: number;
	/** Time for which calls have been waiting without any data from the backend server, in milliseconds. */
	readonly silentMs: number;
};
