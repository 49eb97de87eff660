/** Answers of backend servers as bytes, in the framings that HTTP allows and in some that it does not, to be cut at any byte. */
import {type ScriptStep} from '@shallotpass/stand-ins/scripted-server.js';

export type AnswerParts = {
	readonly statusLine: string;
	readonly fields: readonly string[];
	readonly body: string;
};

export type AnswerBytes = {
	readonly text: string;
	/** Number of the bytes up to the end of the head. */
	readonly headBytes: number;
	/** Whether its body ends with the connection, so that a close in the body can't be told from its end. */
	readonly isUnframed: boolean;
	/** Whether it has no body, whatever its fields state. */
	readonly isBodiless: boolean;
};

export type AnswerShape = {
	readonly name: string;
	/** Byte before which a pause is made. Undefined for none. */
	readonly findPause?: (answer: AnswerBytes) => number;
	/** Method of the call if it is not that of its route. */
	readonly method?: 'HEAD';
	readonly isBodiless?: boolean;
	readonly statusLine?: string;
	/** Whether Node's client does not read it, so that no answer is passed on. */
	readonly isUnreadable?: boolean;
	readonly format: (parts: AnswerParts) => Omit<AnswerBytes, 'isBodiless'>;
};

const lineEnd = '\r\n';

const formatAnswer = (head: readonly string[], body: string, {isUnframed = false, before = '', ending = lineEnd} = {}): Omit<AnswerBytes, 'isBodiless'> => {
	const headText = before + [...head, '', ''].join(ending);
	return {text: headText + body, headBytes: headText.length, isUnframed};
};

const splitBody = (body: string): string[] => [body.slice(0, 5), body.slice(5, 20), body.slice(20)].filter(part => part !== '');

const formatChunks = (body: string, trailers: readonly string[] = []): string =>
	[...splitBody(body).flatMap(part => [part.length.toString(16), part]), '0', ...trailers, '', ''].join(lineEnd);

const chunked = 'Transfer-Encoding: chunked';
const closing = 'Connection: close';
const formatLength = (body: string): string => `Content-Length: ${body.length}`;
const informationalHeads = ['HTTP/1.1 100 Continue', '', 'HTTP/1.1 103 Early Hints', 'Link: </a>', '', ''].join(lineEnd);
const processingHead = ['HTTP/1.1 102 Processing', closing, '', ''].join(lineEnd);

const withLengthLast = ({statusLine, fields, body}: AnswerParts): Omit<AnswerBytes, 'isBodiless'> => formatAnswer([statusLine, ...fields, formatLength(body)], body);
const withChunks = ({statusLine, fields, body}: AnswerParts): Omit<AnswerBytes, 'isBodiless'> => formatAnswer([statusLine, ...fields, chunked], formatChunks(body));
const withoutLength = ({statusLine, fields, body}: AnswerParts): Omit<AnswerBytes, 'isBodiless'> => formatAnswer([statusLine, ...fields, closing], body, {isUnframed: true});
const toOldVersion = (statusLine: string): string => statusLine.replace('HTTP/1.1', 'HTTP/1.0');

