/** Records the ends of streams that only the close of a connection marks, and what becomes of runs that were stopped to be moved. */
import {type Call} from '@shallotpass/core/calls/types.js';
import {type GatewayState} from '../gateway-state.js';
import {type BodyFraming} from './body-framing.js';
import {type StoppedRun} from './stopped-run.js';

export type StreamEnd = {
	/** How the end of the answer is marked. */
	readonly framing: BodyFraming | undefined;
	/** Id of the last event that was forwarded. */
	readonly lastEvent: string | undefined;
};

/** `continued`: at `backend`. */
export type StoppedRunOutcome = {readonly outcome: 'continued'; readonly backend: string} | {readonly outcome: 'not_continued'; readonly reason: string};

type Recorder = {readonly gateway: GatewayState; readonly call: Call};

export const recordStoppedRun = ({gateway, call}: Recorder, {run, framing, lastEvent}: StreamEnd & {readonly run: StoppedRun}, result: StoppedRunOutcome): void => {
	const {outcome} = result;
	gateway.metrics.stoppedRuns.inc({outcome});
	gateway.log.write(outcome === 'continued' ? 'state' : 'failure', 'stopped_run', {
		request: call.id, service: call.service, ...result, from: run.from.entry.id, order: run.order, framing, lastEvent,
	});
};

/** Records how the end of an answer was judged, if only the close of its connection marks it. */
export const recordUnframedEnd = ({gateway, call}: Recorder, {framing, lastEvent}: StreamEnd, {backend, isWhole, order}: {readonly backend: string; readonly isWhole: boolean; readonly order: string}): void => {
	if (framing !== 'connection') {
		return;
	}

	gateway.log.write(isWhole ? 'routine' : 'failure', 'unframed_end', {
		request: call.id, service: call.service, backend, isWhole, order, lastEvent,
	});
};
