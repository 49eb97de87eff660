/* eslint-disable @typescript-eslint/naming-convention -- names of the OpenAI wire format */
/** Test double of a model engine over HTTP, based on the simulated engine in `engine-core.ts`. */
import {type ServerResponse} from 'node:http';
import {setImmediate as nextTurn, setTimeout as sleep} from 'node:timers/promises';
import {randomUUID} from 'node:crypto';
import * as z from 'zod';
import {
	defaultEngineParameters,
	makeEngineCore,
	type CacheEvent,
	type EngineCounts,
	type EngineParameters,
	type TokenEvent,
} from './engine-core.js';
import {makeFaultTable, type Fault, type FaultTable} from './faults.js';
import {
	answerWithFaults,
	readJson,
	sendJson,
	startStandIn,
	type JsonReply,
	type StandInServer,
} from './http-stand-in.js';

const chatSchema = z.looseObject({
	model: z.string(),
	messages: z.array(z.looseObject({role: z.string(), content: z.string()})).min(1),
	stream: z.boolean().default(false),
	max_tokens: z.int().positive().default(16),
	priority: z.number().default(0),
	resume: z.object({id: z.string(), after: z.int().min(-1)}).optional(),
});

const orderSchema = z.object({
	fencing: z.int().nonnegative(),
	wanted: z.object({
		models: z.array(z.string()).optional(), adapters: z.array(z.string()).optional(), versions: z.array(z.string()).optional(), role: z.string().optional(),
	}),
});

type ChatBody = z.output<typeof chatSchema>;

type OpenStream = {
	/** Id in the chunks. A resumed stream keeps the id of the stream that it continues. */
	readonly id: string;
	/** Id of the job in the simulated engine. It is unique, unlike `id`. */
	readonly jobId: string;
	readonly body: ChatBody;
	readonly marker: string;
	readonly response: ServerResponse;
	readonly fault: Fault | undefined;
	readonly tokenTexts: string[];
	/** Tokens that wait for the end of a pause. Undefined if there was none, empty after it. */
	held: {tokens: TokenEvent[]; isOver: boolean} | undefined;
	sentTokens: number;
	isSilent: boolean;
};

export type EngineStandIn = StandInServer & {
	readonly faults: FaultTable;
	readonly counts: EngineCounts;
	/** Chat requests that the engine started to process, and those that crashed it. */
	readonly arrivals: ReadonlyArray<{readonly marker: string; readonly at: number}>;
	/** Streams that it continued, with the version that the request expected and its own. */
	readonly continuedRuns: ReadonlyArray<{readonly expected: string | undefined; readonly own: string | undefined}>;
	/** Counts the chat requests received, including resumed ones. */
	readonly countRequests: () => number;
	readonly countCancelled: () => number;
	readonly countRunning: () => number;
	/** Accepted orders. */
	readonly orders: ReadonlyArray<z.output<typeof orderSchema>>;
};

type EngineOptions = {
	readonly models?: readonly string[];
	readonly parameters?: Partial<EngineParameters>;
	/** Whether orders with an outdated fencing token are refused. */
	readonly checksFencing?: boolean;
	/** Version of its software, which its answers state. An engine without one states and checks none. */
	readonly softwareVersion?: string;
	/** A prompt that contains this text crashes the engine. */
	readonly crashMarker?: string;
	readonly port?: number;
};

/** Returns the text of a token. It contains the request's marker and the token's index, so that a test can check where a token comes from. */
export const makeTokenText = (marker: string, index: number): string => `${marker}:${index} `;

/** Returns the marker of a request, which is the first word of its last message. */
export const getMarker = (messages: ReadonlyArray<{readonly content: string}>): string => messages.at(-1)!.content.split(/\s/v, 1)[0] ?? '';

const makeChunk = (stream: OpenStream, delta: Record<string, unknown>, finishReason?: string): string => `data: ${JSON.stringify({
	id: stream.id,
	object: 'chat.completion.chunk',
	created: 0,
	model: stream.body.model,
	choices: [{index: 0, delta, finish_reason: finishReason ?? null}],
})}\n\n`;

const makeCompletion = (stream: OpenStream): unknown => ({
	id: stream.id,
	object: 'chat.completion',
	created: 0,
	model: stream.body.model,
	choices: [{index: 0, message: {role: 'assistant', content: stream.tokenTexts.join('')}, finish_reason: 'stop'}],
	usage: {completion_tokens: stream.tokenTexts.length},
});

