/** Tells whether an answer to a stream that goes on has an event, without taking anything from it. */
import {Buffer} from 'node:buffer';
import type http from 'node:http';
import {makeEventSplitter} from './event-splitter.js';
import {type AnsweredAttempt} from './stream-state.js';

/**
 * Time after its head for which the first event is waited for, in milliseconds. A head tells that the backend server took the stream; the
 * run before it ends within 400 ms of that.
 */
const firstEventWaitMs = 300;

/** Bytes that are read ahead. A longer event shows that the run goes on; comments do not. */
const maxBytesAhead = 65_536;

/** `accepted`: an event has come, or the rest of the stream is empty, or the head has been there for a while. */
export type FirstEventFinding = 'accepted' | 'without_event' | 'aborted';

/** Pauses the response. What was read of it is put back. */
export const waitForFirstEvent = async ({response, attempt}: AnsweredAttempt, signal: AbortSignal): Promise<FirstEventFinding> => {
	if (signal.aborted) {
		return 'aborted';
	}

	const finding = await watchFirstEvent(response, signal);
	if (finding !== 'ended') {
		return finding;
	}

	return await attempt.isComplete() && !signal.aborted ? 'accepted' : 'without_event';
};

const watchFirstEvent = async (response: http.IncomingMessage, signal: AbortSignal): Promise<FirstEventFinding | 'ended'> => new Promise(resolve => {
	const splitter = makeEventSplitter();
	const chunks: Buffer[] = [];
	const finish = (finding: FirstEventFinding | 'ended'): void => {
		clearTimeout(timer);
		signal.removeEventListener('abort', onAbort);
		response.off('data', onData);
		response.off('close', onClose);
		response.pause();
		if (finding === 'accepted' && chunks.length > 0) {
			response.unshift(Buffer.concat(chunks));
		}

		resolve(finding);
	};

	const onAbort = (): void => {
		finish('aborted');
	};

	const onClose = (): void => {
		finish(splitter.hasPartialEvent() ? 'without_event' : 'ended');
	};

	const onData = (chunk: Buffer): void => {
		chunks.push(chunk);
		if (splitter.push(chunk) !== undefined) {
			finish('accepted');
		} else if (splitter.countBytesWithoutEvent() > maxBytesAhead) {
			finish(splitter.hasPartialEvent() ? 'accepted' : 'without_event');
		}
	};

	const timer = setTimeout(() => {
		finish('accepted');
	}, firstEventWaitMs);
	response.on('error', () => {
		// Handled on 'close', which follows. Without this listener the error would end the process.
	});
	signal.addEventListener('abort', onAbort);
	response.once('close', onClose);
	response.on('data', onData);
	if (response.closed) {
		onClose();
	}
});
