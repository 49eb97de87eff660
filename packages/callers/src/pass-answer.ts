/** Passes an engine's answer on to the caller, streamed or whole. */
import {type StreamBatch} from '@shallotpass/backends/collect-chunks.js';
import {streamEngine} from '@shallotpass/backends/engine-stream.js';
import {fetchWhole} from '@shallotpass/backends/fetch-whole.js';
import {getExpectedTokens} from '@shallotpass/backends/openai-format.js';
import {isLate} from '@shallotpass/core/routing/learn-speed.js';
import {type BackendView} from '@shallotpass/core/routing/types.js';
import {type AttemptSignal} from './attempt-signal.js';
import {getTarget} from './caller-call.js';
import {type ChatWork, type Progress} from './chat-work.js';

/** Waits until the caller has room; a caller that has gone ends the wait through the attempt's signal. */
const waitForDrain = async (work: ChatWork, signal: AbortSignal): Promise<void> => new Promise(resolve => {
	const {response} = work.call;
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

const writeBatch = (work: ChatWork, batch: StreamBatch): boolean => {
	const {response, requestId} = work.call;
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

type Passage = {
	readonly engine: BackendView;
	readonly startedAt: number;
	/** Tokens that the caller had before this try. */
	readonly tokensBefore: number;
	/** Prompt tokens that the engine had to read, as far as was known when it was sent the request. */
	readonly unreadTokens: number;
	/** Whether the caller was slow to take the answer; its pace then tells nothing of the engine. */
	readonly isHeldUp: boolean;
};

const learnFrom = (work: ChatWork, progress: Progress, {engine, startedAt, tokensBefore, unreadTokens, isHeldUp}: Passage): void => {
	if (progress.firstTokenAt === undefined) {
		return;
	}

	const {registry, environment} = work.services;
	const tokens = progress.position.tokens - tokensBefore;
	const tokenMs = tokens > 1 && !isHeldUp ? (environment.clock.now() - progress.firstTokenAt) / (tokens - 1) : undefined;
	registry.learn(engine.id, {
		firstTokenMs: progress.firstTokenAt - startedAt,
		tokenMs,
		isLate: isLate(tokenMs, getTarget(work.callClass)),
		uncachedTokens: unreadTokens,
	}, work.chain);
};

const noteFirstToken = (work: ChatWork, progress: Progress, now: number): void => {
	if (progress.firstTokenAt === undefined) {
		progress.firstTokenAt = now;
		work.services.environment.metrics.firstTokenSeconds.observe({class: work.callClass.name}, (now - work.call.startedAt) / 1000);
	}
};

export type Attempt = {
	readonly engine: BackendView;
	readonly guard: AttemptSignal;
	readonly traceparent: string | undefined;
	readonly unreadTokens: number;
	readonly onTokens: () => void;
};

export const passStream = async (work: ChatWork, progress: Progress, {engine, guard, traceparent, unreadTokens, onTokens}: Attempt): Promise<void> => {
	const {environment, connections} = work.services;
	const {clock, metrics} = environment;
	const startedAt = clock.now();
	const tokensBefore = progress.position.tokens;
	let isHeldUp = false;
	progress.firstTokenAt = undefined;
	const engineCall = {
		address: engine.address,
		body: work.chat,
		priority: work.callClass.rank,
		requestId: work.call.requestId,
		traceparent,
		position: progress.position,
		signal: guard.signal,
	};
	await streamEngine(engineCall, connections, {
		take(batch) {
			guard.refresh();
			progress.position = batch.position;
			if (batch.tokens > 0) {
				noteFirstToken(work, progress, clock.now());
				metrics.tokens.inc({service: work.serviceId}, batch.tokens);
				onTokens();
			}

			return writeBatch(work, batch);
		},
		async waitForRoom() {
			isHeldUp = true;
			await waitForDrain(work, guard.signal);
			guard.refresh();
		},
	});
	learnFrom(work, progress, {
		engine, startedAt, tokensBefore, unreadTokens, isHeldUp,
	});
	work.call.response.end();
};

export const passWhole = async (work: ChatWork, progress: Progress, {engine, guard, traceparent}: Attempt): Promise<void> => {
	const {environment, connections} = work.services;
	const startedAt = environment.clock.now();
	const text = await fetchWhole({
		address: engine.address,
		body: work.chat,
		priority: work.callClass.rank,
		requestId: work.call.requestId,
		traceparent,
		signal: guard.signal,
	}, connections);
	progress.firstTokenAt = environment.clock.now();
	work.services.registry.learn(engine.id, {
		firstTokenMs: engine.speed.firstTokenMs,
		tokenMs: (environment.clock.now() - startedAt) / getExpectedTokens(work.chat),
		uncachedTokens: 0,
	}, work.chain);
	const {response, requestId} = work.call;
	response.writeHead(200, {'content-type': 'application/json', 'x-request-id': requestId});
	response.end(text);
};
