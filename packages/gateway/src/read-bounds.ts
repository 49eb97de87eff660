/** Bounds of what is read from backend servers, peers, the store and the cloud, by what is read. Bytes that are no answer may come without end. */

/** Bytes of a stream since its last event. An event of a megabyte is sound. */
export const maxBytesWithoutEvent = 4_194_304;

/** Bytes of unfinished events that all streams hold together, which is two events of the largest size. */
export const maxBytesOfUnfinishedEvents = 8_388_608;

/** Bytes of a stream without an event that are read before other calls go on. */
export const maxBytesInTurn = 16_384;

/** Bytes that one read of a connection to a backend server gives. Small chunks of 64 kB, which Node reads at once, take 10 to 20 ms. */
export const maxReadBytes = 16_384;

/** Time of a turn of the loop in which more is read from backend servers. */
export const maxReadTurnMs = 5;

/** Comments of a stream since its last event, which are held until it comes. */
export const maxCommentBytes = 1_048_576;

/** Bytes of an answer that are no body: its head, and the sizes of its chunks. A head has 16 kB at most. */
export const maxFramingBytes = 131_072;

/** The same for each byte of its body. A chunk of one byte has eleven, if its size is written with eight digits. */
export const maxFramingBytesPerBodyByte = 16;

/** A body that nobody uses is read so that its connection can be reused. Reading on costs more than a new connection. */
export const unusedBodyBounds = {bytes: 65_536, ms: 250} as const;

/** One such body at a time of each backend server is read this far, as one that goes beyond tells that it has no end. */
export const examinedBodyBounds = {bytes: 4_194_304, ms: 900} as const;

/** Replies of the control interface of an engine, of which there are many. A report of a thousand runs has some 50 kB. */
export const maxControlReplyBytes = 262_144;

/** Answers of the store and the cloud. A page of the store has up to a megabyte. */
export const maxReplyBytes = 16_777_216;

/** Messages of other daemons. A configuration of 350 routes has 100 kB. */
export const maxMessageBytes = 16_777_216;

/** Refusals of other daemons. */
export const maxRefusalBytes = 16_384;

/** What exceeded its bound, which ends the answer. What that says of the backend server stands in `backend-soundness.ts`. `presumed_late`: nothing or no end has come for long, and other backend servers were quicker before. `unreadable`: bytes that are no head or no body in the protocol, or a head beyond the size that Node's client reads. */
const readExcesses = ['informational_heads', 'time_without_head', 'bytes_without_event', 'time_without_event', 'unused_body', 'endless_body', 'body_time', 'presumed_late', 'unreadable'] as const;

export type ReadExcess = (typeof readExcesses)[number];

/** Prefix of the codes with which Node's parser reports what it cannot read. */
const parserErrorPrefix = 'HPE_';

/** Returns what exceeded its bound if a request failed for that reason. */
export const toReadExcess = (reason: string): ReadExcess | undefined => {
	if (reason.startsWith(parserErrorPrefix)) {
		return 'unreadable';
	}

	return readExcesses.find(excess => excess === reason);
};

/** Ends a request whose answer exceeds a bound. */
export class ReadExcessError extends Error {
	override readonly name = 'ReadExcessError';

	constructor(readonly code: ReadExcess) {
		super(`the answer exceeds a bound: ${code}`);
	}
}
