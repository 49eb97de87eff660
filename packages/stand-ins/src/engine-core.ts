/**
 * Simulates a model engine with continuous batching, priorities and a prefix cache of limited size that
 * evicts the least recently used blocks. Steps only report their duration and do not wait, so the same
 * engine can run behind a server and on a simulated clock.
 */
import {blockCharacters, estimateTokens, hashPrompt} from '@shallotpass/core/routing/hash-prompt.js';

export type EngineParameters = {
	/** Fixed duration of a batch step, in milliseconds. */
	readonly stepMs: number;
	/** Time that each running sequence adds to a step, in milliseconds. */
	readonly sequenceMs: number;
	/** Time to read a prompt token that is not cached, in milliseconds. */
	readonly prefillTokenMs: number;
	/** Maximum number of prompt tokens read in a step. */
	readonly prefillChunkTokens: number;
	/** Maximum number of sequences in a batch. */
	readonly mostRunning: number;
	/** Capacity of the prefix cache, in prompt tokens. */
	readonly cacheTokens: number;
	/** Minimum time between two tokens of a sequence, in milliseconds. With 0, each step produces one. */
	readonly paceMs: number;
	/** Maximum age of a load report, in milliseconds. */
	readonly loadLagMs: number;
};

export const defaultEngineParameters: EngineParameters = {
	stepMs: 8,
	sequenceMs: 0.2,
	prefillTokenMs: 0.05,
	prefillChunkTokens: 2048,
	mostRunning: 64,
	cacheTokens: 200_000,
	paceMs: 0,
	loadLagMs: 500,
};

export type EngineJob = {
	readonly id: string;
	readonly prompt: string;
	/** Hashes of the prompt's blocks. Computed from the prompt by default. */
	readonly chain?: readonly bigint[];
	/** Length of the prompt. Estimated from its characters by default. */
	readonly promptTokens?: number;
	/** Lower values are served first. */
	readonly priority: number;
	readonly maxTokens: number;
	/** Index of the last token that the caller already has, or -1. The tokens up to it are read again like a prompt. */
	readonly resumeAfter: number;
};

type Sequence = {
	readonly job: EngineJob;
	readonly promptTokens: number;
	readonly chain: readonly bigint[];
	prefillRemaining: number;
	producedTokens: number;
	/** Earliest time of the next token, in milliseconds of engine time. */
	dueAt: number;
};

export type TokenEvent = {readonly id: string; readonly index: number; readonly isLast: boolean};

export type StepResult = {
	readonly durationMs: number;
	/** Tokens produced by the step. */
	readonly tokens: readonly TokenEvent[];
};

export type CacheEvent = {readonly kind: 'stored' | 'evicted'; readonly blocks: readonly string[]};

export type EngineCounts = {
	promptTokens: number;
	/** Tokens read because they were not cached, including those of resumed responses. */
	recomputedTokens: number;
};

export type EngineCore = {
	readonly submit: (job: EngineJob) => void;
	readonly cancel: (id: string) => boolean;
	/** Runs one batch step. Returns undefined if there are no sequences. */
	readonly step: () => StepResult | undefined;
	readonly getLoad: () => {running: number; queued: number; cachedTokens: number};
	readonly counts: EngineCounts;
	/** Returns the cache events since the previous call. */
	readonly takeEvents: () => CacheEvent[];
};

const blockTokens = estimateTokens(blockCharacters);

type PrefixCache = {
	/** Counts the cached blocks at the beginning of the chain, up to the first that is not cached. */
	readonly countCachedBlocks: (chain: readonly bigint[]) => number;
	readonly store: (chain: readonly bigint[]) => void;
	readonly size: () => number;
};

const makePrefixCache = (maxBlocks: number, onEvent: (event: CacheEvent) => void): PrefixCache => {
	const blocks = new Map<bigint, true>();
	const evict = (): void => {
		const evicted: string[] = [];
		for (const hash of blocks.keys()) {
			if (blocks.size <= maxBlocks) {
				break;
			}

			blocks.delete(hash);
			evicted.push(hash.toString(16));
		}

		if (evicted.length > 0) {
			onEvent({kind: 'evicted', blocks: evicted});
		}
	};

	return {
		countCachedBlocks(chain) {
			let count = 0;
			while (count < chain.length && blocks.has(chain[count]!)) {
				count++;
			}

			return count;
		},
		store(chain) {
			const added = chain.filter(hash => !blocks.has(hash));
			// Refreshes the first blocks of a chain last, so that they are evicted after the later ones.
			for (const hash of chain.toReversed()) {
				blocks.delete(hash);
				blocks.set(hash, true);
			}

			if (added.length > 0) {
				onEvent({kind: 'stored', blocks: added.map(hash => hash.toString(16))});
			}

			evict();
		},
		size: () => blocks.size,
	};
};

