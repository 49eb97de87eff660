/** Protocol-independent representation of a call. Listeners create it from a request, and all decisions are based on it. */
import {type Deadline} from '@shallotpass/common/types.js';

/**
 * Whether a call may run more than once. An `idempotent` call may be repeated, `once` and
 * `stream_once` run at most once per id, and a `resumable_stream` may resume on another backend
 * server after the last event that arrived.
 */
export type Repeatability = 'idempotent' | 'once' | 'resumable_stream' | 'stream_once';

/** Part of a prompt that other calls may share, with its length in tokens. */
export type PromptPart = {
	readonly id: string;
	readonly tokens: number;
};

export type Call = {
	readonly id: string;
	/** Undefined if the route serves callers without a key. */
	readonly account: string | undefined;
	readonly routeName: string;
	readonly service: string;
	readonly repeatability: Repeatability;
	/** `arrivedAt`, `targetAt` and `deadline` are times on the steady clock, in milliseconds. */
	readonly arrivedAt: number;
	readonly targetAt: Deadline;
	/** The earlier of the caller's deadline and the route's time limit. */
	readonly deadline: Deadline;
	/** Time without an event of a stream after which its caller leaves, in milliseconds. */
	readonly patienceMs: number;
	/** 0 is the most urgent. */
	readonly rank: number;
	/** Maximum number of attempts that may run the call. */
	readonly maxAttempts: number;
	readonly promptTokens: number;
	readonly outputTokens: number;
	readonly promptParts: readonly PromptPart[];
};

export const isStream = (repeatability: Repeatability): boolean => repeatability === 'resumable_stream' || repeatability === 'stream_once';

/** Whether a call that may have run already can be sent to another backend server. */
export const isRepeatable = (repeatability: Repeatability): boolean => repeatability === 'idempotent' || repeatability === 'resumable_stream';
