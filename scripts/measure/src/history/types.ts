/** The history of a run as observed by callers, backend servers, operators and the fault injector. */

export type CallOutcome =
	| 'answered'
	/** Failed; the response said that the request was not executed. */
	| 'not_run'
	/** Failed; the response said that the request may have been executed. */
	| 'unknown'
	/** The connection closed without a complete response. */
	| 'cut';

export type CallEvent = {
	readonly kind: 'stream' | 'once';
	/** Unique for each stream; shared by all attempts of one reservation. */
	readonly key: string;
	readonly daemon: string;
	/** Milliseconds since the Unix epoch, as are all times in this file. */
	readonly sentAt: number;
	readonly endedAt: number;
	readonly outcome: CallOutcome;
	readonly errorKind: string | undefined;
	/** Whether everything that the caller received belongs to its own request and is in order. If the call was answered, the answer must also be complete. */
	readonly isOwnAnswer: boolean;
};

/** A request as a backend server received it. */
export type ArrivalEvent = {
	readonly kind: 'stream' | 'once';
	readonly backend: string;
	readonly key: string;
	readonly at: number;
};

/** A reclaim that was announced in advance. The backend server is gone from `leavesAt` on. */
export type NoticeEvent = {
	readonly backend: string;
	readonly at: number;
	readonly leavesAt: number;
};

/** A configuration version in force on a daemon. */
export type VersionEvent = {
	readonly daemon: string;
	readonly version: number;
	readonly at: number;
};

export type StopEvent = {
	readonly daemon: string;
	readonly isPlanned: boolean;
	readonly at: number;
};

/** An injected fault other than an announced reclaim or a planned stop; it may leave the outcome of a call unknown. */
export type FaultEvent = {
	readonly description: string;
	/** The daemon that the fault affects, including its streams. Absent for faults of the platform or the network. */
	readonly daemon?: string;
	readonly from: number;
	readonly to: number;
};

export type History = {
	readonly calls: CallEvent[];
	readonly arrivals: ArrivalEvent[];
	readonly notices: NoticeEvent[];
	readonly versions: VersionEvent[];
	/** Configurations reported to an operator as accepted. */
	readonly acceptedVersions: Array<{readonly version: number; readonly at: number}>;
	readonly stops: StopEvent[];
	readonly faults: FaultEvent[];
	/** The configuration version of each daemon that is still running at the end. */
	readonly finalVersions: VersionEvent[];
	/** Requests that crash backend servers, with the number of backend servers that each crashed. */
	readonly crashingRequests: Array<{readonly key: string; readonly backends: number}>;
};

export const makeHistory = (): History => ({
	calls: [], arrivals: [], notices: [], versions: [], acceptedVersions: [], stops: [], faults: [], finalVersions: [], crashingRequests: [],
});
