/** Events observed by callers, backend servers and the cloud in one run. All times are milliseconds on the monotonic clock of the soak process. */
import {type TakenUpStream} from '@shallotpass/platform/stand-ins/stream-callers.js';
import {type CloudRequest} from '@shallotpass/platform/stand-ins/cloud-stand-in.js';
import {type RouteName} from '@shallotpass/platform/stand-ins/send-call.js';

/** A call as sent by a caller. */
export type SentCall = {
	readonly id: string;
	readonly daemon: string;
	readonly route: RouteName;
	readonly key: string;
	readonly path: string;
	readonly body: string;
	readonly sentAt: number;
};

export type CallOutcome =
	| {
		readonly kind: 'answered';
		readonly status: number;
		/** Id of the backend server that sealed the answer. Empty if the daemon answered itself. */
		readonly vouchedBy: string;
		readonly requestId: string;
		readonly body: string;
		readonly isWhole: boolean;
	}
	/** The connection closed before an answer arrived. */
	| {readonly kind: 'cut'; readonly reason: string};

export type CompletedCall = SentCall & {
	/** Undefined if the caller timed out. */
	readonly end: CallOutcome | undefined;
	readonly endedAt: number;
};

/** One execution of a call by a backend server. */
export type BackendRun = {
	readonly id: string;
	readonly backend: string;
	readonly service: string;
	readonly path: string;
	readonly body: string;
	readonly account: string;
	/** Whether the caller's key was passed on. */
	readonly hasKey: boolean;
	readonly at: number;
	/** Undefined while it runs. */
	readonly endedAt?: number | undefined;
	/** Whether its connection was closed before it had ended. */
	readonly isClosedByPeer?: boolean;
	/** Handle of the KV cache with which this execution resumes one that was stopped on another backend server. */
	readonly memory?: string;
};

export type Span = {
	readonly from: number;
	readonly until: number;
};

/** A period in which a fault may have kept a daemon, or all daemons, from meeting the time bounds. */
export type Disturbance = {
	/** Undefined if all daemons are affected. */
	readonly daemon: string | undefined;
	/** Whether it is a planned stop. */
	readonly isPlanned?: boolean;
	readonly from: number;
	readonly until: number;
};

/** A period in which calls with a removed key must not be served, or a leaving backend server must not receive calls. */
export type Ban =
	| {readonly kind: 'key'; readonly key: string; readonly from: number; readonly until: number}
	| {readonly kind: 'backend'; readonly backend: string; readonly from: number; readonly until: number};

/** A call that reached a backend server, whether or not it ran. */
export type BackendArrival = {
	readonly backend: string;
	readonly id: string;
	readonly at: number;
};

/** A period in which a backend server stated a limit. */
export type BackendLimitSpan = {
	readonly backend: string;
	readonly perSecond: number;
	readonly from: number;
	/** Infinity while it lasts. */
	until: number;
};

/** A period in which the link to a backend server may have held calls up. */
export type LinkDisturbance = {
	readonly backend: string;
	readonly from: number;
	readonly until: number;
};

/** A period in which backend servers fell over when they turned more than so many calls away in a second. */
export type BrittleSpan = {
	readonly backends: readonly string[];
	readonly rejections: number;
	readonly from: number;
	/** Infinity while it lasts. */
	until: number;
};

/** A period in which daemons reached no backend server by new connections. */
export type Cut = {
	readonly daemons: readonly string[];
	readonly from: number;
	/** Infinity while it lasts. */
	until: number;
};

/** The life of a process that was stopped while it started, from its start to its exit. */
export type StartingStop = {
	readonly daemon: string;
	readonly from: number;
	/** When SIGTERM was sent. */
	readonly signalledAt: number;
	readonly until: number;
};

/** A request of which one part crashes engines. It is not owed an answer. */
export type CrashingCall = Pick<SentCall, 'id' | 'daemon' | 'sentAt'>;

/** A call whose caller left before it had an answer. It is not owed one. */
export type LeavingCall = {
	readonly id: string;
	readonly route: RouteName;
	readonly daemon: string;
	readonly leftAt: number;
};

/** One of several requests that a caller sent at once. */
export type PipelinedCall = {
	readonly id: string;
	readonly route: RouteName;
	readonly daemon: string;
	readonly sentAt: number;
	/** When its caller closed the connection or saw its end. */
	readonly endedAt: number;
	/** What came in its turn. Undefined if nothing did. */
	readonly answer?: {readonly status: number; readonly requestId: string; readonly isWhole: boolean};
	/** How the connection failed. */
	readonly error: string | undefined;
	/** Whether the connection ended before its caller closed it. */
	readonly hasEnded: boolean;
};

/** A stream of a caller that keeps its connection open until the daemon has ended. Engines pause in the middle of it. */
export type KeptStream = CompletedCall & {
	/** Whether its caller left before it had ended. */
	readonly hasLeft: boolean;
};

/** When a daemon was told to stop, or to read its settings again. */
export type PlannedWork = {
	readonly kind: 'stop' | 'reload';
	readonly daemon: string;
	readonly at: number;
};

export type History = {
	readonly calls: readonly CompletedCall[];
	/** Calls of the account that exceeds its limit. */
	readonly limitedCalls: readonly CompletedCall[];
	readonly crashingCalls: readonly CrashingCall[];
	readonly leavingCalls: readonly LeavingCall[];
	readonly pipelinedCalls: readonly PipelinedCall[];
	readonly keptStreams: readonly KeptStream[];
	readonly plannedWork: readonly PlannedWork[];
	/** Periods in which backend servers misbehaved. */
	readonly backendFaults: readonly LinkDisturbance[];
	/** When engines crashed under such requests. */
	readonly crashes: readonly number[];
	/** Streams whose callers lose their connections and take them up again. */
	readonly streams: readonly TakenUpStream[];
	/** Software versions that at least two engines have throughout. */
	readonly lastingVersions: readonly string[];
	readonly runs: readonly BackendRun[];
	readonly duties: readonly CloudRequest[];
	readonly disturbances: readonly Disturbance[];
	readonly bans: readonly Ban[];
	readonly arrivals: readonly BackendArrival[];
	readonly limits: readonly BackendLimitSpan[];
	readonly linkDisturbances: readonly LinkDisturbance[];
	readonly cuts: readonly Cut[];
	readonly startingStops: readonly StartingStop[];
	readonly brittleSpans: readonly BrittleSpan[];
	/** Calls that backend servers turned away for want of room. */
	readonly rejections: readonly BackendArrival[];
	/** Daemons that exited although the soak neither stopped nor killed them. */
	readonly ownEnds: readonly string[];
	/** Daemons that did not become ready after the last fault. */
	readonly neverReady: readonly string[];
	/** Start of the fault-free period, in which calls must be served. */
	readonly calmFrom: number;
	/** Whether the run had only planned operations, such as daemon stops and configuration changes. */
	readonly hasOnlyPlannedWork: boolean;
};
