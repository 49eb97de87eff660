/** Counts what Node's parser keeps of a head that has not ended, or of trailers. */
import {type OwedAnswers} from '../owed-answers.js';
import {type ClientAccount, recordProgress} from './client-account.js';
import {bytesPerHeadByte, requestBytes} from './client-costs.js';
import {isInChunks} from './unread-body.js';

export type FieldCount = {
	readonly account: ClientAccount;
	/** Heads that were parsed. */
	heads: number;
	/** Whether a part of a body was read since the last piece. */
	hasReadBody: boolean;
};

/** Whether the piece had a part of a body, or of what nobody is owed an answer to. */
const wasBody = ({account: {socket}, hasReadBody}: FieldCount, answers: OwedAnswers, wasInBody: boolean): boolean => {
	const unread = answers.findUnread(socket);
	return unread === undefined
		? wasInBody || answers.isEndingOn(socket)
		: hasReadBody || unread.request.readableLength > 0 || !isInChunks(unread);
};

export type ParsedPiece = {
	readonly bytes: number;
	/** Whether it began in the body of a request. */
	readonly wasInBody: boolean;
};

/** Counts a piece that was parsed. Returns the bytes by which the client's charge grows. */
export const countPiece = (count: FieldCount, answers: OwedAnswers, {bytes, wasInBody}: ParsedPiece): number => {
	const {account} = count;
	const {heads} = answers.getProgress(account.socket);
	const hasHead = heads > count.heads;
	const isBody = !hasHead && wasBody(count, answers, wasInBody);
	count.heads = heads;
	count.hasReadBody = false;
	account.hasSentRequest ||= heads > 0 && answers.findUnread(account.socket) === undefined;
	if (isBody) {
		account.fieldBytes = 0;
		return 0;
	}

	account.fieldBytes += bytes;
	if (!hasHead) {
		return bytes * bytesPerHeadByte;
	}

	account.headBytes += account.fieldBytes;
	account.fieldBytes = 0;
	recordProgress(account);
	return requestBytes;
};
