/** Interfaces between the gateway and the platform it runs on, in the gateway's own terms. The package in `platform/` implements them. */
import {type Agent, type IncomingHttpHeaders} from 'node:http';
import {type Socket} from 'node:net';
import {type PromptPart} from '@shallotpass/core/calls/types.js';
import {type ServingConfiguration} from '@shallotpass/core/calls/serving-configuration.js';
import {type Decoded} from '@shallotpass/common/decode-json.js';
import {type BackendEntry} from '@shallotpass/core/directory/types.js';
import {type BackendOrder} from '@shallotpass/core/lease/lease.js';
import {type RolloutRequest} from '@shallotpass/core/rollouts/types.js';

/** Topics of the platform's store. The gateway only reads the first two. */
export type Topic = 'configuration' | 'directory' | 'members' | 'lease' | 'status';

export type KeyedRecord = {
	readonly offset: number;
	readonly key: string;
	/** Undefined if the key was deleted. */
	readonly value: Uint8Array | undefined;
};

export type AppendReply =
	| {readonly kind: 'appended'; readonly offset: number}
	/** The end of the topic is not the expected one. */
	| {readonly kind: 'moved'; readonly end: number}
	/** The record was not appended. */
	| {readonly kind: 'refused'; readonly reason: string}
	/** No response. The record may have been appended, or may still be if its condition holds. */
	| {readonly kind: 'unknown'; readonly reason: string};

export type ReadReply =
	| {readonly kind: 'records'; readonly records: readonly KeyedRecord[]; readonly end: number; readonly bytes: number}
	| {readonly kind: 'trimmed'; readonly first: number}
	| {readonly kind: 'failed'; readonly reason: string};

export type NewestReply =
	| {readonly kind: 'listing'; readonly records: readonly KeyedRecord[]; readonly end: number}
	| {readonly kind: 'failed'; readonly reason: string};

type CallOptions = {
	/** Time after which the connection is closed. */
	readonly timeoutMs: number;
	readonly signal: AbortSignal;
};

/** The platform's store: an ordered log that retains the newest record of each key. Failures are returned as values. Only an abort throws. */
export type Store = {
	/** Appends all of the records or none, one behind the other. The offset of the reply is that of the first one. */
	readonly append: (topic: Topic, records: ReadonlyArray<{readonly key: string; readonly value: Uint8Array}>, options: CallOptions & {expectedEnd?: number}) => Promise<AppendReply>;
	/** Reads records from offset `from` on. The store waits up to `waitMs` if there are none yet. */
	readonly read: (topic: Topic, from: number, options: CallOptions & {waitMs: number}) => Promise<ReadReply>;
	/** `responseTimeoutMs`: time after which the connection is closed if no response has begun. */
	readonly readNewest: (topic: Topic, options: CallOptions & {responseTimeoutMs?: number}) => Promise<NewestReply>;
};

export type CloudReply =
	| {readonly kind: 'done'}
	/** The ordered backend servers are currently not available. */
	| {readonly kind: 'none_offered'}
	/** `isKnown`: whether it is certain that the request was not accepted. */
	| {readonly kind: 'failed'; readonly reason: string; readonly isKnown: boolean};

/** Proof that the sender holds the lease, sent with each request to the cloud API. */
export type LeaseAuthority = {
	readonly holder: string;
	/** Fencing token of the lease. */
	readonly fence: number;
};

export type CloudCallOptions = CallOptions & {
	/** Whether the lease is still held. Evaluated when the connection is established: the process may have been suspended meanwhile. */
	readonly isStillHeld: () => boolean;
};

export type Cloud = {
	readonly reportUsage: (authority: LeaseAuthority, window: number, counts: Readonly<Record<string, number>>, options: CloudCallOptions) => Promise<CloudReply>;
	readonly orderBackends: (authority: LeaseAuthority, order: BackendOrder, options: CloudCallOptions) => Promise<CloudReply>;
};