export const makeEngineCore = (parameters: EngineParameters): EngineCore => {
	const waiting: Sequence[] = [];
	let running: Sequence[] = [];
	let events: CacheEvent[] = [];
	let elapsedMs = 0;
	const cache = makePrefixCache(Math.floor(parameters.cacheTokens / blockTokens), event => {
		events.push(event);
	});
	const counts: EngineCounts = {promptTokens: 0, recomputedTokens: 0};

	const start = (sequence: Sequence): void => {
		const cached = Math.min(sequence.promptTokens, cache.countCachedBlocks(sequence.chain) * blockTokens);
		const resumed = Math.max(0, sequence.job.resumeAfter + 1);
		sequence.prefillRemaining = sequence.promptTokens - cached + resumed;
		counts.promptTokens += sequence.promptTokens;
		counts.recomputedTokens += sequence.prefillRemaining;
		running.push(sequence);
		// A fully cached prompt is not read, so its blocks are refreshed here to keep them from being evicted next.
		if (sequence.prefillRemaining === 0) {
			cache.store(sequence.chain);
		}
	};

	const admit = (): void => {
		waiting.sort((left, right) => left.job.priority - right.job.priority);
		while (running.length < parameters.mostRunning && waiting.length > 0) {
			start(waiting.shift()!);
		}
	};

	/** Reads prompt tokens up to the limit of a step, the most urgent sequences first. Returns the number of tokens read. */
	const prefill = (): number => {
		let remaining = parameters.prefillChunkTokens;
		const prefilling = running
			.filter(sequence => sequence.prefillRemaining > 0)
			.toSorted((one, other) => one.job.priority - other.job.priority);
		for (const sequence of prefilling) {
			const tokensRead = Math.min(remaining, sequence.prefillRemaining);
			sequence.prefillRemaining -= tokensRead;
			remaining -= tokensRead;
			if (sequence.prefillRemaining === 0) {
				cache.store(sequence.chain);
			}
		}

		return parameters.prefillChunkTokens - remaining;
	};

	/** Produces the next token of each sequence that has read its prompt, and removes finished sequences. */
	const decode = (): TokenEvent[] => {
		const tokens: TokenEvent[] = [];
		for (const sequence of running) {
			if (sequence.prefillRemaining > 0 || sequence.dueAt > elapsedMs) {
				continue;
			}

			sequence.dueAt = elapsedMs + parameters.paceMs;

			const index = sequence.job.resumeAfter + 1 + sequence.producedTokens;
			sequence.producedTokens++;
			tokens.push({id: sequence.job.id, index, isLast: index + 1 >= sequence.job.maxTokens});
		}

		const endedIds = new Set(tokens.filter(token => token.isLast).map(token => token.id));
		running = running.filter(sequence => !endedIds.has(sequence.job.id));
		return tokens;
	};

	return {
		submit(job) {
			const promptTokens = job.promptTokens ?? estimateTokens(job.prompt.length);
			waiting.push({
				job, promptTokens, chain: job.chain ?? hashPrompt(job.prompt), prefillRemaining: 0, producedTokens: 0, dueAt: 0,
			});
		},
		cancel(id) {
			const index = waiting.findIndex(sequence => sequence.job.id === id);
			if (index !== -1) {
				waiting.splice(index, 1);
				return true;
			}

			const before = running.length;
			running = running.filter(sequence => sequence.job.id !== id);
			return running.length < before;
		},
		step() {
			admit();
			if (running.length === 0) {
				return undefined;
			}

			const sequences = running.length;
			const tokensRead = prefill();
			const durationMs = parameters.stepMs + (sequences * parameters.sequenceMs) + (tokensRead * parameters.prefillTokenMs);
			elapsedMs += durationMs;
			return {durationMs, tokens: decode()};
		},
		getLoad: () => ({running: running.length, queued: waiting.length, cachedTokens: cache.size() * blockTokens}),
		counts,
		takeEvents() {
			const takenEvents = events;
			events = [];
			return takenEvents;
		},
	};
};
