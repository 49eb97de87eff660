/** The neutral call: what every listener turns a request into, and what all decisions look at. */
import {type Deadline} from '@shallotpass/common/types.js';

/**
 * What may be repeated: an `idempotent` call may run again, `once` and `stream_once` run at
 * most once for each id, a `resumable_stream` may go on at another backend server behind the
 * last event that arrived.
 */
export type Repeatability = 'idempotent' | 'once' | 'resumable_stream' | 'stream_once';

/** A part of a prompt that other calls may share, with its length in tokens. */
export type PromptPart = {
	readonly id: string;
	readonly tokens: number;
};

export type Call = {
	readonly id: string;
	/** Undefined where the route serves callers without a key. */
	readonly account: string | undefined;
	readonly routeName: string;
	readonly service: string;
	readonly repeatability: Repeatability;
	/** Moments on the steady clock, in milliseconds. */
	readonly arrivedAt: number;
	readonly targetAt: Deadline;
	/** The earlier of what the caller waits for and what the route allows. */
	readonly deadline: Deadline;
	/** 0 is the most urgent. */
	readonly rank: number;
	/** Backend servers that may run this call. */
	readonly attemptsAllowed: number;
	readonly promptTokens: number;
	readonly outputTokens: number;
	readonly promptParts: readonly PromptPart[];
};

export const isStream = (repeatability: Repeatability): boolean => repeatability === 'resumable_stream' || repeatability === 'stream_once';

/** Whether a call that may have run can be sent to another backend server. */
export const mayRunAgain = (repeatability: Repeatability): boolean => repeatability === 'idempotent' || repeatability === 'resumable_stream';
