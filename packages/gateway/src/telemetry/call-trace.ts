/** What was done for a call and what it waits for, to tell why its answer ended before it was whole. */
import type http from 'node:http';

/** What a call waits for. `delivery`: nothing but the transfer of what was written. */
export type AwaitedThing = 'admission' | 'head' | 'answer' | 'room' | 'version' | 'retry' | 'delivery';

export type CallTrace = {
	awaited: AwaitedThing;
	/** Since when, on the steady clock. */
	since: number;
	/** Undefined before the call is admitted. */
	isStream: boolean | undefined;
	/** The last sends, oldest first. */
	readonly sends: SendRecord[];
};

/** One send of a call to a backend server or a peer. */
export type SendRecord = {
	/** Backend server, or address of the peer. */
	readonly target: string;
	/** What it came to: a status, or why there was no answer. */
	readonly result: string;
	/** Why its answer ended early, if it did. `given_up_...` if this daemon gave it up. */
	end?: string;
};

/** More sends than a call has with the most attempts, but for those that wait for room. */
const maxSends = 8;

const traces = new WeakMap<http.ServerResponse, CallTrace>();

/** Begins to trace the call that `response` answers. `now`: on the steady clock. */
export const trackCall = (response: http.ServerResponse, now: number): CallTrace => {
	const trace: CallTrace = {
		awaited: 'admission', since: now, isStream: undefined, sends: [],
	};
	traces.set(response, trace);
	return trace;
};

export const findTrace = (response: http.ServerResponse): CallTrace | undefined => traces.get(response);

export const recordAwaited = (trace: CallTrace, awaited: AwaitedThing, now: number): void => {
	if (trace.awaited !== awaited) {
		trace.awaited = awaited;
		trace.since = now;
	}
};

export const recordSend = ({sends}: CallTrace, target: string, result: number | string | undefined): void => {
	sends.push({target, result: String(result)});
	if (sends.length > maxSends) {
		sends.shift();
	}
};

/** Records why the newest answer of `target` ended early. */
export const recordSendEnd = ({sends}: CallTrace, target: string, end: string): void => {
	const send = sends.findLast(({target: other, end: known}) => other === target && known === undefined);
	if (send !== undefined) {
		send.end = end;
	}
};

/** Formats the sends for a log line, oldest first. */
export const formatSends = ({sends}: CallTrace): string => sends.map(({target, result, end}) => `${target} ${result}${end === undefined ? '' : ` ${end}`}`).join(', ');
