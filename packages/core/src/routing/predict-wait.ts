/** Predicts load and answer times of backend servers. */
import {blockCharacters, estimateTokens} from './hash-prompt.js';
import {type BackendView, type RoutedCall} from './types.js';

const blockTokens = estimateTokens(blockCharacters);

/** Estimates the current number of calls on an engine from its last report and the calls that this daemon sent since. */
export const estimateLoad = (backend: BackendView): number => {
	if (backend.report === undefined) {
		return backend.running;
	}

	return Math.max(backend.running, backend.report.running + backend.report.queued + backend.sentSinceReport);
};

/** Predicts the prefill time of the prompt, given the number of cached blocks, in milliseconds. */
export const predictPrefill = (backend: BackendView, call: RoutedCall, cachedBlocks: number): number =>
	Math.max(0, call.promptTokens - (cachedBlocks * blockTokens)) * backend.speed.prefillTokenMs;

/** Predicts the time to the first token including queueing and prefill, in milliseconds. */
export const predictFirstToken = (backend: BackendView, call: RoutedCall, cachedBlocks: number): number => {
	const load = estimateLoad(backend);
	const queued = backend.report?.queued ?? 0;
	const waitingMs = (queued * backend.speed.firstTokenMs) + (backend.pendingTokens * backend.speed.prefillTokenMs);
	return (backend.speed.firstTokenMs * (1 + (load / 16))) + waitingMs + predictPrefill(backend, call, cachedBlocks);
};

/** Predicts the time to the complete answer, in milliseconds. */
export const predictAnswer = (backend: BackendView, call: RoutedCall, cachedBlocks: number): number =>
	predictFirstToken(backend, call, cachedBlocks) + (call.expectedTokens * backend.speed.tokenMs);

/** Predicts the total delay that the prefill causes for running calls with a latency target, each of which waits for it, in milliseconds. */
export const predictDelayToOthers = (backend: BackendView, call: RoutedCall, cachedBlocks: number): number =>
	predictPrefill(backend, call, cachedBlocks) * backend.urgentCalls;
