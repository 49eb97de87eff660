/**
 * Passes what clients send to Node's parser, one request at a time, and only as far as there is room. Node makes a request and a response of each
 * head in a read before any of them is answered, and one read holds thousands of heads.
 */
import {Buffer} from 'node:buffer';
import {EventEmitter} from 'node:events';
import type http from 'node:http';
import type net from 'node:net';
import process from 'node:process';
import {discardInput, isInputDiscarded, onInputDiscarded} from '../close-gently.js';
import {makeGrowingBuffer} from '../growing-buffer.js';
import {makeLoopTurns} from '../loop-turns.js';
import {type OwedAnswers, type UnreadRequest} from '../owed-answers.js';
import {type ClientAccount, recordProgress, recordReceived} from './client-account.js';
import {bytesPerHeadByte, requestBytes} from './client-costs.js';

export type GateOptions = {
	readonly socket: net.Socket;
	readonly answers: OwedAnswers;
	readonly account: ClientAccount;
	/** How many answers may be owed on the connection before no further request is parsed. */
	readonly getMaxAhead: () => number;
	/** Bytes of a head, or of trailers, as they are sent. */
	readonly getMaxFieldBytes: () => number;
	/** Called once if there are more of them. */
	readonly onTooManyFieldBytes: () => void;
	/** Adds to what clients are charged. */
	readonly charge: (bytes: number) => void;
};

const nothing: Buffer = Buffer.alloc(0);

/** Ends a head. A piece that ends with it makes one request at most. */
const endOfHead = Buffer.from('\r\n\r\n');

/** Bytes that the parser is given at once. */
const maxPieceBytes = 16_384;

/** Bytes that wait to be parsed. More stay in the kernel. They are read so far as the close of a client is seen only behind them. */
const maxWaitingBytes = 65_536;

/** Time of a turn of the loop in which input of clients is parsed. Requests that are refused at once would keep all others waiting. */
const maxParseTurnMs = 5;

/** The event loop is one for all of the process. */
const parseTurns = makeLoopTurns(maxParseTurnMs);

/** What Node notes at the connection while its answers have to be taken before more is parsed. */
type PausedByNode = {readonly _paused?: boolean};

type Parse = (piece: Buffer) => void;

const findPieceEnd = (bytes: Buffer, maxBytes: number): number => {
	const searched = bytes.length > maxBytes ? bytes.subarray(0, maxBytes) : bytes;
	const end = searched.indexOf(endOfHead);
	return end === -1 ? searched.length : end + endOfHead.length;
};

/** Bytes of a body that are parsed before they are read, as Node keeps an object for each chunk. */
const maxUnreadBytes = 128;

/** The same for a body in chunks, with their framing. */
const maxUnreadPieceBytes = 256;

const isInChunks = ({request}: UnreadRequest): boolean => request.headers['transfer-encoding'] !== undefined;

/** Whether nobody reads the body yet. Those who read it by iteration tell no event. */
const isBodyUnread = ({request}: UnreadRequest): boolean => request.readableFlowing !== true && request.listenerCount('readable') === 0;

/** Whether what is parsed of the body is kept by Node. */
const isBodyKept = ({request}: UnreadRequest): boolean => request.readableLength >= maxUnreadBytes && request.listenerCount('readable') === 0;

