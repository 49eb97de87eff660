/** What the gateway needs from the platform it runs on, in the product's own terms; `platform/` implements it. */
import {type Agent, type IncomingHttpHeaders} from 'node:http';
import {type PromptPart} from '@shallotpass/core/calls/types.js';
import {type ServingConfiguration} from '@shallotpass/core/calls/serving-configuration.js';
import {type BackendEntry} from '@shallotpass/core/directory/types.js';
import {type BackendOrder} from '@shallotpass/core/duties/fold-lease.js';

/** Topics of the platform's store. The first two are written by others. */
export type Topic = 'configuration' | 'directory' | 'members' | 'lease';

export type KeyedRecord = {
	readonly offset: number;
	readonly key: string;
	/** Undefined: the key was dropped. */
	readonly value: Uint8Array | undefined;
};

export type AppendReply =
	| {readonly kind: 'appended'; readonly offset: number}
	/** The topic did not end where the caller said. */
	| {readonly kind: 'moved'; readonly end: number}
	/** Nothing was done. */
	| {readonly kind: 'refused'; readonly reason: string}
	/** No reply: it may be done, or be done later if its condition still holds. */
	| {readonly kind: 'unknown'; readonly reason: string};

export type ReadReply =
	| {readonly kind: 'records'; readonly records: readonly KeyedRecord[]; readonly end: number; readonly bytes: number}
	| {readonly kind: 'trimmed'; readonly first: number}
	| {readonly kind: 'failed'; readonly reason: string};

export type NewestReply =
	| {readonly kind: 'listing'; readonly records: readonly KeyedRecord[]; readonly end: number}
	| {readonly kind: 'failed'; readonly reason: string};

type CallOptions = {
	/** Milliseconds after which the connection is given up. */
	readonly timeoutMs: number;
	readonly signal: AbortSignal;
};

/** The platform's store: an ordered log that keeps the newest record of each key. Replies are values; nothing is thrown but for an abort. */
export type Store = {
	readonly append: (topic: Topic, record: {key: string; value: Uint8Array}, options: CallOptions & {expectedEnd?: number}) => Promise<AppendReply>;
	/** Waits up to `waitMs` at the store for a record at `from` or behind. */
	readonly read: (topic: Topic, from: number, options: CallOptions & {waitMs: number}) => Promise<ReadReply>;
	readonly readNewest: (topic: Topic, options: CallOptions) => Promise<NewestReply>;
};

export type CloudReply =
	| {readonly kind: 'done'}
	/** What was ordered is not to be had now. */
	| {readonly kind: 'none_offered'}
	| {readonly kind: 'failed'; readonly reason: string; readonly isKnown: boolean};

export type DutyAuthority = {
	readonly holder: string;
	readonly fence: number;
};

export type Cloud = {
	readonly reportUsage: (authority: DutyAuthority, window: number, counts: Readonly<Record<string, number>>, options: CallOptions) => Promise<CloudReply>;
	readonly orderBackends: (authority: DutyAuthority, order: BackendOrder, options: CallOptions) => Promise<CloudReply>;
};

/** Where the memory of a run that was stopped is to be had. */
export type MovedMemory = {
	/** Address of the backend server where it ran. */
	readonly from: string;
	readonly handle: string;
};

export type MoveReply =
	/** The run has stopped, and the other backend server has its memory. */
	| {readonly kind: 'moved'; readonly memory: MovedMemory}
	/** The run has stopped, and the memory is still where it was. */
	| {readonly kind: 'kept'; readonly memory: MovedMemory}
	| {readonly kind: 'not_running'}
	/** It may have stopped; its memory cannot be found. */
	| {readonly kind: 'failed'; readonly reason: string};

export type Engines = {
	/** Stops a run and copies its memory to another backend server. */
	readonly stopAndMove: (
		source: {readonly address: string; readonly agent: Agent},
		move: {readonly callId: string; readonly to: string},
		options: CallOptions,
	) => Promise<MoveReply>;
};

/** Records of others, decoded once. Undefined: the bytes cannot be read. */
export type RecordFormat = {
	readonly configurationKey: string;
	readonly toConfiguration: (value: Uint8Array) => ServingConfiguration | undefined;
	readonly toBackendEntry: (id: string, value: Uint8Array) => BackendEntry | undefined;
};

/** What a request says of itself beside its route. */
export type CallerHead = {
	readonly id: string | undefined;
	readonly key: string | undefined;
	/** Milliseconds that the caller waits. */
	readonly waitsMs: number | undefined;
	readonly promptTokens: number | undefined;
	readonly outputTokens: number | undefined;
	readonly promptParts: readonly PromptPart[];
};

export type Forwarding = {
	readonly backendId: string;
	readonly account: string | undefined;
	/** Milliseconds that the backend server may work. */
	readonly remainingMs: number;
	/** 0 is the most urgent; undefined for services without priorities. */
	readonly rank: number | undefined;
	/** Last event that the caller has, where a stream goes on. */
	readonly lastEventId: string | undefined;
	/** Memory of the same run, where it goes on elsewhere. */
	readonly memory: MovedMemory | undefined;
};

/** What the head of a backend server's answer says. */
export type BackendHead = {
	readonly requestId: string | undefined;
	/** The backend server states that it did not run the call. */
	readonly isNotExecuted: boolean;
	/** Another incarnation has the address. */
	readonly isOtherBackend: boolean;
	readonly running: number | undefined;
	readonly waiting: number | undefined;
};

/** Header fields of callers and backend servers. Fields of one connection are left out by the gateway itself. */
export type WireFormat = {
	readonly toCallerHead: (headers: IncomingHttpHeaders) => CallerHead;
	/** Raw name and value pairs for the backend server: the caller's, without those that are the system's to set. */
	readonly toBackendFields: (callerFields: readonly string[], forwarding: Forwarding) => string[];
	readonly toBackendHead: (status: number, headers: IncomingHttpHeaders) => BackendHead;
};

export type Platform = {
	readonly store: Store;
	readonly cloud: Cloud;
	readonly engines: Engines;
	readonly records: RecordFormat;
	readonly wire: WireFormat;
};

export {type Repeatability} from '@shallotpass/core/calls/types.js';
