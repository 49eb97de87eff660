/** State of one stream over its attempts, and what decides whether it may go on at another backend server. */
import type http from 'node:http';
import {headerTextSchema} from '@shallotpass/common/value-bounds.js';
import {type Continuity} from '../origins/continuity.js';
import {type AdmittedCall, type CallContext} from './call-context.js';
import {type CallProgress} from './call-progress.js';
import {type EventSplitter, makeEventSplitter} from './event-splitter.js';
import {type Placement} from './place-call.js';
import {type StreamEnd} from './record-stopped-run.js';
import {type Attempt} from './run-at-backend.js';
import {type StoppedRun} from './stopped-run.js';

/** Time for which a stream that has begun waits for room, in milliseconds. Callers give up after a gap of 2 s. */
export const roomWaitMs = 1500;

export type StreamState = {
	readonly context: CallContext;
	readonly call: AdmittedCall['call'];
	/** The request to send with the next attempt. */
	outgoing: AdmittedCall['outgoing'];
	readonly continuity: Continuity | undefined;
	/** Whether events were sent on, so that the stream goes on only at the version that sent the first one. */
	hasEvents: boolean;
	/** Resolves when it is known whether the version that sent the first event is known. Undefined if nothing is waited for. */
	pendingVersion: Promise<void> | undefined;
	readonly progress: CallProgress;
	readonly splitter: EventSplitter;
	/** Placements where a stopped run can continue and was not sent to yet, best first. */
	placements: readonly Placement[];
	/** The run that was stopped to be moved, while none has taken it. */
	stoppedRun: (StreamEnd & {readonly run: StoppedRun}) | undefined;
	/** Incarnations of the backend servers on which the run was stopped to be moved. It is stopped once on each. */
	readonly stoppedOn: Set<string>;
	/** Until when a stream that has begun waits for room at backend servers that can continue it, on the steady clock. */
	roomWaitUntil: number;
	readonly signal: AbortSignal;
};

/** An attempt whose answer has begun. */
export type AnsweredAttempt = {readonly response: http.IncomingMessage; readonly attempt: Attempt};

export const makeStreamState = (context: CallContext, {call, outgoing, continuity}: AdmittedCall, progress: CallProgress, signal: AbortSignal): StreamState => ({
	context,
	call,
	outgoing,
	continuity,
	hasEvents: false,
	pendingVersion: undefined,
	progress,
	splitter: makeEventSplitter(),
	placements: [],
	stoppedRun: undefined,
	stoppedOn: new Set(),
	roomWaitUntil: Number.NEGATIVE_INFINITY,
	signal,
});

/** Returns the id after which the stream goes on: of the last event that was forwarded here, or before by the daemon that sent the call. */
export const getLastEventId = ({splitter, outgoing}: StreamState): string | undefined => splitter.getLastEventId() ?? outgoing.lastEventId;

/** Whether another attempt can name the last event that was forwarded. Without its id in a header field the run would begin anew. */
const canNameLastEvent = (stream: StreamState): boolean => {
	const id = getLastEventId(stream);
	return id !== undefined && id !== '' && headerTextSchema.safeParse(id).success;
};

/** Whether another attempt can be told where the stream stands: before its first event, or behind one that can be named. */
export const canNamePosition = (stream: StreamState): boolean => !stream.hasEvents || canNameLastEvent(stream);

/** Whether the stream may go on elsewhere: its position can be named, and the version that sent its events is known. */
export const canGoOn = (stream: StreamState): boolean => canNamePosition(stream) && (!stream.hasEvents || stream.progress.softwareVersion !== undefined);
