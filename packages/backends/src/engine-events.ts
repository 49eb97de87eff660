/** Reads the cache events of a model engine: blocks that its prefix cache stored and evicted. Events can be late or missing. */
import {type Dispatcher, request} from 'undici';
import * as z from 'zod';
import {checkResponseStatus} from './check-status.js';
import {maxCacheEventsBytes} from './read-bounds.js';
import {readText} from './read-text.js';

/** A block is identified by the hash of the prompt up to the end of the block, in hexadecimal. */
const blockPattern = /^[\da-f]{1,16}$/v;

const eventsSchema = z.object({
	events: z.array(z.object({
		seq: z.number(),
		kind: z.enum(['stored', 'evicted']),
		blocks: z.array(z.string()),
	})),
	next: z.number(),
});

export type CacheEvent = {
	readonly kind: 'stored' | 'evicted';
	readonly blocks: readonly bigint[];
};

export type CacheEventPage = {
	readonly events: readonly CacheEvent[];
	/** Sequence number from which to continue reading. */
	readonly next: number;
};

const requestTimeoutMs = 1000;

/** Parses block hashes. Skips values in other formats, which cannot match any prompt. */
const parseBlockHashes = (blocks: readonly string[]): bigint[] =>
	blocks.filter(block => blockPattern.test(block)).map(block => BigInt(`0x${block}`));

/** Throws if the request fails or the response is invalid. */
export const readCacheEvents = async (address: string, from: number, dispatcher: Dispatcher, signal: AbortSignal): Promise<CacheEventPage> => {
	const response = await request(`http://${address}/events?from=${from}`, {
		dispatcher,
		signal: AbortSignal.any([signal, AbortSignal.timeout(requestTimeoutMs)]),
	});
	checkResponseStatus(response);
	const {events, next} = eventsSchema.parse(JSON.parse(await readText(response.body, maxCacheEventsBytes)));
	return {events: events.map(({kind, blocks}) => ({kind, blocks: parseBlockHashes(blocks)})), next};
};
