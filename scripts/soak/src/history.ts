/** What callers, backend servers and the cloud saw in one run; all moments are on the steady clock of the soak, in milliseconds. */
import {type DutyCall} from '@shallotpass/platform/stand-ins/cloud-stand-in.js';
import {type RouteName} from '@shallotpass/platform/stand-ins/send-call.js';

export type SentCall = {
	readonly id: string;
	readonly daemon: string;
	readonly route: RouteName;
	readonly key: string;
	readonly path: string;
	readonly body: string;
	readonly sentAt: number;
};

export type CallEnd =
	| {
		readonly kind: 'answered';
		readonly status: number;
		/** Id of the backend server that vouches for the answer; empty when the daemon answered itself. */
		readonly sealedBy: string;
		readonly requestId: string;
		readonly body: string;
		readonly isWhole: boolean;
	}
	/** The connection ended without an answer. */
	| {readonly kind: 'cut'; readonly reason: string};

export type EndedCall = SentCall & {
	readonly end: CallEnd | undefined;
	readonly endedAt: number;
};

export type Run = {
	readonly id: string;
	readonly backend: string;
	readonly service: string;
	readonly path: string;
	readonly body: string;
	readonly account: string;
	/** Whether the caller's key was passed on. */
	readonly hasKey: boolean;
	readonly at: number;
	/** Memory of a run that was stopped elsewhere, with which it goes on. */
	readonly memory?: string;
};

/** A span in which a daemon, or all of them, could not know or do what it should. */
export type Disturbance = {
	/** Undefined: all daemons. */
	readonly daemon: string | undefined;
	readonly from: number;
	readonly until: number;
};

/** A moment from which calls of some kind must not be served. */
export type Ban =
	| {readonly kind: 'key'; readonly key: string; readonly from: number; readonly until: number}
	| {readonly kind: 'backend'; readonly backend: string; readonly from: number; readonly until: number};

export type History = {
	readonly calls: readonly EndedCall[];
	readonly runs: readonly Run[];
	readonly duties: readonly DutyCall[];
	readonly disturbances: readonly Disturbance[];
	readonly bans: readonly Ban[];
	/** Daemons that ended though nobody stopped or killed them. */
	readonly ownEnds: readonly string[];
	/** Daemons that took no calls long after the last disturbance. */
	readonly neverReady: readonly string[];
	/** From here on nothing was disturbed and everything must be served. */
	readonly calmFrom: number;
	readonly hasOnlyPlannedWork: boolean;
};