export const openInputGate = ({socket, answers, account, getMaxAhead, getMaxFieldBytes, onTooManyFieldBytes, charge}: GateOptions): void => {
	const [parse] = socket.listeners('data') as Parse[];
	if (parse === undefined) {
		return;
	}

	/** What came first and is not parsed, and what came behind it. */
	let first = nothing;
	const behind = makeGrowingBuffer();
	let isParsing = false;
	let isPaused = false;
	let isScheduled = false;
	let watched: http.IncomingMessage | undefined;
	let hasReadBody = false;
	let heads = 0;

	const isClosed = (): boolean => socket.destroyed || isInputDiscarded(socket);

	const onBody = (): void => {
		hasReadBody = true;
		if (first.length > 0) {
			schedulePump();
		}
	};

	/** Learns when the body is read, without beginning to read it. */
	const watchBody = (request: http.IncomingMessage): void => {
		if (watched === request) {
			return;
		}

		watched = request;
		const listen = (): void => {
			// One that Node drops loses its listeners. The method of streams would begin to read the body.
			if (!request.listeners('data').includes(onBody)) {
				EventEmitter.prototype.on.call(request, 'data', onBody);
			}

			schedulePump();
		};

		listen();
		request.on('resume', listen);
		request.on('newListener', schedulePump);
	};

	const isHeld = (): boolean => {
		if ((socket as PausedByNode)._paused === true) {
			return true;
		}

		const unread = answers.findUnread(socket);
		if (unread === undefined) {
			return answers.countOn(socket) >= getMaxAhead();
		}

		if (isBodyKept(unread)) {
			watchBody(unread.request);
			return true;
		}

		return false;
	};

	const getMaxPieceBytes = (): number => {
		const unread = answers.findUnread(socket);
		return unread !== undefined && isInChunks(unread) && isBodyUnread(unread) ? maxUnreadPieceBytes : maxPieceBytes;
	};

	/** Counts what the parser keeps of fields: those of a head that has not ended, or of trailers. */
	const countFields = (bytes: number, wasInBody: boolean): void => {
		const progress = answers.getProgress(socket);
		const unread = answers.findUnread(socket);
		account.fieldBytes += bytes;
		if (progress.heads > heads) {
			heads = progress.heads;
			account.headBytes += account.fieldBytes;
			account.hasSentRequest ||= unread === undefined;
			account.fieldBytes = 0;
			recordProgress(account);
			charge(requestBytes);
		} else if (unread === undefined ? wasInBody || answers.isEndingOn(socket) : hasReadBody || unread.request.readableLength > 0 || !isInChunks(unread)) {
			account.fieldBytes = 0;
		} else {
			charge(bytes * bytesPerHeadByte);
		}

		hasReadBody = false;
		if (unread === undefined) {
			account.hasSentRequest ||= heads > 0;
		} else if (isInChunks(unread)) {
			watchBody(unread.request);
		}
	};

	const parsePiece = (): void => {
		const end = findPieceEnd(first, getMaxPieceBytes());
		const isLast = end === first.length;
		const piece = isLast ? first : first.subarray(0, end);
		// A part without bytes would hold all that was read with it.
		first = isLast ? nothing : first.subarray(end);
		const wasInBody = answers.findUnread(socket) !== undefined;
		parse(piece);
		if (isClosed()) {
			return;
		}

		countFields(piece.length, wasInBody);
		if (account.fieldBytes > getMaxFieldBytes()) {
			onTooManyFieldBytes();
		}
	};

	const takeBehind = (): boolean => {
		if (first.length === 0 && behind.getLength() > 0) {
			first = behind.take();
		}

		return first.length > 0;
	};

	const stop = (): void => {
		first = nothing;
		behind.take();
		account.inputBytes = 0;
		account.fieldBytes = 0;
	};

	const updateReading = (): void => {
		const before = account.inputBytes;
		// What is left of a read holds all of it.
		account.inputBytes = first.buffer.byteLength + behind.getCapacity();
		charge(Math.max(0, account.inputBytes - before));
		if (first.length + behind.getLength() >= maxWaitingBytes) {
			isPaused = true;
			// Node may have resumed it meanwhile.
			socket.pause();
		} else if (isPaused) {
			isPaused = false;
			if ((socket as PausedByNode)._paused !== true) {
				socket.resume();
			}
		}
	};

	const pumpNow = (): void => {
		isScheduled = false;
		if (isParsing || socket.destroyed) {
			return;
		}

		isParsing = true;
		try {
			while (!isClosed() && takeBehind() && !isHeld()) {
				if (answers.isEndingOn(socket) && answers.findUnread(socket) === undefined) {
					// No further request is owed an answer.
					discardInput(socket);
					break;
				}

				parsePiece();
			}
		} finally {
			isParsing = false;
		}

		if (!isClosed()) {
			updateReading();
		}
	};

	/** Parses in a later turn: an answer may end while a request is parsed, and others go before what was sent ahead. */
	const enqueuePump = (): void => {
		if (!isScheduled && (first.length > 0 || behind.getLength() > 0)) {
			isScheduled = true;
			parseTurns.enqueue(pumpNow);
		}
	};

	/** Parses now if there is time. */
	const pump = (): void => {
		if (parseTurns.hasTime()) {
			parseTurns.run(pumpNow);
		} else {
			enqueuePump();
			updateReading();
		}
	};

	/** Parses soon: the body of the request begins to be read. */
	function schedulePump(): void {
		if (first.length > 0) {
			process.nextTick(pump);
		}
	}

	socket.removeListener('data', parse);
	socket.on('data', (chunk: Buffer) => {
		recordReceived(account, chunk.length);
		if (first.length === 0 && behind.getLength() === 0) {
			first = chunk;
		} else {
			behind.add(chunk);
		}

		pump();
	});
	socket.on('resume', enqueuePump);
	onInputDiscarded(socket, stop);
	answers.onEachSettled(socket, () => {
		const owed = answers.countOn(socket);
		account.headBytes *= owed / (owed + 1);
		recordProgress(account);
		enqueuePump();
	});
};
