/** Forwards a stream of events to the caller as they arrive, in complete events only. */
import {type Buffer} from 'node:buffer';
import type http from 'node:http';
import {maxBytesWithoutEvent, maxCommentBytes, type ReadExcess} from '../read-bounds.js';
import {type IsComplete} from './backend-exchange.js';
import {type EventSplitter} from './event-splitter.js';
import {listEndToEndFields} from './end-to-end-fields.js';
import {makeTurnLimit} from './limit-turn.js';
import {type UnfinishedEvents} from './unfinished-events.js';
import {type ProgressBounds, watchProgress} from './watch-progress.js';

const excludedNames: ReadonlySet<string> = new Set(['content-length']);

/** Sends the status line and the end-to-end header fields of a backend server's response to the caller. */
export const writeStreamHead = (response: http.IncomingMessage, target: http.ServerResponse): void => {
	target.sendDate = false;
	target.writeHead(response.statusCode ?? 502, response.statusMessage, listEndToEndFields(response.rawHeaders, excludedNames));
	target.flushHeaders();
};

/** The backend server's response was interrupted, or given up as its signal was aborted or it exceeded a bound. The complete events received before were forwarded. */
export type BrokenStream = {readonly kind: 'broken'; readonly excess: ReadExcess | undefined; readonly isGivenUp: boolean};

export type ForwardEventsResult =
	| {readonly kind: 'complete'}
	| BrokenStream
	| {readonly kind: 'caller_left'};

export type ForwardEventsOptions = ProgressBounds & {
	/** Response of the backend server. */
	readonly response: http.IncomingMessage;
	readonly isComplete: IsComplete;
	/** Response to the caller. */
	readonly target: http.ServerResponse;
	readonly splitter: EventSplitter;
	/** Counts what all streams hold. */
	readonly unfinishedEvents: UnfinishedEvents;
	/** Called again and again while no bytes have come for so long, until some do. */
	readonly onSilence: () => void;
	/** The same while bytes came, but no event. */
	readonly onNoEvent: () => void;
	/** Aborted when the response is given up. */
	readonly givenUp: AbortSignal;
	/** Called for each chunk that completes at least one event, before the events are written to `target`. */
	readonly onEvents: () => void;
};

/** Forwards events until the stream ends. Does not end `target`, as an interrupted stream may be resumed on another backend server. */
export const forwardEvents = async (options: ForwardEventsOptions): Promise<ForwardEventsResult> => new Promise((resolve, reject) => {
	const {response, isComplete, target, splitter, unfinishedEvents, stallTimeoutMs, eventTimeoutMs, onSilence, onNoEvent, givenUp, onEvents} = options;
	let excess: ReadExcess | undefined;
	const progress = watchProgress({
		stallTimeoutMs, eventTimeoutMs,
		onStall: onSilence,
		onNoEvent() {
			// Silence is judged by the other timeout.
			if (splitter.countBytesWithoutEvent() > 0) {
				onNoEvent();
			}
		},
	});
	const breakOff = (found: ReadExcess): void => {
		excess = found;
		// The stream may wait for a successor, and would hold it meanwhile.
		splitter.discardPartialEvent();
		response.off('data', onData);
		response.destroy();
	};

	const onGivenUp = (): void => {
		response.off('data', onData);
		response.destroy();
	};

	const onDrain = (): void => {
		progress.resume();
		response.resume();
	};

	const stop = (): void => {
		progress.stop();
		hold.end();
		target.off('drain', onDrain);
		givenUp.removeEventListener('abort', onGivenUp);
	};

	const onTargetClose = (): void => {
		stop();
		resolve({kind: 'caller_left'});
	};

	const finish = async (): Promise<void> => {
		stop();
		const isWhole = await isComplete();
		target.off('close', onTargetClose);
		if (!isWhole || givenUp.aborted || excess !== undefined || splitter.hasPartialEvent()) {
			splitter.discardPartialEvent();
			resolve({kind: 'broken', excess, isGivenUp: givenUp.aborted && excess === undefined});
			return;
		}

		const comments = splitter.takeComments();
		if (comments !== undefined) {
			target.write(comments);
		}

		resolve({kind: 'complete'});
	};

	const onResponseClose = async (): Promise<void> => {
		try {
			await finish();
		} catch (error) {
			reject(error instanceof Error ? error : new Error(String(error)));
		}
	};

	const hold = unfinishedEvents.begin(() => {
		breakOff('bytes_without_event');
	});

	// The call may have been given up while its answer was waited for.
	if (response.closed) {
		void onResponseClose();
		return;
	}

	const forward = (events: Buffer): void => {
		if (target.write(events)) {
			return;
		}

		response.pause();
		progress.pause();
		target.once('drain', onDrain);
	};

	const turn = makeTurnLimit(response);
	const onData = (chunk: Buffer): void => {
		progress.onBytes();
		const events = splitter.push(chunk);
		if (splitter.countBytesWithoutEvent() > maxBytesWithoutEvent || splitter.countCommentBytes() > maxCommentBytes) {
			breakOff('bytes_without_event');
			return;
		}

		hold.set(splitter.countBytesWithoutEvent());
		if (events !== undefined) {
			progress.onEvent();
			turn.reset();
			onEvents();
			forward(events);
			return;
		}

		if (excess === undefined) {
			turn.onBytes(chunk.length);
		}
	};

	target.once('close', onTargetClose);
	givenUp.addEventListener('abort', onGivenUp);
	response.on('data', onData);
	// What came ahead of this may have been looked at, which pauses it.
	response.resume();
	response.on('error', () => {
		// Handled on 'close', which follows. Without this listener the error would end the process.
	});
	response.once('close', onResponseClose);
});