/** Shapes of answers with success. */
export const successShapes: readonly AnswerShape[] = [
	{name: 'length first', format: ({statusLine, fields, body}) => formatAnswer([statusLine, formatLength(body), ...fields], body)},
	{name: 'length last', format: withLengthLast},
	{name: 'chunks', format: withChunks},
	{name: 'chunks, closing', format: ({statusLine, fields, body}) => formatAnswer([statusLine, closing, ...fields, chunked], formatChunks(body))},
	{name: 'length, closing', format: ({statusLine, fields, body}) => formatAnswer([statusLine, closing, ...fields, formatLength(body)], body)},
	{name: 'neither', format: withoutLength},
	{name: 'neither, without a closing field', format: ({statusLine, fields, body}) => formatAnswer([statusLine, ...fields], body, {isUnframed: true})},
	{name: 'another transfer coding', format: ({statusLine, fields, body}) => formatAnswer([statusLine, ...fields, 'Transfer-Encoding: identity'], body, {isUnframed: true})},
	{name: 'trailers', format: ({statusLine, fields, body}) => formatAnswer([statusLine, ...fields, chunked, 'Trailer: X-Sum'], formatChunks(body, ['X-Sum: 1']))},
	{name: 'informational heads, length', format: ({statusLine, fields, body}) => formatAnswer([statusLine, ...fields, formatLength(body)], body, {before: informationalHeads})},
	{name: 'informational heads, chunks', format: ({statusLine, fields, body}) => formatAnswer([statusLine, ...fields, chunked], formatChunks(body), {before: informationalHeads})},
	{name: 'informational heads, neither', format: ({statusLine, fields, body}) => formatAnswer([statusLine, ...fields], body, {before: informationalHeads, isUnframed: true})},
	{name: 'an informational head that closes, neither', isUnreadable: true, format: ({statusLine, fields, body}) => formatAnswer([statusLine, ...fields], body, {before: processingHead, isUnframed: true})},
	{name: 'HTTP/1.0, length', format: ({statusLine, fields, body}) => formatAnswer([toOldVersion(statusLine), ...fields, formatLength(body)], body)},
	{name: 'HTTP/1.0, neither', format: ({statusLine, fields, body}) => formatAnswer([toOldVersion(statusLine), ...fields], body, {isUnframed: true})},
	{name: 'HTTP/1.0, kept', format: ({statusLine, fields, body}) => formatAnswer([toOldVersion(statusLine), ...fields, 'Connection: keep-alive', formatLength(body)], body)},
	{name: 'bare LF, length', isUnreadable: true, format: ({statusLine, fields, body}) => formatAnswer([statusLine, ...fields, formatLength(body)], body, {ending: '\n'})},
	{name: 'bare LF, neither', isUnreadable: true, format: ({statusLine, fields, body}) => formatAnswer([statusLine, ...fields], body, {ending: '\n', isUnframed: true})},
	{name: 'folded lines', isUnreadable: true, format: ({statusLine, fields, body}) => formatAnswer([statusLine, ...fields, `X-Folded: a${lineEnd} b`, `Content-Length:${lineEnd} ${body.length}`], body)},
	{name: 'a pause in the head, length', findPause: ({headBytes}) => Math.floor(headBytes / 2), format: withLengthLast},
	{name: 'a pause in the last line end of the head, neither', findPause: ({headBytes}) => headBytes - 1, format: withoutLength},
];

/** Shapes of answers without a body. */
export const bodilessShapes: readonly AnswerShape[] = [
	{
		name: 'to HEAD, length', method: 'HEAD', isBodiless: true, format: ({statusLine, fields, body}) => formatAnswer([statusLine, ...fields, formatLength(body)], ''),
	},
	{
		name: 'to HEAD, chunks', method: 'HEAD', isBodiless: true, format: ({statusLine, fields}) => formatAnswer([statusLine, ...fields, chunked], ''),
	},
	{
		name: 'to HEAD, neither', method: 'HEAD', isBodiless: true, format: ({statusLine, fields}) => formatAnswer([statusLine, ...fields], ''),
	},
	{
		name: '204', isBodiless: true, statusLine: 'HTTP/1.1 204 No Content', format: ({statusLine, fields}) => formatAnswer([statusLine, ...fields], ''),
	},
	{
		name: '304 with a length', isBodiless: true, statusLine: 'HTTP/1.1 304 Not Modified', format: ({statusLine, fields, body}) => formatAnswer([statusLine, ...fields, formatLength(body)], ''),
	},
	{name: 'an empty body', isBodiless: true, format: ({statusLine, fields}) => formatAnswer([statusLine, ...fields, 'Content-Length: 0'], '')},
];

/** Framings of refusals and errors. */
export const failureShapes: readonly AnswerShape[] = [
	{name: 'length', format: withLengthLast},
	{name: 'chunks', format: withChunks},
	{name: 'neither', format: withoutLength},
];

export const shapeAnswer = (shape: AnswerShape, parts: AnswerParts): AnswerBytes => {
	const formatted = shape.format({...parts, statusLine: shape.statusLine ?? parts.statusLine});
	return {...formatted, isBodiless: shape.isBodiless === true};
};

export const endings = ['close', 'reset'] as const;

export type Ending = (typeof endings)[number];

/** Time between two packets, in milliseconds. */
const packetGapMs = 15;

/** Time by which bytes have arrived before the connection is reset, in milliseconds. */
const resetGapMs = 3;

const pauseFor = (ms: number): ScriptStep => ({kind: 'pause', until: performance.now() + ms});

/** Sends the first bytes of an answer, and ends the connection. */
export const cutAnswer = (answer: AnswerBytes, bytes: number, ending: Ending, pauseAt?: number): ScriptStep[] => {
	const text = answer.text.slice(0, bytes);
	const parts: ScriptStep[] = pauseAt === undefined || pauseAt >= bytes
		? [{kind: 'bytes', text}]
		: [{kind: 'bytes', text: text.slice(0, pauseAt)}, pauseFor(packetGapMs), {kind: 'bytes', text: text.slice(pauseAt)}];
	return [...parts, ...(ending === 'reset' ? [pauseFor(resetGapMs + (pauseAt === undefined ? 0 : packetGapMs))] : []), {kind: ending}];
};