/** Faults can be added for the operations `chat`, `load`, `cancel`, `events` and `orders`. */
export const startEngineStandIn = async (options: EngineOptions = {}): Promise<EngineStandIn> => {
	const parameters = {...defaultEngineParameters, ...options.parameters};
	const core = makeEngineCore(parameters);
	const faults = makeFaultTable();
	const streams = new Map<string, OpenStream>();
	const events: Array<CacheEvent & {seq: number}> = [];
	const orders: Array<z.output<typeof orderSchema>> = [];
	let report = {...core.getLoad(), at: Date.now()};
	const arrivals: Array<{marker: string; at: number}> = [];
	const continuedRuns: Array<{expected: string | undefined; own: string | undefined}> = [];
	let requestCount = 0;
	let cancelledCount = 0;
	let isStepping = false;
	let isClosed = false;

	const endStream = (stream: OpenStream): void => {
		streams.delete(stream.jobId);
		if (stream.body.stream) {
			stream.response.end(`${makeChunk(stream, {}, 'stop')}data: [DONE]\n\n`);
			return;
		}

		sendJson(stream.response, {status: 200, body: makeCompletion(stream)});
	};

	const pauseStream = async (stream: OpenStream, ms: number): Promise<void> => {
		const held: {tokens: TokenEvent[]; isOver: boolean} = {tokens: [], isOver: false};
		stream.held = held;
		await sleep(ms, undefined, {ref: false});
		held.isOver = true;
		for (const token of held.tokens) {
			emitToken(token);
		}
	};

	/** Applies the fault of a stream if it is due. Returns true if the current token must not be sent. */
	const applyFault = (stream: OpenStream): boolean => {
		const {fault} = stream;
		if (fault === undefined || stream.sentTokens < (fault.afterChunks ?? 0)) {
			return false;
		}

		switch (fault.kind) {
			case 'cut':
			case 'lose_reply': {
				core.cancel(stream.jobId);
				streams.delete(stream.jobId);
				stream.response.destroy();
				return true;
			}

			case 'silent': {
				stream.isSilent = true;
				return true;
			}

			case 'pause': {
				if (stream.held !== undefined) {
					return false;
				}

				void pauseStream(stream, fault.delayMs ?? 100);
				return false;
			}

			case 'break': {
				stream.response.write('data: {"id": broken\n\n');
				return true;
			}

			case 'mismatch': {
				stream.response.write(makeChunk({...stream, id: 'of-another-stream'}, {content: 'not yours'}));
				return true;
			}

			case 'delay':
			case 'refuse': {
				return false;
			}
		}
	};

	const emitToken = (token: TokenEvent): void => {
		const stream = streams.get(token.id);
		if (stream === undefined || stream.isSilent || applyFault(stream)) {
			return;
		}

		if (stream.held?.isOver === false) {
			stream.held.tokens.push(token);
			return;
		}

		const content = makeTokenText(stream.marker, token.index);
		stream.sentTokens++;
		if (stream.body.stream) {
			stream.response.write(makeChunk(stream, {content}));
		} else {
			stream.tokenTexts.push(content);
		}

		if (token.isLast) {
			endStream(stream);
		}
	};

	const recordCacheEvents = (): void => {
		for (const event of core.takeEvents()) {
			events.push({...event, seq: events.length});
		}
	};

	/** Runs the steps of the simulated engine in real time until no work is left. */
	const runSteps = async (): Promise<void> => {
		if (isStepping) {
			return;
		}

		isStepping = true;
		let pendingMs = 0;
		for (let step = core.step(); step !== undefined; step = isClosed ? undefined : core.step()) {
			pendingMs += step.durationMs;
			// Timers have a resolution of one millisecond, so shorter steps are accumulated.
			if (pendingMs >= 1) {
				const startedAt = performance.now();
				await sleep(pendingMs); // eslint-disable-line no-await-in-loop -- steps are sequential
				pendingMs -= performance.now() - startedAt;
			} else {
				await nextTurn(); // eslint-disable-line no-await-in-loop -- steps are sequential
			}

			for (const token of step.tokens) {
				emitToken(token);
			}

			recordCacheEvents();
		}

		isStepping = false;
	};

	const openStream = (body: ChatBody, response: ServerResponse, requestId: string, fault: Fault | undefined): void => {
		const id = body.resume?.id ?? `chatcmpl-${randomUUID()}`;
		const jobId = randomUUID();
		const stream: OpenStream = {
			jobId,
			id, body, marker: getMarker(body.messages), response, fault, tokenTexts: [], sentTokens: 0, isSilent: false, held: undefined,
		};
		streams.set(jobId, stream);
		response.once('close', () => {
			if (streams.delete(jobId)) {
				core.cancel(jobId);
				cancelledCount++;
			}
		});
		if (body.stream) {
			response.writeHead(200, {
				'content-type': 'text/event-stream', 'cache-control': 'no-store', 'x-request-id': requestId, ...versionHeaders,
			});
			response.write(makeChunk(stream, {role: 'assistant', content: ''}));
		}

		core.submit({
			id: jobId,
			prompt: body.messages.map(message => `${message.role}\n${message.content}\n`).join(''),
			priority: body.priority,
			maxTokens: body.max_tokens,
			resumeAfter: body.resume?.after ?? -1,
		});
		void runSteps();
	};

	const versionHeaders: Record<string, string> = options.softwareVersion === undefined ? {} : {'x-software-version': options.softwareVersion};

	const recordArrival = (body: ChatBody): void => {
		arrivals.push({marker: getMarker(body.messages), at: Date.now()});
	};

	/** Whether the request continues a stream of another version. */
	const isOtherVersion = (expected: string | undefined): boolean => expected !== undefined && options.softwareVersion !== undefined && expected !== options.softwareVersion;

	const handleChat = async (body: unknown, response: ServerResponse, {requestId, expectedVersion}: {requestId: string; expectedVersion: string | undefined}): Promise<void> => {
		requestCount++;
		if (isOtherVersion(expectedVersion)) {
			sendJson(response, {status: 421, headers: versionHeaders, body: {error: {message: 'another software version'}}});
			return;
		}

		const parsed = chatSchema.safeParse(body);
		if (!parsed.success || !(options.models ?? [parsed.data.model]).includes(parsed.data.model)) {
			sendJson(response, {status: parsed.success ? 404 : 400, body: {error: {message: 'no such model or no chat request'}}});
			return;
		}

		if (options.crashMarker !== undefined && JSON.stringify(parsed.data.messages).includes(options.crashMarker)) {
			recordArrival(parsed.data);
			await close();
			return;
		}

		const fault = faults.take('chat');
		if (fault?.kind === 'refuse') {
			sendJson(response, {status: 503, headers: {'retry-after': '1'}});
			return;
		}

		if (fault?.kind === 'delay') {
			await sleep(fault.delayMs ?? 100);
		}

		if (parsed.data.resume !== undefined) {
			continuedRuns.push({expected: expectedVersion, own: options.softwareVersion});
		}

		recordArrival(parsed.data);
		openStream(parsed.data, response, requestId, fault);
	};

	/** Returns the last load report, or a new one if the last has reached its maximum age. */
	const getLoadReport = (): JsonReply => {
		const now = Date.now();
		if (now - report.at >= parameters.loadLagMs) {
			report = {...core.getLoad(), at: now};
		}

		return {status: 200, body: report};
	};

	const handleOrder = (body: unknown): JsonReply => {
		const parsed = orderSchema.safeParse(body);
		if (!parsed.success) {
			return {status: 400};
		}

		if (options.checksFencing === true && orders.some(order => order.fencing > parsed.data.fencing)) {
			return {status: 409, body: {error: 'an older fencing number'}};
		}

		orders.push(parsed.data);
		return {status: 200};
	};

	const server = await startStandIn(async (request, response) => {
		const url = new URL(request.url ?? '/', 'http://engine');
		const route = `${request.method} ${url.pathname}`;
		if (route === 'POST /v1/chat/completions') {
			const requestId = String(request.headers['x-request-id'] ?? randomUUID());
			const expectedVersion = request.headers['x-expect-software-version']?.toString();
			await handleChat(await readJson(request), response, {requestId, expectedVersion});
			return;
		}

		if (route === 'GET /load') {
			await answerWithFaults(response, faults, 'load', getLoadReport);
			return;
		}

		if (route === 'GET /events') {
			const from = Number(url.searchParams.get('from') ?? 0);
			await answerWithFaults(response, faults, 'events', () => ({status: 200, body: {events: events.slice(from), next: events.length}}));
			return;
		}

		if (route === 'POST /orders') {
			const body = await readJson(request);
			await answerWithFaults(response, faults, 'orders', () => handleOrder(body));
			return;
		}

		if (request.method === 'DELETE' && url.pathname.startsWith('/v1/requests/')) {
			const id = decodeURIComponent(url.pathname.slice('/v1/requests/'.length));
			await answerWithFaults(response, faults, 'cancel', () => {
				const matching = [...streams.values()].filter(stream => stream.id === id);
				for (const stream of matching) {
					core.cancel(stream.jobId);
					stream.response.destroy();
				}

				return {status: matching.length > 0 ? 200 : 404};
			});
			return;
		}

		sendJson(response, {status: 404});
	}, options.port);

	const close = async (): Promise<void> => {
		isClosed = true;
		await server.close();
	};

	return {
		...server,
		close,
		faults,
		counts: core.counts,
		arrivals,
		continuedRuns,
		countRequests: () => requestCount,
		countCancelled: () => cancelledCount,
		countRunning: () => streams.size,
		orders,
	};
};
