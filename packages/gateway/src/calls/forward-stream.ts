/** Forwards a stream of events to the caller as they arrive, in complete events only. */
import {type Buffer} from 'node:buffer';
import type http from 'node:http';
import {maxBytesWithoutEvent, maxCommentBytes, type ReadExcess} from '../read-bounds.js';
import {type IsComplete} from './backend-exchange.js';
import {type EventSplitter} from './event-splitter.js';
import {listEndToEndFields} from './end-to-end-fields.js';
import {makeTurnLimit} from './limit-turn.js';
import {type ProgressBounds, watchProgress} from './watch-progress.js';

const excludedNames: ReadonlySet<string> = new Set(['content-length']);

/** Sends the status line and the end-to-end header fields of a backend server's response to the caller. */
export const writeStreamHead = (response: http.IncomingMessage, target: http.ServerResponse): void => {
	target.sendDate = false;
	target.writeHead(response.statusCode ?? 502, response.statusMessage, listEndToEndFields(response.rawHeaders, excludedNames));
	target.flushHeaders();
};

/** The backend server's response was interrupted, or given up as it exceeded a bound or was silent. The complete events received before were forwarded. */
export type BrokenStream = {readonly kind: 'broken'; readonly excess: ReadExcess | undefined; readonly isStalled: boolean};

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
	/** Whether the stream is given up in which no bytes came for so long. Asked again and again. */
	readonly isStalled: () => boolean;
	/** The same for bytes without an event. Returns why it is given up. */
	readonly findExcess: () => ReadExcess | undefined;
	/** Called for each chunk that completes at least one event, before the events are written to `target`. */
	readonly onEvents: () => void;
};

/** Forwards events until the stream ends. Does not end `target`, as an interrupted stream may be resumed on another backend server. */
export const forwardEvents = async (options: ForwardEventsOptions): Promise<ForwardEventsResult> => new Promise((resolve, reject) => {
	const {response, isComplete, target, splitter, stallTimeoutMs, eventTimeoutMs, isStalled, findExcess, onEvents} = options;
	let excess: ReadExcess | undefined;
	let hasStalled = false;
	const breakOff = (found: ReadExcess): void => {
		excess = found;
		response.destroy();
	};

	const progress = watchProgress({
		stallTimeoutMs, eventTimeoutMs,
		onStall() {
			if (isStalled()) {
				hasStalled = true;
				response.destroy();
			}
		},
		onNoEvent() {
			// Silence is judged by the other timeout.
			const found = splitter.countBytesWithoutEvent() > 0 ? findExcess() : undefined;
			if (found !== undefined) {
				breakOff(found);
			}
		},
	});
	const onTargetClose = (): void => {
		progress.stop();
		resolve({kind: 'caller_left'});
	};

	const finish = async (): Promise<void> => {
		progress.stop();
		const isWhole = await isComplete();
		target.off('close', onTargetClose);
		if (!isWhole || excess !== undefined || splitter.hasPartialEvent()) {
			resolve({kind: 'broken', excess, isStalled: hasStalled});
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
		target.once('drain', () => {
			progress.resume();
			response.resume();
		});
	};

	const turn = makeTurnLimit(response);
	target.once('close', onTargetClose);
	response.on('data', (chunk: Buffer) => {
		progress.onBytes();
		const events = splitter.push(chunk);
		if (splitter.countBytesWithoutEvent() > maxBytesWithoutEvent || splitter.countCommentBytes() > maxCommentBytes) {
			breakOff('bytes_without_event');
			return;
		}

		if (events !== undefined) {
			progress.onEvent();
			turn.reset();
			onEvents();
			forward(events);
			return;
		}

		turn.onBytes(chunk.length);
	});
	response.on('error', () => {
		// Handled on 'close', which follows. Without this listener the error would end the process.
	});
	response.once('close', onResponseClose);
});
