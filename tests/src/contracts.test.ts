/**
 * Contract tests for platform services and backend servers, with one table of cases per interface.
 * They run against the stand-ins by default. A base URL in one of these environment variables runs
 * them against an external server: SHALLOTPASS_CONTRACT_LOG, _INSTANCES, _CLOUD, _ENGINE, _PLAIN.
 */
import assert from 'node:assert/strict';
import {randomUUID} from 'node:crypto';
import process from 'node:process';
import test from 'node:test';
import {instanceListSchema} from '@shallotpass/common/instance-list.js';
import {startCloudStandIn} from '@shallotpass/stand-ins/cloud-stand-in.js';
import {startEngineStandIn} from '@shallotpass/stand-ins/engine-stand-in.js';
import {startInstanceListStandIn} from '@shallotpass/stand-ins/instance-list-stand-in.js';
import {startLogStandIn} from '@shallotpass/stand-ins/log-stand-in.js';
import {startPlainServiceStandIn} from '@shallotpass/stand-ins/plain-service-stand-in.js';

type ContractCase = {
	readonly name: string;
	readonly check: (baseUrl: string) => Promise<void>;
};

type Server = {readonly url: string; readonly close: () => Promise<void>};

type Contract = {
	readonly name: string;
	/** Environment variable with the base URL of an external server. */
	readonly variable: string;
	/** Starts the stand-in that is tested by default. */
	readonly start: () => Promise<Server>;
	readonly cases: readonly ContractCase[];
};

const readJson = async (url: string, options?: RequestInit): Promise<{status: number; body: Record<string, unknown>}> => {
	const response = await fetch(url, options);
	const text = await response.text();
	return {status: response.status, body: (text === '' ? {} : JSON.parse(text)) as Record<string, unknown>};
};

const post = async (url: string, body: unknown) => readJson(url, {method: 'POST', body: JSON.stringify(body), headers: {'content-type': 'application/json'}});

const makeStreamUrl = (baseUrl: string): string => `${baseUrl}/streams/contract-${randomUUID()}`;

const logCases: readonly ContractCase[] = [
	{
		name: 'assigns consecutive offsets and keeps the order',
		async check(baseUrl) {
			const url = makeStreamUrl(baseUrl);
			const first = await post(url, {record: {number: 1}});
			const second = await post(url, {record: {number: 2}});
			assert.equal(Number(second.body.offset), Number(first.body.offset) + 1);
			const {body} = await readJson(`${url}?from=${Number(first.body.offset)}&limit=10`);
			const records = body.records as Array<{offset: number; record: {number: number}; appendedAt: number}>;
			assert.deepEqual(records.map(item => item.record.number), [1, 2]);
			assert.ok(records.every(item => item.appendedAt > 0));
			assert.equal(body.next, Number(second.body.offset) + 1);
		},
	},
	{
		name: 'returns at most the requested number of records and the next offset',
		async check(baseUrl) {
			const url = makeStreamUrl(baseUrl);
			for (const number of [1, 2, 3]) {
				await post(url, {record: {number}}); // eslint-disable-line no-await-in-loop -- in order
			}

			const {body} = await readJson(`${url}?from=0&limit=2`);
			assert.deepEqual([(body.records as unknown[]).length, body.next], [2, 2]);
		},
	},
	{
		name: 'accepts a long-polling read at the end while a record is appended',
		async check(baseUrl) {
			const url = makeStreamUrl(baseUrl);
			const pendingRead = readJson(`${url}?from=0&waitMs=5000&limit=10`);
			await post(url, {record: {number: 1}});
			const {body} = await pendingRead;
			assert.ok((body.records as unknown[]).length <= 1);
			const after = await readJson(`${url}?from=0&limit=10`);
			assert.equal((after.body.records as unknown[]).length, 1);
		},
	},
	{
		name: 'answers a read at the end with no records after the wait time',
		async check(baseUrl) {
			const {status, body} = await readJson(`${makeStreamUrl(baseUrl)}?from=0&waitMs=20&limit=10`);
			assert.deepEqual([status, body.records, body.next], [200, [], 0]);
		},
	},
	{
		name: 'refuses an append without a record',
		async check(baseUrl) {
			const {status} = await post(makeStreamUrl(baseUrl), {});
			assert.equal(status, 400);
		},
	},
];

