/**
 * Passes what clients send to Node's parser, one request at a time, and only as far as there is room. Node makes a request and a response of each
 * head in a read before any of them is answered, and one read holds thousands of heads.
 */
import {type Buffer} from 'node:buffer';
import type http from 'node:http';
import type net from 'node:net';
import process from 'node:process';
import {discardInput, isInputDiscarded, onInputDiscarded} from '../close-gently.js';
import {makeLoopTurns} from '../loop-turns.js';
import {type OwedAnswers} from '../owed-answers.js';
import {type ClientAccount, recordProgress, recordReceived} from './client-account.js';
import {countPiece, type FieldCount} from './count-fields.js';
import {
	isBodyKept, isBodyUnread, isInChunks, watchBody,
} from './unread-body.js';
import {
	addInput, clearInput, countHeldInput, countInputBytes, emptyInput, hasInput, takePiece, type WaitingInput,
} from './waiting-input.js';

/** What all gates of a listener have in common. */
export type GateRules = {
	readonly answers: OwedAnswers;
	/** How many answers may be owed on a connection before no further request is parsed. */
	readonly getMaxAhead: () => number;
	/** Bytes of a head, or of trailers, as they are sent. */
	readonly getMaxFieldBytes: () => number;
	/** Called if there are more of them. */
	readonly onTooManyFieldBytes: (socket: net.Socket) => void;
	/** Adds to what clients are charged. */
	readonly charge: (bytes: number) => void;
};

type Parse = (piece: Buffer) => void;

type Gate = WaitingInput & FieldCount & {
	readonly rules: GateRules;
	readonly socket: net.Socket;
	/** Node's parser of the connection. */
	readonly parse: Parse;
	/** Parses in its turn. */
	readonly pumpInTurn: () => void;
	/** The request whose body is watched. */
	watched: http.IncomingMessage | undefined;
	isParsing: boolean;
	/** Whether the connection is not read, as much waits. */
	isPaused: boolean;
	/** Whether `pumpInTurn` waits for its turn. */
	isEnqueued: boolean;
};

/** Bytes that the parser is given at once. */
const maxPieceBytes = 16_384;

/** The same for a body in chunks that nobody reads yet, with their framing. */
const maxUnreadPieceBytes = 256;

/** Bytes that wait to be parsed. More stay in the kernel. They are read so far as the close of a client is seen only behind them. */
const maxWaitingBytes = 65_536;

/** Time of a turn of the loop in which input of clients is parsed. Requests that are refused at once would keep all others waiting. */
const maxParseTurnMs = 5;

/** The event loop is one for all of the process. */
const parseTurns = makeLoopTurns(maxParseTurnMs);

/** What Node notes at the connection while its answers have to be taken before more is parsed. */
type PausedByNode = {readonly _paused?: boolean};

const isPausedByNode = (socket: net.Socket & PausedByNode): boolean => socket._paused === true;

const isClosed = ({socket}: Gate): boolean => socket.destroyed || isInputDiscarded(socket);

/** Parses when the body of the request is read. */
const followBody = (gate: Gate, request: http.IncomingMessage): void => {
	if (gate.watched === request) {
		return;
	}

	gate.watched = request;
	const onReader = (): void => {
		if (hasInput(gate)) {
			process.nextTick(tryPump, gate);
		}
	};

	watchBody(request, {
		onBody() {
			gate.hasReadBody = true;
			onReader();
		},
		onReader,
	});
};

/** Whether nothing more is parsed for now. Something calls one of the pumps when that may end. */
const isHeld = (gate: Gate): boolean => {
	const {socket, rules: {answers, getMaxAhead}} = gate;
	if (isPausedByNode(socket)) {
		return true;
	}

	const unread = answers.findUnread(socket);
	if (unread === undefined) {
		return answers.countOn(socket) >= getMaxAhead();
	}

	if (!isBodyKept(unread)) {
		return false;
	}

	followBody(gate, unread.request);
	return true;
};

const getMaxPieceBytes = ({rules: {answers}, socket}: Gate): number => {
	const unread = answers.findUnread(socket);
	return unread !== undefined && isInChunks(unread) && isBodyUnread(unread) ? maxUnreadPieceBytes : maxPieceBytes;
};

