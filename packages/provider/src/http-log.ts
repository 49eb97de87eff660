/** HTTP client of the log service. The wire format is used only in this file. */
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
	/** Creates a dispatcher with its own connection pool. */
	readonly makeDispatcher: () => Dispatcher;
	readonly now: () => number;
};

const makeUnavailableError = (detail: string, cause?: unknown): ServingError =>
	new ServingError(`the log service ${detail}`, {kind: 'platform_unavailable', cause});

const withTimeout = (signal: AbortSignal | undefined, timeoutMs: number): AbortSignal => {
	const timeoutSignal = AbortSignal.timeout(timeoutMs);
	return signal === undefined ? timeoutSignal : AbortSignal.any([signal, timeoutSignal]);
};

const closeIgnoringErrors = async (dispatcher: Dispatcher): Promise<void> => {
	try {
		await dispatcher.close();
	} catch {
		// It has been destroyed in the meantime, which also closes it.
	}
};

export type HttpLog = LogService & {readonly close: () => Promise<void>};

export const makeHttpLog = ({baseUrl, makeDispatcher, now}: HttpLogOptions): HttpLog => {
	let dispatcher = makeDispatcher();

	/**
	 * Replaces the connection pool after a failure. A firewall or NAT can drop all pooled connections
	 * at once, and each of them would then cost a separate timeout. New connections show whether the
	 * log is available.
	 */
	const replaceDispatcher = (failedDispatcher: Dispatcher): void => {
		if (failedDispatcher === dispatcher) {
			dispatcher = makeDispatcher();
			void closeIgnoringErrors(failedDispatcher);
		}
	};

	const makeUrl = (stream: string): URL => new URL(`streams/${encodeURIComponent(stream)}`, baseUrl.endsWith('/') ? baseUrl : `${baseUrl}/`);

	const sendRequest = async (url: URL, options: Parameters<typeof request>[1]): Promise<{status: number; body: unknown}> => {
		const usedDispatcher = dispatcher;
		try {
			const response = await request(url, {...options, dispatcher: usedDispatcher});
			const text = await response.body.text();
			const hasJsonBody = response.statusCode < 500 && response.statusCode !== 429;
			return {status: response.statusCode, body: hasJsonBody ? JSON.parse(text) : undefined};
		} catch (error) {
			// A read that the caller aborted does not indicate a broken connection.
			if (!(error instanceof Error && error.name === 'AbortError')) {
				replaceDispatcher(usedDispatcher);
			}

			throw makeUnavailableError('does not answer', error);
		}
	};

	return {
		async append({stream, record, signal}) {
			const reply = await sendRequest(makeUrl(stream), {
				method: 'POST',
				headers: {'content-type': 'application/json'},
				body: JSON.stringify({record}),
				signal: withTimeout(signal, appendTimeoutMs),
			});
			const parsed = appendReplySchema.safeParse(reply.body);
			if (reply.status >= 300 || !parsed.success) {
				throw makeUnavailableError(`answered an append with status ${reply.status}`);
			}

			return parsed.data.offset as LogOffset;
		},
		async read({stream, from, limit, waitUntil, signal}: ReadOptions): Promise<LogReadResult> {
			const url = makeUrl(stream);
			const waitMs = waitUntil === undefined ? 0 : Math.max(0, Math.round(waitUntil - now()));
			url.searchParams.set('from', String(from));
			url.searchParams.set('limit', String(limit));
			url.searchParams.set('waitMs', String(waitMs));
			const reply = await sendRequest(url, {method: 'GET', signal: withTimeout(signal, waitMs + readTimeoutMs)});
			if (reply.status === 410) {
				const trimmed = trimmedReplySchema.safeParse(reply.body);
				if (trimmed.success) {
					return {kind: 'trimmed', earliest: trimmed.data.earliest as LogOffset};
				}
			}

			const parsed = readReplySchema.safeParse(reply.body);
			if (reply.status >= 300 || !parsed.success) {
				throw makeUnavailableError(`answered a read with status ${reply.status}`);
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
