/** Requests that come in a drain behind a stream on their connection: nobody would read their answers if the process ended before the stream. */
import type http from 'node:http';
import {setTimeout as sleep} from 'node:timers/promises';
import {findTrace} from '../telemetry/call-trace.js';
import {type CallContext} from './call-context.js';

/** Interval between looks at the answers before a request. */
const pollMs = 10;

const waited = new WeakSet<http.ServerResponse>();

/** An answer may be a stream until its call is admitted as another one, or refused. */
const mayBeStream = (response: http.ServerResponse): boolean => {
	const trace = findTrace(response);
	return !response.writableEnded && trace !== undefined && trace.isStream !== false;
};

const isBehindStream = ({gateway: {answers}, request, response}: CallContext): boolean => {
	const owed = answers.listOn(request.socket);
	return owed.slice(0, Math.max(0, owed.indexOf(response))).some(earlier => mayBeStream(earlier));
};

/** Waits until the streams before this request on its connection are written, or nobody waits for its answer any more. */
export const waitForEarlierStreams = async (context: CallContext): Promise<void> => {
	const {caller: {signal}, gateway: {lastAnswers}, response} = context;
	while (isBehindStream(context) && !signal.aborted && !lastAnswers.signal.aborted) {
		waited.add(response);
		await sleep(pollMs); // eslint-disable-line no-await-in-loop -- a poll
	}
};

/** Whether the request of this answer waited for a stream. Its caller sends requests without waiting for answers, so more may be on their way. */
export const hasWaitedForStream = (response: http.ServerResponse): boolean => waited.has(response);