const parsePiece = (gate: Gate): void => {
	const {rules, socket, account} = gate;
	const {answers} = rules;
	const wasInBody = answers.findUnread(socket) !== undefined;
	const piece = takePiece(gate, getMaxPieceBytes(gate));
	gate.parse(piece);
	if (isClosed(gate)) {
		return;
	}

	rules.charge(countPiece(gate, answers, {bytes: piece.length, wasInBody}));
	if (account.fieldBytes > rules.getMaxFieldBytes()) {
		rules.onTooManyFieldBytes(socket);
		return;
	}

	const unread = answers.findUnread(socket);
	if (unread !== undefined && isInChunks(unread)) {
		followBody(gate, unread.request);
	}
};

/** Reads the connection only while little waits. */
const updateReading = (gate: Gate): void => {
	const {rules, socket, account} = gate;
	const before = account.inputBytes;
	account.inputBytes = countHeldInput(gate);
	if (account.inputBytes > before) {
		rules.charge(account.inputBytes - before);
	}

	if (countInputBytes(gate) >= maxWaitingBytes) {
		gate.isPaused = true;
		// Node may have resumed it meanwhile.
		socket.pause();
	} else if (gate.isPaused) {
		gate.isPaused = false;
		if (!isPausedByNode(socket)) {
			socket.resume();
		}
	}
};

/** Whether no further request is owed an answer. */
const isBehindEnd = ({rules: {answers}, socket}: Gate): boolean => answers.isEndingOn(socket) && answers.findUnread(socket) === undefined;

const parseWaiting = (gate: Gate): void => {
	while (!isClosed(gate) && hasInput(gate) && !isHeld(gate)) {
		if (isBehindEnd(gate)) {
			discardInput(gate.socket);
			return;
		}

		parsePiece(gate);
	}
};

const pump = (gate: Gate): void => {
	// An answer may end, or a body be read, while a request is parsed.
	if (gate.isParsing || gate.socket.destroyed) {
		return;
	}

	gate.isParsing = true;
	try {
		parseWaiting(gate);
	} finally {
		gate.isParsing = false;
	}

	if (!isClosed(gate)) {
		updateReading(gate);
	}
};

/** Parses in a later turn: others go before what was sent ahead. */
const enqueuePump = (gate: Gate): void => {
	if (!gate.isEnqueued && hasInput(gate)) {
		gate.isEnqueued = true;
		parseTurns.enqueue(gate.pumpInTurn);
	}
};

/** Parses now if there is time. */
function tryPump(gate: Gate): void {
	if (parseTurns.hasTime()) {
		parseTurns.run(gate.pumpInTurn);
	} else {
		enqueuePump(gate);
		updateReading(gate);
	}
}

const stop = (gate: Gate): void => {
	clearInput(gate);
	gate.account.inputBytes = 0;
	gate.account.fieldBytes = 0;
};

const recordSettled = (gate: Gate): void => {
	const {rules: {answers}, socket, account} = gate;
	const owed = answers.countOn(socket);
	account.headBytes *= owed / (owed + 1);
	recordProgress(account);
	enqueuePump(gate);
};

/** Puts a gate between a connection and its parser. */
export const openInputGate = (account: ClientAccount, rules: GateRules): void => {
	const {socket} = account;
	const [parse] = socket.listeners('data') as Parse[];
	if (parse === undefined) {
		return;
	}

	const gate: Gate = {
		rules,
		socket,
		account,
		parse,
		first: emptyInput,
		behind: undefined,
		heads: 0,
		hasReadBody: false,
		watched: undefined,
		isParsing: false,
		isPaused: false,
		isEnqueued: false,
		pumpInTurn() {
			gate.isEnqueued = false;
			pump(gate);
		},
	};
	socket.removeListener('data', parse);
	socket.on('data', (chunk: Buffer) => {
		recordReceived(account, chunk.length);
		addInput(gate, chunk);
		tryPump(gate);
	});
	socket.on('resume', () => {
		enqueuePump(gate);
	});
	onInputDiscarded(socket, () => {
		stop(gate);
	});
	rules.answers.onEachSettled(socket, () => {
		recordSettled(gate);
	});
};
