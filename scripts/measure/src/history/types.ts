/** What happened in a run, as seen from outside: by callers, backend servers, operators and whoever did harm. */

export type Told =
	| 'answered'
	/** Refused, and said not to have been run. */
	| 'not_run'
	/** Refused, and said that it may have run. */
	| 'unknown'
	/** The connection ended without a word. */
	| 'cut';

export type CallEvent = {
	readonly kind: 'stream' | 'once';
	/** Its own for each stream; shared by the sendings of one reservation. */
	readonly key: string;
	readonly daemon: string;
	/** Milliseconds since the epoch, like all moments here. */
	readonly sentAt: number;
	readonly endedAt: number;
	readonly told: Told;
	readonly errorKind: string | undefined;
	/** Whether all that the caller got was its own, in order, and to the end when `told` is `answered`. */
	readonly isOwnAnswer: boolean;
};

/** A request that reached a backend server. */
export type ArrivalEvent = {
	readonly kind: 'stream' | 'once';
	readonly backend: string;
	readonly key: string;
	readonly at: number;
};

/** An announced reclaim; from `leavesAt` on the backend server is gone. */
export type NoticeEvent = {
	readonly backend: string;
	readonly at: number;
	readonly leavesAt: number;
};

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

/** Harm that is no announced reclaim and no planned stop, and may leave an outcome unknown. */
export type HarmEvent = {
	readonly what: string;
	/** The one daemon that it struck, streams included; absent when it was the platform or a network. */
	readonly daemon?: string;
	readonly from: number;
	readonly to: number;
};

export type History = {
	readonly calls: CallEvent[];
	readonly arrivals: ArrivalEvent[];
	readonly notices: NoticeEvent[];
	readonly versions: VersionEvent[];
	/** Configurations that operators were told are accepted. */
	readonly accepted: Array<{readonly version: number; readonly at: number}>;
	readonly stops: StopEvent[];
	readonly harms: HarmEvent[];
	/** Daemons that run at the end, with the version in force there. */
	readonly finalVersions: VersionEvent[];
	/** Backend servers that one request ended. */
	readonly crashedBy: Array<{readonly key: string; readonly backends: number}>;
};

export const makeHistory = (): History => ({
	calls: [], arrivals: [], notices: [], versions: [], accepted: [], stops: [], harms: [], finalVersions: [], crashedBy: [],
});
