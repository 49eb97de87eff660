/** What one connection of a client makes the process hold. */
import type net from 'node:net';
import {type OwedAnswers} from '../owed-answers.js';
import {
	bytesPerHeadByte, connectionBytes, connectionNativeBytes, requestBytes,
} from './client-costs.js';
import {type ListenerName} from './client-limits.js';

export type ClientAccount = {
	readonly socket: net.Socket;
	readonly listener: ListenerName;
	/** Undefined on listeners that are not HTTP. */
	readonly answers: OwedAnswers | undefined;
	/** Bytes of bodies, as their blocks take them. */
	bodyBytes: number;
	/** Bytes that were read and not parsed yet. */
	inputBytes: number;
	/** Bytes that the parser has taken since the last whole head or byte of a body. */
	fieldBytes: number;
	/** Bytes of the heads whose answers are owed. */
	headBytes: number;
	/** Bytes of answers that the client has not taken, as of the last count. */
	outputBytes: number;
	/** The same as of the count before. */
	lastOutputBytes: number;
	/** Bytes of requests that came since `progressAt`. */
	receivedBytes: number;
	/** When the client last did its part, on the clock of `performance.now()`: sent a good part of a request, or took an answer. */
	progressAt: number;
	/** Whether any request was read whole. */
	hasSentRequest: boolean;
	isGivenUp: boolean;
	/** Refuses the call whose body is being read. Undefined while none is. */
	giveUpBody: (() => void) | undefined;
};

export const makeClientAccount = (socket: net.Socket, listener: ListenerName, answers: OwedAnswers | undefined): ClientAccount => ({
	socket, listener, answers, bodyBytes: 0, inputBytes: 0, fieldBytes: 0, headBytes: 0, outputBytes: 0, lastOutputBytes: 0, receivedBytes: 0,
	progressAt: performance.now(), hasSentRequest: false, isGivenUp: false, giveUpBody: undefined,
});

/** Counts the answers that are owed on the connection. */
export const countOwed = ({socket, answers}: ClientAccount): number => answers?.countOn(socket) ?? 0;

/** Bytes in the JavaScript heap. */
export const computeObjectBytes = (account: ClientAccount): number =>
	connectionBytes + (countOwed(account) * requestBytes) + ((account.fieldBytes + account.headBytes) * bytesPerHeadByte);

/** All bytes that the connection is charged for. */
export const computeBytes = (account: ClientAccount): number =>
	computeObjectBytes(account) + connectionNativeBytes + account.bodyBytes + account.inputBytes + account.outputBytes;

/** Whether nothing goes on before the client does its part. A call that was read whole and has no answer yet waits for a backend server. */
export const isWaitingForClient = (account: ClientAccount): boolean =>
	countOwed(account) === 0 || account.outputBytes > 0 || account.socket.writableLength > 0 || account.answers?.findUnread(account.socket) !== undefined;

/** Bytes that a client must send to have done its part. One that sends a byte now and then does not. */
const progressBytes = 1024;

/** Records bytes of a request that came. */
export const recordReceived = (account: ClientAccount, bytes: number): void => {
	account.receivedBytes += bytes;
	if (account.receivedBytes >= progressBytes) {
		recordProgress(account);
	}
};

export const recordProgress = (account: ClientAccount): void => {
	account.receivedBytes = 0;
	account.progressAt = performance.now();
};