/** Location of the KV cache of a stopped run. */
export type MovedKvCache = {
	/** Address of the backend server that holds it. */
	readonly from: string;
	readonly handle: string;
};

export type MoveReply =
	/** The run was stopped, and its KV cache was copied to the other backend server. */
	| {readonly kind: 'moved'; readonly kvCache: MovedKvCache}
	/** The run was stopped, but its KV cache was not copied and remains where it is. */
	| {readonly kind: 'kept'; readonly kvCache: MovedKvCache}
	| {readonly kind: 'not_running'}
	/** The run goes on, as another order for it is in progress. */
	| {readonly kind: 'busy'}
	/** The order certainly did not reach the backend server. The run goes on. */
	| {readonly kind: 'unsent'; readonly reason: string}
	/** The run may have been stopped. The location of its KV cache is unknown. */
	| {readonly kind: 'failed'; readonly reason: string};

export type CopyReply =
	/** The KV cache was copied, and keeps a place at the other backend server. The run goes on. */
	| {readonly kind: 'copied'; readonly handle: string}
	/** The other backend server has no room, or is not reached, or another order is in progress. The run goes on. */
	| {readonly kind: 'no_room'}
	| {readonly kind: 'not_running'}
	| {readonly kind: 'failed'; readonly reason: string};

/** What a backend server says of its own start. */
export type StartReply =
	/** Milliseconds since the epoch. */
	| {readonly kind: 'started'; readonly startedAt: number}
	/** It answers, but does not tell. */
	| {readonly kind: 'untold'}
	/** `isSent`: whether the question may have reached it. */
	| {readonly kind: 'failed'; readonly reason: string; readonly isSent: boolean};

export type Engines = {
	/** Asks a backend server when it started, over its pooled connections or one of its own. `onSend` is called with the connection as the question is written. */
	readonly readStart: (source: {readonly address: string; readonly agent: Agent}, options: CallOptions & {readonly onSend?: (socket: Socket) => void; readonly hasOwnConnection?: boolean}) => Promise<StartReply>;
	/** Copies the KV cache of a run to another backend server while the run goes on. */
	readonly copyRun: (
		source: {readonly address: string; readonly agent: Agent},
		copy: {readonly callId: string; readonly to: string},
		options: CallOptions,
	) => Promise<{readonly reply: CopyReply; /** Undefined without an answer. */ readonly headers: BackendHeaders | undefined}>;
	/** Frees a copy that is not used, or a KV cache that was kept. One that is not freed ends after some time. Resolves with whether the backend server freed it. */
	readonly releaseCopy: (backend: {readonly address: string; readonly agent: Agent}, handle: string, options: CallOptions) => Promise<boolean>;
	/** Stops a run and copies its KV cache to another backend server. */
	readonly stopAndMove: (
		source: {readonly address: string; readonly agent: Agent},
		move: {readonly callId: string; readonly to: string},
		options: CallOptions,
	) => Promise<{readonly reply: MoveReply; /** Undefined without an answer. */ readonly headers: BackendHeaders | undefined}>;
};

/** What an operator asks for, as it stands in the record. */
export type RequestedRollout = Pick<RolloutRequest, 'service' | 'toVersion' | 'durationMs'>;

/** What operators are told of a rollout. */
export type ReportedRollout = {
	readonly service: string;
	readonly toVersion: string;
	readonly outcome: 'running' | 'completed' | 'rolled_back';
};

/** Decodes records written by others, and encodes those for operators. Decoders refuse what has no meaning, and name the field. */
export type RecordFormat = {
	readonly configurationKey: string;
	/** Whether a record of the configuration's topic requests a rollout. */
	readonly isRolloutKey: (key: string) => boolean;
	readonly toRollout: (key: string, value: Uint8Array) => Decoded<RequestedRollout>;
	readonly encodeRolloutStatus: (status: ReportedRollout) => {readonly key: string; readonly value: Uint8Array};
	readonly toConfiguration: (value: Uint8Array) => Decoded<ServingConfiguration>;
	readonly toBackendEntry: (id: string, value: Uint8Array) => Decoded<BackendEntry>;
};

