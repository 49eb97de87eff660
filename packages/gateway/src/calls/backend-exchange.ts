/** Sends a single call to a backend server and reports whether the call may have reached it. */
import {type Buffer} from 'node:buffer';
import type http from 'node:http';
import {setImmediate as nextTurn} from 'node:timers/promises';
import {parseHostAndPort} from '../host-and-port.js';
import {isValidStatusLine} from '../is-valid-status-line.js';
import {
	type AgentRequestOptions, type BackendAgent, getConnectionNumber, hasConnectionFailed, isConnectionDoubtful,
} from './backend-agent.js';
import {isCloseDelimited} from './body-framing.js';
import {type BegunAnswer} from './confirm-end.js';
import {
	closeRequest, openCallRequest, resetRequest, wasGivenUp,
} from './open-call-request.js';
import {type SendPermit} from './send-permit.js';

/**
 * Delivery of a call that got no response. `unsent`: no byte was sent. `unknown`: data was handed to
 * the connection, and the backend server may have run the call.
 */
export type DeliveryStatus = 'unsent' | 'unknown';

/** Whether the response was received completely. Called after the response has ended. */
export type IsComplete = () => Promise<boolean>;

export type ExchangeResult =
	| {
		readonly kind: 'answered'; readonly response: http.IncomingMessage; readonly isComplete: IsComplete;
		/** Number of the connection, and of the one that had been established last when the call was written. */
		readonly connection: number | undefined; readonly lastConnectionAtSend: number;
		/** Whether the connection was doubtful before this answer. */
		readonly isDoubtful: boolean;
	}
	| {readonly kind: 'failed'; readonly delivery: DeliveryStatus; readonly reason: string; readonly isConnectFailure: boolean};

export type Exchange = {
	readonly result: Promise<ExchangeResult>;
	/** Cancels the call and closes its connection, or resets it if nothing tells that the call has arrived. */
	readonly abort: () => void;
	/** Cancels the call and resets its connection, which also discards data that was not delivered yet. */
	readonly reset: () => void;
};

export type ExchangeOptions = {
	/** Aborted when nobody waits for the answer any more. */
	readonly signal: AbortSignal;
	readonly permit: SendPermit;
	/** Called for each informational head, which tells that the backend server works on the call. */
	readonly onInformation?: () => void;
	readonly agent: BackendAgent;
	readonly address: string;
	readonly method: string;
	readonly path: string;
	/** Header fields as alternating names and values. */
	readonly fields: readonly string[];
	readonly body: Buffer | undefined;
	/** Whether the call may be sent on a doubtful connection. */
	readonly acceptsDoubt?: boolean;
	/** Timeout for opening a new connection. */
	readonly connectTimeoutMs: number;
	/**
	 * Called when an answer has begun. Returns what finds out whether its process lives on, asked after the end of one that ends with its connection, which
	 * looks whole if the process ended midway.
	 */
	readonly watchEnd?: (answer: BegunAnswer) => () => Promise<boolean>;
};

/** The exchange of a call that was not sent, as nobody waits for its answer. */
const unsentExchange: Exchange = {
	result: Promise.resolve({
		kind: 'failed', delivery: 'unsent', reason: 'given_up', isConnectFailure: false,
	}),
	abort() {/* Nothing was sent. */},
	reset() {/* Nothing was sent. */},
};

/** Statuses of answers that end with their head. */
const bodilessStatuses: ReadonlySet<number> = new Set([204, 304]);

/** Status of an answer whose body is empty, though it is read as one of others. */
const resetContentStatus = 205;

/** Whether only the close of its connection marks the end of the answer's body. */
const hasUnframedBody = (response: http.IncomingMessage, method: string): boolean =>
	method !== 'HEAD' && !bodilessStatuses.has(response.statusCode ?? 0) && isCloseDelimited(response);

/**
 * Whether an answer ended with its connection before the first byte of its body. HTTP takes it for whole and empty, but so ends one that breaks off behind its
 * head, and a signature tells who answers, not how much. A server that means an empty body states its length.
 */