const instanceListCases: readonly ContractCase[] = [
	{
		name: 'returns a version and instances that match the schema',
		async check(baseUrl) {
			const {status, body} = await readJson(`${baseUrl}/instances`);
			assert.equal(status, 200);
			assert.equal(instanceListSchema.safeParse(body).success, true);
		},
	},
];

const cloudCases: readonly ContractCase[] = [
	{
		name: 'starts only one instance per token',
		async check(baseUrl) {
			const body = {
				token: randomUUID(), availabilityZone: 'zone-1', machineClass: 'a', reclaimable: true,
			};
			const first = await post(`${baseUrl}/instances`, body);
			const second = await post(`${baseUrl}/instances`, body);
			assert.deepEqual([first.status, second.status, second.body.id], [201, 200, first.body.id]);
			const ended = await readJson(`${baseUrl}/instances/${String(first.body.id)}`, {method: 'DELETE'});
			assert.equal(ended.status, 200);
		},
	},
	{
		name: 'refuses a start without a token',
		async check(baseUrl) {
			const {status} = await post(`${baseUrl}/instances`, {availabilityZone: 'zone-1'});
			assert.equal(status, 400);
		},
	},
	{
		name: 'returns notices and the position of the next one',
		async check(baseUrl) {
			const {status, body} = await readJson(`${baseUrl}/notices?from=0&waitMs=10`);
			assert.equal(status, 200);
			assert.equal(body.next, (body.notices as unknown[]).length);
		},
	},
];

const chatRequest = {model: 'assistant-7b', messages: [{role: 'user', content: 'contract check'}], max_tokens: 4};

type EngineChunk = {readonly id: string; readonly choices: ReadonlyArray<{readonly delta: {readonly content?: string}; readonly finish_reason: unknown}>};

const readStream = async (baseUrl: string, body: unknown): Promise<{chunks: EngineChunk[]; isDone: boolean; requestId: string | undefined}> => {
	const response = await fetch(`${baseUrl}/v1/chat/completions`, {method: 'POST', body: JSON.stringify(body), headers: {'x-request-id': 'contract-1'}});
	const text = await response.text();
	const data = text.split('\n\n').filter(event => event.startsWith('data: ')).map(event => event.slice('data: '.length));
	return {
		chunks: data.filter(item => item !== '[DONE]').map(item => JSON.parse(item) as EngineChunk),
		isDone: data.at(-1) === '[DONE]',
		requestId: response.headers.get('x-request-id') ?? undefined,
	};
};

const joinContent = (chunks: readonly EngineChunk[]): string => chunks.map(chunk => chunk.choices[0]?.delta.content ?? '').join('');

