/** Checks the end of an answer that ends with its connection, which looks whole wherever it breaks off. */
import {Readable} from 'node:stream';

export type UnframedBody = {
	readonly body: Readable;
	readonly makeError: () => Error;
};

/** Statuses of answers without a body, besides those to HEAD. */
const bodilessStatuses: ReadonlySet<number> = new Set([204, 205, 304]);

export type AnswerHead = {
	readonly method: string;
	readonly status: number;
	readonly headers: Readonly<Record<string, string | string[] | undefined>>;
};

/** Whether the body ends when the connection closes: it has neither a Content-Length nor chunks. */
export const isCloseDelimited = ({method, status, headers}: AnswerHead): boolean =>
	method !== 'HEAD' && !bodilessStatuses.has(status)
	&& headers['content-length'] === undefined && !/(?:^|,)\s*chunked\s*$/iv.test(headers['transfer-encoding']?.toString() ?? '');

/**
 * Returns the body once it has begun. Throws if it ends before its first byte: an answer that breaks off behind its head looks the same.
 */
export const checkEnd = async ({body, makeError}: UnframedBody): Promise<Readable> => {
	const chunks = body[Symbol.asyncIterator]() as AsyncIterator<Uint8Array>;
	const first = await chunks.next();
	if (first.done === true) {
		throw makeError();
	}

	const readOn = async function * (): AsyncGenerator<Uint8Array> {
		yield first.value;
		for (;;) {
			const next = await chunks.next(); // eslint-disable-line no-await-in-loop -- one chunk after the other
			if (next.done === true) {
				break;
			}

			yield next.value;
		}
	};

	const checked = Readable.from(readOn(), {objectMode: false});
	checked.on('error', () => {/* Told to who reads it. While nobody does, it would end the process. */});
	checked.once('close', () => {
		body.destroy();
	});
	return checked;
};
