/** The log service over HTTP. Nothing outside this file knows its format. */
import {ServingError} from '@shallotpass/common/serving-error.js';
import {type LogReadResult, type LogService, type ReadOptions} from '@shallotpass/common/log-service.js';
import {type LogOffset} from '@shallotpass/common/types.js';
import {type Dispatcher, request} from 'undici';
import * as z from 'zod';

const appendReplySchema = z.object({offset: z.int().nonnegative()});

const readReplySchema = z.object({
	records: z.array(z.object({offset: z.int().nonnegative(), appendedAt: z.number(), record: z.unknown()})),
	next: z.int().nonnegative(),
});

const trimmedReplySchema = z.object({earliest: z.int().nonnegative()});

const appendTimeoutMs = 1000;
const readTimeoutMs = 1000;

type HttpLogOptions = {
	readonly baseUrl: string;
	/** Makes a pool of connections of its own. */
	readonly makeDispatcher: () => Dispatcher;
	readonly now: () => number;
};

const unavailable = (detail: string, cause?: unknown): ServingError =>
	new ServingError(`the log service ${detail}`, {kind: 'platform_unavailable', cause});

const withTimeout = (signal: AbortSignal | undefined, timeoutMs: number): AbortSignal => {
	const timeout = AbortSignal.timeout(timeoutMs);
	return signal === undefined ? timeout : AbortSignal.any([signal, timeout]);
};

const closeQuietly = async (dispatcher: Dispatcher): Promise<void> => {
	try {
		await dispatcher.close();
	} catch {
		// It was destroyed meanwhile, which closes it too.
	}
};

export type HttpLog = LogService & {readonly close: () => Promise<void>};

export const makeHttpLog = ({baseUrl, makeDispatcher, now}: HttpLogOptions): HttpLog => {
	let dispatcher = makeDispatcher();

	/**
	 * Something between the ends may have lost track of every kept connection at once.
	 * Were the pool kept, each of them would cost a time-out of its own; new connections
	 * decide whether the log answers.
	 */
	const replaceConnections = (failed: Dispatcher): void => {
		if (failed === dispatcher) {
			dispatcher = makeDispatcher();
			void closeQuietly(failed);
		}
	};

	const makeUrl = (stream: string): URL => new URL(`streams/${encodeURIComponent(stream)}`, baseUrl.endsWith('/') ? baseUrl : `${baseUrl}/`);

	const send = async (url: URL, options: Parameters<typeof request>[1]): Promise<{status: number; body: unknown}> => {
		const used = dispatcher;
		try {
			const response = await request(url, {...options, dispatcher: used});
			const text = await response.body.text();
			const isJson = response.statusCode < 500 && response.statusCode !== 429;
			return {status: response.statusCode, body: isJson ? JSON.parse(text) : undefined};
		} catch (error) {
			// A reader that was told to stop says nothing about the connection.
			if (!(error instanceof Error && error.name === 'AbortError')) {
				replaceConnections(used);
			}

			throw unavailable('does not answer', error);
		}
	};

	return {
		async append({stream, record, signal}) {
			const reply = await send(makeUrl(stream), {
				method: 'POST',
				headers: {'content-type': 'application/json'},
				body: JSON.stringify({record}),
				signal: withTimeout(signal, appendTimeoutMs),
			});
			const parsed = appendReplySchema.safeParse(reply.body);
			if (reply.status >= 300 || !parsed.success) {
				throw unavailable(`answered an append with status ${reply.status}`);
			}

			return parsed.data.offset as LogOffset;
		},
		async read({stream, from, limit, waitUntil, signal}: ReadOptions): Promise<LogReadResult> {
			const url = makeUrl(stream);
			const waitMs = waitUntil === undefined ? 0 : Math.max(0, Math.round(waitUntil - now()));
			url.searchParams.set('from', String(from));
			url.searchParams.set('limit', String(limit));
			url.searchParams.set('waitMs', String(waitMs));
			const reply = await send(url, {method: 'GET', signal: withTimeout(signal, waitMs + readTimeoutMs)});
			if (reply.status === 410) {
				const trimmed = trimmedReplySchema.safeParse(reply.body);
				if (trimmed.success) {
					return {kind: 'trimmed', earliest: trimmed.data.earliest as LogOffset};
				}
			}

			const parsed = readReplySchema.safeParse(reply.body);
			if (reply.status >= 300 || !parsed.success) {
				throw unavailable(`answered a read with status ${reply.status}`);
			}

			return {
				kind: 'records',
				records: parsed.data.records.map(item => ({...item, offset: item.offset as LogOffset})),
				next: parsed.data.next as LogOffset,
			};
		},
		async close() {
			await dispatcher.destroy();
		},
	};
};