const hasEndedBeforeBody = (response: http.IncomingMessage, method: string): boolean =>
	hasUnframedBody(response, method) && response.statusCode !== resetContentStatus && !response.readableDidRead;

/** Sends a call, unless nobody waits for its answer. There is no built-in deadline: the signal is aborted when the deadline passes. */
export const sendToBackend = (options: ExchangeOptions): Exchange => {
	const {host, port} = parseHostAndPort(options.address);
	let hasArrived = false;
	/** A call without any answer may still be under way: a link may hold it, though other calls to the same backend server are answered. */
	const giveUp = (openRequest: http.ClientRequest): void => {
		if (hasArrived) {
			closeRequest(openRequest);
		} else {
			resetRequest(openRequest);
		}
	};

	const requestOptions: AgentRequestOptions = {
		agent: options.agent, host, port, method: options.method, path: options.path, headers: options.fields, setHost: false, acceptsDoubt: options.acceptsDoubt === true,
	};
	const request = openCallRequest({
		request: requestOptions,
		permit: options.permit,
		signal: options.signal,
		giveUp,
	});
	if (request === undefined) {
		return unsentExchange;
	}

	let isSent = false;
	let lastConnectionAtSend = 0;
	const markSent = (): void => {
		isSent = true;
		lastConnectionAtSend = options.agent.lastConnection;
	};

	let hasFailed = false;
	let connectTimer: NodeJS.Timeout | undefined;
	let failureReason: string | undefined;

	const result = new Promise<ExchangeResult>(resolve => {
		const fail = (reason: string): void => {
			clearTimeout(connectTimer);
			resolve({
				kind: 'failed', delivery: isSent ? 'unknown' : 'unsent', reason: failureReason ?? reason, isConnectFailure: !isSent,
			});
		};

		request.on('socket', socket => {
			if (!socket.connecting) {
				markSent();
				return;
			}

			// A host without power does not reply to connection attempts, and the operating
			// system's connect timeout is longer than any deadline.
			connectTimer = setTimeout(() => {
				failureReason = 'connect_timeout';
				request.destroy();
			}, options.connectTimeoutMs);
			socket.once('connect', () => {
				markSent();
				clearTimeout(connectTimer);
			});
		});
		request.on('information', () => {
			hasArrived = true;
			options.onInformation?.();
		});
		request.on('response', response => {
			hasArrived = true;
			clearTimeout(connectTimer);
			if (!isValidStatusLine(response)) {
				fail('invalid_status_line');
				closeRequest(request);
				return;
			}

			const {socket} = request;
			if (!request.writableFinished) {
				// The response arrived before the request body was sent completely. The server would
				// read the rest of the body as the next request on this connection.
				request.shouldKeepAlive = false;
			}

			const connection = getConnectionNumber(socket);
			const livesOn = options.watchEnd?.({response, connection, isUnframed: hasUnframedBody(response, options.method)});
			resolve({
				kind: 'answered',
				response,
				connection,
				lastConnectionAtSend,
				isDoubtful: isConnectionDoubtful(socket),
				async isComplete() {
					if (isCloseDelimited(response)) {
						// The agent probes the closed connection with a write, whose error is reported on a later event loop turn.
						await nextTurn();
						await nextTurn();
					}

					const isWhole = response.complete && !hasFailed && !wasGivenUp(request) && !hasConnectionFailed(socket) && !hasEndedBeforeBody(response, options.method);
					if (!isWhole || !hasUnframedBody(response, options.method)) {
						return isWhole;
					}

					// The end must have come from the other side: a connection that is closed here ends the body too.
					const isEndReceived = socket?.readableEnded === true;
					return isEndReceived && (livesOn === undefined || livesOn());
				},
			});
		});
		request.on('error', error => {
			hasFailed = true;
			fail((error as NodeJS.ErrnoException).code ?? error.message);
		});
		request.on('close', () => {
			fail('closed');
		});
	});

	request.end(options.body);
	return {
		result,
		abort() {
			giveUp(request);
		},
		reset() {
			resetRequest(request);
		},
	};
};
