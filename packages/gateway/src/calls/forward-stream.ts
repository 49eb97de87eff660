/** Forwards a stream of events to the caller as they arrive, in complete events only. */
import {type Buffer} from 'node:buffer';
import type http from 'node:http';
import {type IsComplete} from './backend-exchange.js';
import {type EventSplitter} from './event-splitter.js';
import {listEndToEndFields} from './end-to-end-fields.js';

const contentLengthField: ReadonlySet<string> = new Set(['content-length']);

export const writeStreamHead = (response: http.IncomingMessage, target: http.ServerResponse, isLastOnConnection: boolean): void => {
	target.sendDate = false;
	target.writeHead(response.statusCode ?? 502, response.statusMessage, [
		...listEndToEndFields(response.rawHeaders, contentLengthField),
		...(isLastOnConnection ? ['Connection', 'close'] : []),
	]);
	target.flushHeaders();
};

export type ForwardStreamResult =
	| 'complete'
	/** The response was interrupted; its complete events were forwarded. */
	| 'broken'
	| 'caller_left';

export type ForwardStreamOptions = {
	readonly response: http.IncomingMessage;
	readonly isComplete: IsComplete;
	readonly target: http.ServerResponse;
	readonly splitter: EventSplitter;
	/** Time without data after which the stream counts as interrupted; undefined if it cannot be resumed on another backend server. */
	readonly stallTimeoutMs: number | undefined;
	readonly onEvents: () => void;
};

/** Forwards events until the stream ends. Does not end `target`, as an interrupted stream may be resumed on another backend server. */
export const forwardEvents = async (options: ForwardStreamOptions): Promise<ForwardStreamResult> => new Promise(resolve => {
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
	response.once('close', async () => {
		clearTimeout(stallTimer);
		const isBodyComplete = await isComplete();
		target.off('close', onTargetClose);
		resolve(isBodyComplete && !splitter.hasPartialEvent() ? 'complete' : 'broken');
	});
});
