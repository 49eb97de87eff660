/** Relays an engine's response to the caller, either streamed or as a whole. */
import {type StreamBatch} from '@shallotpass/backends/collect-chunks.js';
import {streamEngine} from '@shallotpass/backends/engine-stream.js';
import {fetchCompletion} from '@shallotpass/backends/fetch-completion.js';
import {getExpectedTokens} from '@shallotpass/backends/openai-format.js';
import {isLate} from '@shallotpass/core/routing/speed-estimate.js';
import {type BackendView} from '@shallotpass/core/routing/types.js';
import {type AttemptSignal} from './attempt-signal.js';
import {getLatencyTarget} from './caller-call.js';
import {type ChatContext, type ChatProgress} from './chat-context.js';

/** Waits until the response can be written to again. Ends early if the caller disconnects or the attempt is aborted. */
const waitForDrain = async (context: ChatContext, signal: AbortSignal): Promise<void> => new Promise(resolve => {
	const {response} = context.call;
	if (signal.aborted) {
		resolve();
		return;
	}

	const done = (): void => {
		response.off('drain', done);
		response.off('close', done);
		signal.removeEventListener('abort', done);
		resolve();
	};

	response.once('drain', done);
	response.once('close', done);
	signal.addEventListener('abort', done, {once: true});
});

/** Writes the batch to the caller, after the headers if it is the first one. Returns false if the caller reads too slowly. */
const writeBatch = (context: ChatContext, batch: StreamBatch): boolean => {
	const {response, requestId} = context.call;
	if (!response.headersSent) {
		response.setHeader('content-type', 'text/event-stream');
		response.writeHead(200, {
			'content-type': 'text/event-stream',
			'cache-control': 'no-store',
			'x-request-id': requestId,
		});
	}

	return response.write(batch.text);
};

type StreamTiming = {
	readonly engine: BackendView;
	readonly startedAt: number;
	/** Tokens that the caller received before this attempt. */
	readonly tokensBefore: number;
	/** Prompt tokens that were not expected to be in the engine's cache when the request was sent. */
	readonly uncachedTokens: number;
	/** Whether backpressure from the caller slowed the stream, so that the token rate does not reflect the engine. */
	readonly isCallerSlow: boolean;
};

const recordSpeedSample = (context: ChatContext, progress: ChatProgress, {engine, startedAt, tokensBefore, uncachedTokens, isCallerSlow}: StreamTiming): void => {
	if (progress.firstTokenAt === undefined) {
		return;
	}

	const {registry, environment} = context.services;
	const tokens = progress.position.tokens - tokensBefore;
	const tokenMs = tokens > 1 && !isCallerSlow ? (environment.clock.now() - progress.firstTokenAt) / (tokens - 1) : undefined;
	registry.recordSpeedSample(engine.id, {
		firstTokenMs: progress.firstTokenAt - startedAt,
		tokenMs,
		isLate: isLate(tokenMs, getLatencyTarget(context.callClass)),
		uncachedTokens,
	}, context.prefixHashes);
};

const recordFirstToken = (context: ChatContext, progress: ChatProgress, now: number): void => {
	if (progress.firstTokenAt === undefined) {
		progress.firstTokenAt = now;
		context.services.environment.metrics.firstTokenSeconds.observe({class: context.callClass.name}, (now - context.call.startedAt) / 1000);
	}
};

export type Attempt = {
	readonly engine: BackendView;
	readonly attemptSignal: AttemptSignal;
	readonly traceparent: string | undefined;
	readonly uncachedTokens: number;
	/** Called for each batch that contains tokens. */
	readonly onTokens: () => void;
};

export const relayStream = async (context: ChatContext, progress: ChatProgress, {engine, attemptSignal, traceparent, uncachedTokens, onTokens}: Attempt): Promise<void> => {
	const {environment, connections} = context.services;
	const {clock, metrics} = environment;
	const startedAt = clock.now();
	const tokensBefore = progress.position.tokens;
	let isCallerSlow = false;
	progress.firstTokenAt = undefined;
	const engineCall = {
		address: engine.address,
		body: context.chat,
		priority: context.callClass.rank,
		requestId: context.call.requestId,
		traceparent,
		position: progress.position,
		signal: attemptSignal.signal,
	};
	await streamEngine(engineCall, connections, {
		write(batch) {
			attemptSignal.resetQuietTimer();
			progress.position = batch.position;
			if (batch.tokens > 0) {
				recordFirstToken(context, progress, clock.now());
				metrics.tokens.inc({service: context.serviceId}, batch.tokens);
				onTokens();
			}

			return writeBatch(context, batch);
		},
		async waitForDrain() {
			isCallerSlow = true;
			await waitForDrain(context, attemptSignal.signal);
			attemptSignal.resetQuietTimer();
		},
	});
	recordSpeedSample(context, progress, {
		engine, startedAt, tokensBefore, uncachedTokens, isCallerSlow,
	});
	context.call.response.end();
};

export const relayCompletion = async (context: ChatContext, progress: ChatProgress, {engine, attemptSignal, traceparent}: Attempt): Promise<void> => {
	const {environment, connections} = context.services;
	const startedAt = environment.clock.now();
	const text = await fetchCompletion({
		address: engine.address,
		body: context.chat,
		priority: context.callClass.rank,
		requestId: context.call.requestId,
		traceparent,
		signal: attemptSignal.signal,
	}, connections);
	progress.firstTokenAt = environment.clock.now();
	// A complete response does not show when its first token was generated, so the current estimate is passed on unchanged.
	context.services.registry.recordSpeedSample(engine.id, {
		firstTokenMs: engine.speed.firstTokenMs,
		tokenMs: (environment.clock.now() - startedAt) / getExpectedTokens(context.chat),
		uncachedTokens: 0,
	}, context.prefixHashes);
	const {response, requestId} = context.call;
	response.writeHead(200, {'content-type': 'application/json', 'x-request-id': requestId});
	response.end(text);
};
