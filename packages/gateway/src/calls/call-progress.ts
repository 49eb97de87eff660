/** What has become of one call so far, over its attempts. */
import {type VersionedCall} from '@shallotpass/core/rollouts/pick-version.js';
import {type SendPermit} from './send-permit.js';

/** Progress of one call over its attempts. */
export type CallProgress = {
	readonly attemptedIncarnations: Set<string>;
	/** Whether the caller has received a part of the answer. */
	hasStarted: boolean;
	/** Version of the software at which the stream began and must go on. Undefined until its first event. */
	softwareVersion: string | undefined;
	/** Incarnations that turned the call away for want of room. */
	readonly turnedAwayBy: Set<string>;
	/** Number of attempts that may have run the call. */
	possibleRuns: number;
	/** Number of sends that have not come to an end, and failed answers that are kept. Not counted in `possibleRuns` yet. */
	runsUnderWay: number;
	/** Number of runs that are paid for. The first one is when the call is admitted. */
	paidRuns: number;
	/** Number of attempts: backend servers that the call was sent to. */
	attempts: number;
	/** Whether the call may have reached a backend server, also one that did not run it. */
	hasArrived: boolean;
	/** Whether the call still earns repeats here, and not at a peer. */
	earnsHere: boolean;
	/** Permit that was taken for a send that has not taken place. */
	heldPermit: SendPermit | undefined;
	/** Whether the call is over, though a cancelled send may not have come to its end. */
	isOver: boolean;
	lastFailure: string;
	/** Addresses of the peers that the call was offered to. */
	readonly triedPeers: Set<string>;
	/** Until when the call waits for a place at a brittle backend server, on the steady clock. */
	placeWaitUntil: number | undefined;
	/** Whether the last attempt found no path, and no backend server was heard meanwhile. */
	mayBeCutOff: boolean;
	/** Whether the backend server of the last attempt ended under it. Undefined if its connection has not broken. */
	hasCrashed: Promise<boolean> | undefined;
	/** Drawn uniformly from [0, 1). Below the share of a rollout, the call goes to the new version. A peer that it is sent through uses the same value, or 1 if it gets none. */
	readonly versionFraction: number;
	/** Whether the daemon that sent the call to this one had sent it elsewhere before. */
	readonly wasSentBefore: boolean;
};

/** Where the call stands before its first attempt here. */
export type ProgressStart = Partial<Pick<CallProgress, 'softwareVersion' | 'versionFraction' | 'wasSentBefore'>>;

/** Returns what decides about the version of the next attempt. */
export const toVersionedCall = ({versionFraction, wasSentBefore, attempts}: Pick<CallProgress, 'versionFraction' | 'wasSentBefore' | 'attempts'>): VersionedCall =>
	({fraction: versionFraction, isRepeat: wasSentBefore || attempts > 0});

/** Without a fraction the call never goes to a version in a trial. */
export const makeProgress = ({softwareVersion, versionFraction = 1, wasSentBefore = false}: ProgressStart = {}): CallProgress => ({
	versionFraction,
	wasSentBefore,
	attemptedIncarnations: new Set(),
	possibleRuns: 0,
	runsUnderWay: 0,
	paidRuns: 1,
	attempts: 0,
	hasArrived: false,
	earnsHere: true,
	heldPermit: undefined,
	isOver: false,
	hasStarted: false,
	softwareVersion,
	turnedAwayBy: new Set(),
	lastFailure: '',
	triedPeers: new Set(),
	placeWaitUntil: undefined,
	mayBeCutOff: false,
	hasCrashed: undefined,
});

/** Lets backend servers that turned the call away for want of room be tried once more. */
export const resetTurnedAway = (progress: CallProgress): void => {
	for (const incarnation of progress.turnedAwayBy) {
		progress.attemptedIncarnations.delete(incarnation);
		progress.attempts--;
	}

	progress.turnedAwayBy.clear();
};
