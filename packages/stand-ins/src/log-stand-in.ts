/** Test double of the platform's log service, with faults and trimming. */
import {systemClock} from '@shallotpass/common/clock.js';
import {addMilliseconds, type LogOffset} from '@shallotpass/common/types.js';
import {makeMemoryLog, type MemoryLog} from '@shallotpass/provider/memory-log.js';
import * as z from 'zod';
import {makeFaultTable, type FaultTable} from './faults.js';
import {
	answerWithFaults,
	readJson,
	startStandIn,
	type JsonReply,
	type StandInServer,
} from './http-stand-in.js';

export type LogStandIn = StandInServer & {
	readonly log: MemoryLog;
	readonly faults: FaultTable;
};

const appendBodySchema = z.object({record: z.unknown().refine(record => record !== undefined)});

const querySchema = z.object({
	from: z.coerce.number().int().nonnegative().default(0),
	waitMs: z.coerce.number().int().nonnegative().default(0),
	limit: z.coerce.number().int().positive().default(100),
});

const maxWaitMs = 30_000;

/** Faults can be added for the operations `append` and `read`. */
export const startLogStandIn = async (port = 0): Promise<LogStandIn> => {
	const log = makeMemoryLog(systemClock);
	const faults = makeFaultTable();

	const append = async (stream: string, body: unknown): Promise<JsonReply> => {
		const parsed = appendBodySchema.safeParse(body);
		if (!parsed.success) {
			return {status: 400, body: {error: 'the body needs a record'}};
		}

		return {status: 200, body: {offset: await log.append({stream, record: parsed.data.record})}};
	};

	const read = async (stream: string, url: URL, signal: AbortSignal): Promise<JsonReply> => {
		const {from, waitMs, limit} = querySchema.parse(Object.fromEntries(url.searchParams));
		const waitUntil = waitMs === 0 ? undefined : addMilliseconds(Date.now(), Math.min(waitMs, maxWaitMs));
		const reading = await log.read({
			stream, from: from as LogOffset, limit, waitUntil, signal,
		});
		return reading.kind === 'trimmed'
			? {status: 410, body: {earliest: reading.earliest}}
			: {status: 200, body: {records: reading.records, next: reading.next}};
	};

	const server = await startStandIn(async (request, response) => {
		const url = new URL(request.url ?? '/', 'http://log');
		const [, streams, name] = url.pathname.split('/');
		if (streams !== 'streams' || name === undefined || name === '') {
			await answerWithFaults(response, faults, 'unknown', () => ({status: 404}));
			return;
		}

		const stream = decodeURIComponent(name);
		const disconnectController = new AbortController();
		response.once('close', () => {
			disconnectController.abort();
		});
		if (request.method === 'POST') {
			const body = await readJson(request);
			await answerWithFaults(response, faults, 'append', async () => append(stream, body));
			return;
		}

		await answerWithFaults(response, faults, 'read', async () => read(stream, url, disconnectController.signal));
	}, port);
	return {...server, log, faults};
};
