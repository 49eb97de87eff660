/** Client for tests and experiments: sends chat streams and reservations to a daemon or stand-in and verifies the streamed tokens. */
import {createParser} from 'eventsource-parser';
import {type Dispatcher, request} from 'undici';
import {callerKey} from './local-fleet.js';

export type StreamResult = {
	readonly status: number;
	readonly text: string;
	readonly tokens: number;
	readonly chunks: number;
	readonly isComplete: boolean;
	/** The error that refused the request or ended the stream. */
	readonly problem: {readonly kind: string; readonly executed: string} | undefined;
	readonly firstTokenMs: number | undefined;
	readonly endMs: number;
	/** Number of tokens that belong to another stream or are out of order. */
	readonly unexpectedTokens: number;
};

type StreamOptions = {
	readonly address: string;
	readonly marker: string;
	readonly tokens: number;
	readonly prompt?: string;
	readonly headers?: Readonly<Record<string, string>>;
	readonly dispatcher?: Dispatcher;
	readonly signal?: AbortSignal;
	readonly onToken?: (index: number) => void;
};

type Chunk = {readonly choices?: ReadonlyArray<{readonly delta?: {readonly content?: string}}>};

/** Sends a streamed chat request and checks that each token is the next one expected. The stand-in engine's tokens consist of the marker and a running index. */
export const streamChat = async (options: StreamOptions): Promise<StreamResult> => {
	const {address, marker, tokens: maxTokens, prompt = '', headers = {}, dispatcher, signal} = options;
	const startedAt = performance.now();
	const response = await request(`http://${address}/v1/chat/completions`, {
		method: 'POST',
		headers: {authorization: `Bearer ${callerKey}`, 'content-type': 'application/json', ...headers},
		body: JSON.stringify({
			model: 'assistant-7b',
			stream: true,
			max_tokens: maxTokens, // eslint-disable-line @typescript-eslint/naming-convention -- OpenAI's name
			messages: [...(prompt === '' ? [] : [{role: 'system', content: prompt}]), {role: 'user', content: `${marker} asks`}],
		}),
		dispatcher,
		signal,
	});
	if (response.statusCode !== 200) {
		const problem = await response.body.json() as StreamResult['problem'];
		return {
			status: response.statusCode, text: '', tokens: 0, chunks: 0, isComplete: false, problem, firstTokenMs: undefined, endMs: performance.now() - startedAt, unexpectedTokens: 0,
		};
	}

	let text = '';
	let tokens = 0;
	let chunks = 0;
	let unexpectedTokens = 0;
	let isComplete = false;
	let problem: StreamResult['problem'];
	let firstTokenMs: number | undefined;
	const handleToken = (content: string): void => {
		firstTokenMs ??= performance.now() - startedAt;
		unexpectedTokens += content === `${marker}:${tokens} ` ? 0 : 1;
		options.onToken?.(tokens);
		tokens++;
		text += content;
	};

	const parser = createParser({
		onEvent({event, data}) {
			if (event === 'error') {
				problem = JSON.parse(data) as StreamResult['problem'];
				return;
			}

			if (data === '[DONE]') {
				isComplete = true;
				return;
			}

			chunks++;
			const content = (JSON.parse(data) as Chunk).choices?.[0]?.delta?.content;
			if (content !== undefined && content !== '') {
				handleToken(content);
			}
		},
	});
	const decoder = new TextDecoder();
	for await (const chunk of response.body as AsyncIterable<Uint8Array>) {
		parser.feed(decoder.decode(chunk, {stream: true}));
	}

	return {
		status: 200, text, tokens, chunks, isComplete: isComplete && tokens === maxTokens, problem, firstTokenMs, endMs: performance.now() - startedAt, unexpectedTokens,
	};
};

export type CallResult = {
	readonly status: number;
	readonly body: Readonly<Record<string, unknown>>;
	readonly isReplayed: boolean;
	readonly retryAfter: string | undefined;
};

type ReserveOptions = {
	readonly address: string;
	readonly key: string | undefined;
	readonly body: string;
	readonly path?: string;
	readonly headers?: Readonly<Record<string, string>>;
	readonly dispatcher?: Dispatcher;
	readonly signal?: AbortSignal;
};

/** Sends a reservation; `key` is its idempotency key. */
export const sendReservation = async ({address, key, body, path = '/services/reservations/reserve', headers = {}, dispatcher, signal}: ReserveOptions): Promise<CallResult> => {
	const response = await request(`http://${address}${path}`, {
		method: 'POST',
		headers: {
			authorization: `Bearer ${callerKey}`,
			'content-type': 'application/json',
			...(key === undefined ? {} : {'idempotency-key': key}),
			...headers,
		},
		body,
		dispatcher,
		signal,
	});
	const text = await response.body.text();
	return {
		status: response.statusCode,
		body: (text === '' ? {} : JSON.parse(text)) as Readonly<Record<string, unknown>>,
		isReplayed: response.headers['idempotent-replayed'] === 'true',
		retryAfter: response.headers['retry-after'] as string | undefined,
	};
};