const engineCases: readonly ContractCase[] = [
	{
		name: 'streams chunks with one id, a finish reason and [DONE]',
		async check(baseUrl) {
			const {chunks, isDone, requestId} = await readStream(baseUrl, {...chatRequest, stream: true});
			assert.equal(new Set(chunks.map(chunk => chunk.id)).size, 1);
			assert.ok(chunks.some(chunk => chunk.choices[0]?.finish_reason === 'stop'));
			assert.deepEqual([isDone, requestId], [true, 'contract-1']);
		},
	},
	{
		name: 'resumes a stream after the last received token',
		async check(baseUrl) {
			const complete = await readStream(baseUrl, {...chatRequest, stream: true});
			const rest = await readStream(baseUrl, {...chatRequest, stream: true, resume: {id: complete.chunks[0]!.id, after: 1}});
			assert.equal(rest.chunks[0]!.id, complete.chunks[0]!.id);
			assert.equal(joinContent(complete.chunks).endsWith(joinContent(rest.chunks)), true);
			const tokens = rest.chunks.filter(chunk => (chunk.choices[0]?.delta.content ?? '') !== '');
			assert.equal(tokens.length, 2);
		},
	},
	{
		name: 'returns a complete answer to a non-streaming request',
		async check(baseUrl) {
			const {status, body} = await post(`${baseUrl}/v1/chat/completions`, chatRequest);
			assert.equal(status, 200);
			assert.ok(Array.isArray(body.choices));
		},
	},
	{
		name: 'reports its load with the time of measurement',
		async check(baseUrl) {
			const {body} = await readJson(`${baseUrl}/load`);
			assert.deepEqual(['running', 'queued', 'cachedTokens', 'at'].map(key => typeof body[key]), ['number', 'number', 'number', 'number']);
		},
	},
	{
		name: 'returns cache events from a sequence number',
		async check(baseUrl) {
			await readStream(baseUrl, {...chatRequest, stream: true, messages: [{role: 'user', content: `events ${'x'.repeat(600)}`}]});
			const {body} = await readJson(`${baseUrl}/events?from=0`);
			const events = body.events as Array<{seq: number; kind: string; blocks: string[]}>;
			assert.ok(events.some(event => event.kind === 'stored' && event.blocks.length > 0));
			assert.equal(body.next, events.at(-1)!.seq + 1);
		},
	},
	{
		name: 'answers 404 to the cancellation of an unknown request',
		async check(baseUrl) {
			const {status} = await readJson(`${baseUrl}/v1/requests/nobody`, {method: 'DELETE'});
			assert.equal(status, 404);
		},
	},
	{
		name: 'accepts an order and refuses an older one',
		async check(baseUrl) {
			const newer = await post(`${baseUrl}/orders`, {fencing: 1_000_001, wanted: {models: ['assistant-7b']}});
			const older = await post(`${baseUrl}/orders`, {fencing: 1_000_000, wanted: {models: []}});
			assert.deepEqual([newer.status, older.status], [200, 409]);
		},
	},
	{
		name: 'refuses invalid chat requests and unknown models',
		async check(baseUrl) {
			const broken = await post(`${baseUrl}/v1/chat/completions`, {model: 'assistant-7b'});
			const unknown = await post(`${baseUrl}/v1/chat/completions`, {...chatRequest, model: 'nobody'});
			assert.deepEqual([broken.status, unknown.status], [400, 404]);
		},
	},
];

const plainCases: readonly ContractCase[] = [
	{
		name: 'returns the id of the request',
		async check(baseUrl) {
			const response = await fetch(`${baseUrl}/anything`, {method: 'POST', body: '{}', headers: {'x-request-id': 'contract-2'}});
			await response.text();
			assert.equal(response.headers.get('x-request-id'), 'contract-2');
		},
	},
	{
		name: 'refuses a call with an older fencing token',
		async check(baseUrl) {
			const key = randomUUID();
			const call = async (fencing: number): Promise<number> => {
				const response = await fetch(`${baseUrl}/anything`, {method: 'POST', body: '{}', headers: {'idempotency-key': key, 'x-fencing': String(fencing)}});
				await response.text();
				return response.status;
			};

			assert.deepEqual([await call(5), await call(4)], [200, 409]);
		},
	},
];

const contracts: readonly Contract[] = [
	{
		name: 'log service', variable: 'SHALLOTPASS_CONTRACT_LOG', start: async () => startLogStandIn(), cases: logCases,
	},
	{
		name: 'instance list', variable: 'SHALLOTPASS_CONTRACT_INSTANCES', start: async () => startInstanceListStandIn(), cases: instanceListCases,
	},
	{
		name: 'cloud API', variable: 'SHALLOTPASS_CONTRACT_CLOUD', start: async () => startCloudStandIn(), cases: cloudCases,
	},
	{
		name: 'model engine', variable: 'SHALLOTPASS_CONTRACT_ENGINE', start: async () => startEngineStandIn({models: ['assistant-7b'], checksFencing: true, parameters: {stepMs: 1}}), cases: engineCases,
	},
	{
		name: 'plain service', variable: 'SHALLOTPASS_CONTRACT_PLAIN', start: async () => startPlainServiceStandIn({checksFencing: true}), cases: plainCases,
	},
];

for (const {name, variable, start, cases} of contracts) {
	for (const {name: caseName, check} of cases) {
		test(`the ${name} ${caseName}`, async t => {
			const externalUrl = process.env[variable];
			if (externalUrl !== undefined) {
				await check(externalUrl);
				return;
			}

			const server = await start();
			t.after(async () => server.close());
			await check(server.url);
		});
	}
}
