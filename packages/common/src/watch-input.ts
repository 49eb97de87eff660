/**
 * Keeps what ends the input of a connection from ending its output. When no further request can be read, nothing more is parsed;
 * what is owed on the connection is answered whole and in order, then the error is sent, then the connection is closed.
 */
import type http from 'node:http';
import type net from 'node:net';
import {closeGently, discardInput} from './close-gently.js';
import {type OwedAnswers, type UnreadRequest} from './owed-answers.js';
import {breakOffRequest, type InputError} from './unreadable-request.js';

export type WatchInputOptions = {
	readonly server: http.Server;
	/** Knows all requests of the server. */
	readonly answers: OwedAnswers;
	/** Formats the response to what could not be read as a request. */
	readonly formatError: (error: InputError) => string;
	/** Called when the input of a connection has ended by an error. */
	readonly onUnreadable: (error: InputError, socket: net.Socket) => void;
	/** Whether requests for another protocol are refused. If not, they are served as if they asked for none. */
	readonly refusesUpgrades: boolean;
};

/** How often a late request is looked at while answers before it are under way. Node checks its connections as often. */
const recheckMs = 500;

const timeoutCode = 'ERR_HTTP_REQUEST_TIMEOUT';

const findInputError = ({code}: NodeJS.ErrnoException): InputError | undefined => {
	if (code === timeoutCode) {
		return {kind: 'request_timeout', reason: code};
	}

	if (code?.startsWith('HPE_') !== true) {
		return undefined;
	}

	return {kind: code === 'HPE_HEADER_OVERFLOW' ? 'headers_too_large' : 'invalid_request', reason: code};
};

/** Starts a timer that ends with the connection. */
const startTimer = (socket: net.Socket, ms: number, onTime: () => void): void => {
	const stop = (): void => {
		clearTimeout(timer);
	};

	const timer = setTimeout(() => {
		socket.off('close', stop);
		onTime();
	}, ms);
	socket.once('close', stop);
};

/** Does what Node does for its connections and no longer does for one that has left HTTP. */
const keepAnswering = (socket: net.Socket, answers: OwedAnswers): void => {
	socket.on('error', () => {/* 'close' follows */});
	socket.once('end', () => {
		socket.end();
	});
	socket.on('drain', () => {
		for (const response of answers.listOn(socket)) {
			response.emit('drain');
		}
	});
};

/**
 * Makes a request for another protocol the last one on its connection. Node serves it as if it asked for none, but drops what
 * came behind it in the same read, so that the rest of a request could be taken for one.
 */
const endBehindUpgrade = (request: http.IncomingMessage, response: http.ServerResponse): void => {
	const {headers, socket} = request;
	if (headers.upgrade === undefined) {
		return;
	}

	response.shouldKeepAlive = false;
	if (headers['content-length'] === undefined && headers['transfer-encoding'] === undefined) {
		discardInput(socket);
		return;
	}

	request.once('end', () => {
		discardInput(socket);
	});
};

export const watchInput = ({server, answers, formatError, onUnreadable, refusesUpgrades}: WatchInputOptions): void => {
	const ended = new WeakSet<net.Socket>();

	/** One function for all connections, so that each takes no more memory. */
	function closeBehindLastAnswer(this: net.Socket): void {
		answers.endOn(this);
		closeGently(this);
	}

	const endInput = (socket: net.Socket, error: InputError): void => {
		ended.add(socket);
		onUnreadable(error, socket);
		discardInput(socket);
		const unread = answers.findUnread(socket);
		if (unread !== undefined) {
			unread.response.shouldKeepAlive = false;
			breakOffRequest(unread.request, error);
		}

		answers.onSettled(socket, () => {
			// An unread request has its own response, and a closed output can tell nothing.
			if (unread === undefined && socket.writable) {
				socket.write(formatError(error));
			}

			closeGently(socket);
		});
	};

	/**
	 * Ends the input if the late request had all its time since the answer before it was out, or checks again later: Node tells
	 * only once that a request is late, be it in its head or its body. `number` counts the requests of the connection.
	 */
	const judgeTimeout = (socket: net.Socket, error: InputError, number: number): void => {
		const {heads, lastSettledAt = 0} = answers.getProgress(socket);
		const unread = answers.findUnread(socket);
		const isRead = heads > number || (heads === number && unread === undefined);
		if (socket.destroyed || ended.has(socket) || isRead) {
			return;
		}

		const ownAnswers = unread === undefined || unread.response.writableFinished ? 0 : 1;
		const isBehindAnswers = answers.countOn(socket) > ownAnswers;
		const deadline = lastSettledAt + (unread === undefined ? server.headersTimeout : server.requestTimeout);
		const remainingMs = isBehindAnswers ? recheckMs : deadline - performance.now();
		if (remainingMs <= 0) {
			endInput(socket, error);
			return;
		}

		startTimer(socket, remainingMs, () => {
			judgeTimeout(socket, error, number);
		});
	};

	const findLate = (socket: net.Socket): number => answers.getProgress(socket).heads + (answers.findUnread(socket) === undefined ? 1 : 0);

	server.on('connection', socket => {
		// Node closes a connection this way behind its last answer, at once, though its caller may still send.
		socket.destroySoon = closeBehindLastAnswer;
	});
	server.on('clientError', (error: NodeJS.ErrnoException, duplex) => {
		const socket = duplex as net.Socket;
		if (ended.has(socket)) {
			return;
		}

		const inputError = findInputError(error);
		if (inputError === undefined) {
			socket.destroy();
		} else if (inputError.kind === 'request_timeout') {
			judgeTimeout(socket, inputError, findLate(socket));
		} else {
			endInput(socket, inputError);
		}
	});
	server.on('timeout', (socket: net.Socket) => {
		const {bytesRead} = socket;
		// Timers run before input is read, so a request may stand unread.
		setImmediate(() => {
			if (socket.bytesRead === bytesRead && answers.countOn(socket) === 0) {
				closeGently(socket);
			}
		});
	});
	const refuseProtocol = (socket: net.Socket, error: InputError): void => {
		keepAnswering(socket, answers);
		endInput(socket, error);
	};

	server.on('connect', (_request, socket) => {
		refuseProtocol(socket as net.Socket, {kind: 'method_not_allowed', reason: 'connect'});
	});
	if (refusesUpgrades) {
		server.on('upgrade', (_request, socket) => {
			refuseProtocol(socket as net.Socket, {kind: 'invalid_request', reason: 'upgrade'});
		});
	} else {
		server.prependListener('request', endBehindUpgrade);
		server.prependListener('checkContinue', endBehindUpgrade);
	}
};
