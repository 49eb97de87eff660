/**
 * Follows one topic of the platform's store: first reads the newest record of each key, then all further
 * records in order by long polling.
 */
import {performance} from 'node:perf_hooks';
import {listingResponseTimeoutMs, storeResponseMarginMs} from '../hop-times.js';
import {pauseFor} from '../pause.js';
import {type KeyedRecord, type Store, type Topic} from '../ports.js';

/** Timeout for reading the newest records, until the whole response has arrived. */
const listingTimeoutMs = 1500;

/** Initial retry delay, doubled with each consecutive failure. It is short because a store that refused one call may accept the next. */
const initialRetryDelayMs = 250;

/** Interval between checks whether other daemons still read the store on behalf of this one. */
const pausedPollMs = 200;

export type TopicHandlers = {
	/** Called before each call to the store. */
	readonly onCall?: () => void;
	readonly onListing: (records: readonly KeyedRecord[], end: number) => void;
	readonly onRecords: (records: readonly KeyedRecord[], end: number) => void;
	/** Called first on each response of the store: with the records of this response, the state is up to date as of now. */
	readonly onResponse: () => void;
	readonly onFailure: (reason: string) => void;
};

export type FollowTopicOptions = {
	readonly store: Store;
	readonly topic: Topic;
	/** Time that the store may hold a poll until a record arrives. */
	readonly waitMs: number;
	/** Shortest interval between polls that return records. Limits the number of calls on a busy topic. */
	readonly minIntervalMs: number;
	/** While true, other daemons read the store on behalf of this one, and no calls are made. */
	readonly isPaused: () => boolean;
	/** Longest retry delay. During an outage of the store, every failing call is still billed. */
	readonly getMaxRetryDelayMs: () => number;
	readonly handlers: TopicHandlers;
	readonly signal: AbortSignal;
};

const readNewestRecords = async (options: FollowTopicOptions): Promise<number | undefined> => {
	const {store, topic, handlers, signal} = options;
	handlers.onCall?.();
	const reply = await store.readNewest(topic, {responseTimeoutMs: listingResponseTimeoutMs, timeoutMs: listingTimeoutMs, signal});
	if (reply.kind === 'failed') {
		handlers.onFailure(reply.reason);
		return undefined;
	}

	handlers.onResponse();
	handlers.onListing(reply.records, reply.end);
	return reply.end;
};

type PollRange = {
	/** Offset of the first record to read. */
	readonly from: number;
	readonly waitMs: number;
};

const poll = async (options: FollowTopicOptions, {from, waitMs}: PollRange): Promise<{next: number | undefined; hasFailed: boolean; isEmpty: boolean}> => {
	const {store, topic, handlers, signal} = options;
	handlers.onCall?.();
	const reply = await store.read(topic, from, {waitMs, timeoutMs: waitMs + storeResponseMarginMs, signal});
	if (reply.kind === 'failed') {
		handlers.onFailure(reply.reason);
		return {next: from, hasFailed: true, isEmpty: true};
	}

	if (reply.kind === 'trimmed') {
		return {next: undefined, hasFailed: false, isEmpty: true};
	}

	const last = reply.records.at(-1);
	handlers.onResponse();
	if (reply.records.length > 0) {
		handlers.onRecords(reply.records, reply.end);
	}

	return {next: last === undefined ? Math.max(from, reply.end) : last.offset + 1, hasFailed: false, isEmpty: reply.records.length === 0};
};

/** Runs until the signal is aborted. */
export const followTopic = async (options: FollowTopicOptions): Promise<void> => {
	const {signal} = options;
	let next: number | undefined;
	let failures = 0;
	const delayRetry = async (): Promise<void> => {
		const delayMs = Math.min(options.getMaxRetryDelayMs(), initialRetryDelayMs * (2 ** failures));
		failures++;
		await pauseFor(delayMs, signal);
	};

	while (!signal.aborted) {
		if (options.isPaused()) {
			// Records missed meanwhile may have been trimmed from the log, so the newest records are read again.
			next = undefined;
			failures = 0;
			// eslint-disable-next-line no-await-in-loop -- a poll
			await pauseFor(pausedPollMs, signal);
			continue;
		}

		if (next === undefined) {
			// eslint-disable-next-line no-await-in-loop -- polls are sequential
			next = await readNewestRecords(options);
			if (next === undefined) {
				// eslint-disable-next-line no-await-in-loop -- polls are sequential
				await delayRetry();
			}

			continue;
		}

		const polledAt = performance.now();
		// A retry doesn't wait for records, so that the end of an outage is noticed soon.
		// eslint-disable-next-line no-await-in-loop -- polls are sequential
		const polled = await poll(options, {from: next, waitMs: failures > 0 ? 0 : options.waitMs});
		next = polled.next;
		if (polled.hasFailed) {
			// eslint-disable-next-line no-await-in-loop -- polls are sequential
			await delayRetry();
			continue;
		}

		failures = 0;
		const remainingMs = polledAt + options.minIntervalMs - performance.now();
		if (!polled.isEmpty && remainingMs > 0) {
			// eslint-disable-next-line no-await-in-loop -- polls are sequential
			await pauseFor(remainingMs, signal);
		}
	}
};
