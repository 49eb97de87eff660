/** Continues a stream whose run was stopped to be moved. It is the same run, so it is not a retry. */
import {type Placement} from './place-call.js';
import {recordStoppedRun} from './record-stopped-run.js';
import {releaseStoppedRun, releaseUnusedCopy, type StoppedRun} from './stopped-run.js';
import {
	canNamePosition, getLastEventId, roomWaitMs, type StreamState,
} from './stream-state.js';

/** Lists where a stopped run can continue, for another round: none of the sends counts against a limit yet. */
export const listPlacements = ({placements}: StoppedRun): Placement[] => placements.map(placement => ({...placement, isCounted: false}));

/** Prepares the next attempt to continue the stopped run, at its version and behind the last event. Returns false if there is none, or the stream can't go on. */
export const resumeStoppedRun = (stream: StreamState): boolean => {
	if (stream.stoppedRun === undefined) {
		return false;
	}

	const {run} = stream.stoppedRun;
	if (!canNamePosition(stream)) {
		return false;
	}

	stream.progress.softwareVersion = run.softwareVersion;
	stream.splitter.discardPartialEvent();
	stream.stoppedOn.add(run.from.incarnation);
	stream.roomWaitUntil = stream.context.gateway.clocks.steady() + roomWaitMs;
	stream.outgoing = {...stream.outgoing, lastEventId: getLastEventId(stream), kvCache: run.kvCache};
	return true;
};

/** Notes that the backend server goes on with the stopped run, if there is one. Its copy elsewhere is freed. */
export const settleStoppedRun = (stream: StreamState, backend: string): void => {
	const {stoppedRun, context: {gateway}, call} = stream;
	if (stoppedRun === undefined) {
		return;
	}

	const {run} = stoppedRun;
	stream.stoppedRun = undefined;
	recordStoppedRun({gateway, call}, stoppedRun, {outcome: 'continued', backend});
	if (backend === run.from.entry.id) {
		releaseUnusedCopy(gateway, run);
	}
};

/** Frees what is held for the stopped run, if none has gone on with it. */
export const dropStoppedRun = (stream: StreamState): void => {
	const {
		stoppedRun, context: {gateway}, call, progress, placements,
	} = stream;
	if (stoppedRun === undefined) {
		return;
	}

	stream.stoppedRun = undefined;
	recordStoppedRun({gateway, call}, stoppedRun, {outcome: 'not_continued', reason: stream.signal.aborted ? 'given_up' : progress.lastFailure});
	releaseStoppedRun(gateway, stoppedRun.run, placements);
};