/** Request headers of a caller that the gateway evaluates. */
export type CallerHeaders = {
	readonly id: string | undefined;
	readonly key: string | undefined;
	/** Time that the caller will wait for the response. */
	readonly callerTimeoutMs: number | undefined;
	readonly promptTokens: number | undefined;
	readonly outputTokens: number | undefined;
	readonly promptParts: readonly PromptPart[];
	/** Id of the last event that the caller received, if it takes up a stream. */
	readonly lastEventId: string | undefined;
	/** Attempt of the caller that brought the first event of the stream which it takes up. */
	readonly resumes: ResumedAttempt;
};

export type ResumedAttempt =
	| {readonly kind: 'none'}
	| {readonly kind: 'named'; readonly id: string}
	/** The field is no id, or stands there several times. */
	| {readonly kind: 'unreadable'};

export type ForwardedCall = {
	readonly backendId: string;
	readonly account: string | undefined;
	/** Time left for the backend server to respond. */
	readonly remainingMs: number;
	/** Priority of the call, 0 being the most urgent. Undefined for services without priorities. */
	readonly rank: number | undefined;
	/** Id of the last event that the caller received, if a stream is resumed. */
	readonly lastEventId: string | undefined;
	/** KV cache of the run, if it continues on another backend server. */
	readonly kvCache: MovedKvCache | undefined;
	/** Whether it goes before other calls of its rank: a stream that can go on at few backend servers only. */
	readonly isFavored: boolean;
};

/** What an answer states about the calls per second that its backend server takes from all daemons together. */
export type StatedLimit =
	| {readonly kind: 'unlimited'}
	| {readonly kind: 'limited'; readonly perSecond: number}
	/** The field is not a decimal number. `text` is its beginning. */
	| {readonly kind: 'unreadable'; readonly text: string};

/** What an answer states about how the backend server bears calls for which it has no room. */
export type StatedBrittleness =
	| {readonly kind: 'sound'}
	/** It falls over when it has to turn away more calls in a second. */
	| {readonly kind: 'brittle'; readonly rejections: number}
	/** The field is not a whole number. `text` is its beginning. */
	| {readonly kind: 'unreadable'; readonly text: string};

/** Response headers of a backend server that the gateway evaluates. */
export type BackendHeaders = {
	readonly requestId: string | undefined;
	/** Whether the backend server declares that it did not run the call. */
	readonly isNotExecuted: boolean;
	/** Whether another backend server now uses the address. */
	readonly isOtherBackend: boolean;
	readonly running: number | undefined;
	readonly waiting: number | undefined;
	/** How long work currently takes on its machine, as a multiple of the usual time. Undefined if not stated, or if it cannot be one. */
	readonly slowness: number | undefined;
	readonly limit: StatedLimit;
	readonly brittleness: StatedBrittleness;
};

/** Conversion of the header fields of callers and backend servers. The gateway itself removes hop-by-hop fields. */
export type WireFormat = {
	readonly parseCallerHeaders: (headers: IncomingHttpHeaders) => CallerHeaders;
	/** Returns alternating names and values for the backend server: the caller's fields, except those that the gateway sets itself. */
	readonly makeBackendFields: (callerFields: readonly string[], forwarding: ForwardedCall) => string[];
	/** Returns the id of the last event that the caller received of a stream that it takes up. */
	readonly findLastEventId: (callerFields: readonly string[]) => string | undefined;
	readonly parseBackendHeaders: (status: number, headers: IncomingHttpHeaders) => BackendHeaders;
};

export type Platform = {
	readonly store: Store;
	readonly cloud: Cloud;
	readonly engines: Engines;
	readonly records: RecordFormat;
	readonly wire: WireFormat;
};

export {type Repeatability} from '@shallotpass/core/calls/types.js';
