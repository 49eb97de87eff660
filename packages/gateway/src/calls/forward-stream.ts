/** Forwards a stream of events to the caller as they arrive, in complete events only. */
import {type Buffer} from 'node:buffer';
import type http from 'node:http';
import {type IsComplete} from './backend-exchange.js';
import {type EventSplitter} from './event-splitter.js';
import {listEndToEndFields} from './end-to-end-fields.js';

const excludedNames: ReadonlySet<string> = new Set(['content-length']);

/**
 * Sends the status line and the end-to-end header fields of a backend server's response to the caller.
 * `isLastOnConnection` tells the caller that the connection is closed after this response.
 */
export const writeStreamHead = (response: http.IncomingMessage, target: http.ServerResponse, isLastOnConnection: boolean): void => {
	target.sendDate = false;
	target.writeHead(response.statusCode ?? 502, response.statusMessage, [
		...listEndToEndFields(response.rawHeaders, excludedNames),
		...(isLastOnConnection ? ['Connection', 'close'] : []),
	]);
	target.flushHeaders();
};

export type ForwardEventsResult =
	| 'complete'
	/** The backend server's response was interrupted. The complete events received before were forwarded. */
	| 'broken'
	| 'caller_left';

export type ForwardEventsOptions = {
	/** Response of the backend server. */
	readonly response: http.IncomingMessage;
	readonly isComplete: IsComplete;
	/** Response to the caller. */
	readonly target: http.ServerResponse;
	readonly splitter: EventSplitter;
	/** Time without data after which the stream counts as interrupted; undefined, for no timeout, if it cannot be resumed on another backend server. */
	readonly stallTimeoutMs: number | undefined;
	/** Called for each chunk that completes at least one event, before the events are written to `target`. */
	readonly onEvents: () => void;
};

/** Forwards events until the stream ends. Does not end `target`, as an interrupted stream may be resumed on another backend server. */
export const forwardEvents = async (options: ForwardEventsOptions): Promise<ForwardEventsResult> => new Promise(resolve => {
	const {response, isComplete, target, splitter, stallTimeoutMs, onEvents} = options;
	const onTargetClose = (): void => {
		clearTimeout(stallTimer);
		resolve('caller_left');
	};

	const stallTimer = stallTimeoutMs === undefined
		? undefined
		: setTimeout(() => {
			response.destroy();
		}, stallTimeoutMs);
	const onResponseClose = async (): Promise<void> => {
		clearTimeout(stallTimer);
		const isWhole = await isComplete();
		target.off('close', onTargetClose);
		resolve(isWhole && !splitter.hasPartialEvent() ? 'complete' : 'broken');
	};

	// The call may have been given up while its answer was waited for.
	if (response.closed) {
		void onResponseClose();
		return;
	}

	target.once('close', onTargetClose);
	response.on('data', (chunk: Buffer) => {
		stallTimer?.refresh();
		const events = splitter.push(chunk);
		if (events === undefined) {
			return;
		}

		onEvents();
		if (!target.write(events)) {
			response.pause();
			target.once('drain', () => {
				response.resume();
			});
		}
	});
	response.on('error', () => {
		// Handled on 'close', which follows. Without this listener the error would end the process.
	});
	response.once('close', onResponseClose);
});
