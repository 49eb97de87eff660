import assert from 'node:assert/strict';
import {Buffer} from 'node:buffer';
import http from 'node:http';
import process from 'node:process';
import test, {type TestContext} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import {
	announceBackend, makeConfiguration, type PlatformFixture, removeBackend, startPlatformFixture, waitUntil,
} from '@shallotpass/platform/stand-ins/platform-fixture.js';
import {makeHttpEngines} from '@shallotpass/platform/http-engines.js';
import {startBackendLinks} from '@shallotpass/platform/stand-ins/backend-links.js';
import {host, shopKey} from '@shallotpass/platform/stand-ins/send-call.js';
import {
	type ScriptedRequest, type ScriptedServer, type ScriptStep, startScriptedServer,
} from '@shallotpass/stand-ins/scripted-server.js';
import {readLoad} from '@shallotpass/backends/engine-load.js';
import {BackendAgent} from '@shallotpass/gateway/calls/backend-agent.js';
import {callerKey, waitFor} from '@shallotpass/measure/local-fleet.js';
import {Agent} from 'undici';
import fc from 'fast-check';
import {
	type AnswerBytes, type AnswerParts, type AnswerShape, bodilessShapes, cutAnswer, type Ending, endings, failureShapes, shapeAnswer, successShapes,
} from './answer-shapes.js';
import {startFleet} from './fleet-fixture.js';

/** CUT_ANSWERS=all plays each cut, otherwise a selection by this seed. */
const playsAll = process.env.CUT_ANSWERS === 'all';
const seed = Number(process.env.CUT_SEED ?? 72);
const selectedCuts = 4;
const callsAtOnce = 8;

type Received = {
	readonly status: number;
	readonly seal: string;
	readonly body: string;
	readonly isComplete: boolean;
};

type CallerRequest = {
	readonly address: string;
	readonly method: string;
	readonly path: string;
	readonly headers: Readonly<Record<string, string>>;
	readonly body?: string;
};

/** Returns undefined if the connection ended without an answer. */
const ask = async ({address, method, path, headers, body}: CallerRequest): Promise<Received | undefined> => new Promise(resolve => {
	const [ip, port] = address.split(':');
	const request = http.request({
		host: ip, port: Number(port), method, path, headers, agent: false,
	}, response => {
		let text = '';
		response.on('data', (chunk: Uint8Array) => {
			text += new TextDecoder().decode(chunk);
		});
		response.on('error', () => {/* Reported as `isComplete`. */});
		response.once('close', () => {
			resolve({
				status: response.statusCode ?? 0, seal: response.headers['x-response-seal']?.toString() ?? '', body: text, isComplete: response.complete,
			});
		});
	});
	request.once('error', () => {
		resolve(undefined);
	});
	request.end(body);
});

type Route = 'read' | 'book' | 'ask' | 'draft';

const isStreamRoute = (route: Route): boolean => route === 'ask' || route === 'draft';

const askGateway = async (address: string, route: Route, id: string, method = route === 'read' ? 'GET' : 'POST'): Promise<Received | undefined> => ask({
	address, method, path: `/${route}/${id}`, headers: {
		Host: host, 'X-Request-Id': id, 'X-Deadline-Ms': '5000', Authorization: `Bearer ${shopKey}`,
		...(isStreamRoute(route) && {'X-Token-Usage': '100,20', 'X-Prompt-Prefix': `${Buffer.from(id).toString('hex')}:50`}),
	}, ...(method === 'POST' && {body: 'x'}),
});

const formatEvents = (first = 1): string => [1, 2, 3, 4].filter(event => event >= first).map(event => `id: ${event}\ndata: word-${event}\n\n`).join('');

const seal = 'seal-scripted';

const makeParts = (route: Route, id: string): AnswerParts => ({
	statusLine: 'HTTP/1.1 200 OK',
	fields: [...(isStreamRoute(route) ? ['Content-Type: text/event-stream'] : []), `X-Request-Id: ${id}`, `X-Response-Seal: ${seal}`],
	body: isStreamRoute(route) ? formatEvents() : `the answer to ${id}, of some bytes`,
});

/** Leaves each call the repeats that its route allows. */
const manyRepeats = {repeatRatio: 5, repeatSlack: 100_000};

type Plan = (request: ScriptedRequest, arrival: number) => readonly ScriptStep[] | Promise<readonly ScriptStep[]>;

type ScriptedFixture = {
	readonly fixture: PlatformFixture;
	readonly address: string;
	/** Addresses of the backend servers. */
	readonly servers: readonly string[];
	/** What the backend servers do with a call, by its id. */
	readonly plans: Map<string, Plan>;
	readonly countArrivals: (id: string) => number;
	/** Takes back what the daemon holds against the backend servers. */
	readonly forgiveBackends: () => void;
};

const startScriptedBackends = async (answer: (request: ScriptedRequest) => readonly ScriptStep[] | Promise<readonly ScriptStep[]>, count: number): Promise<ScriptedServer[]> =>
	Promise.all(Array.from({length: count}, async () => startScriptedServer(answer)));

/** Starts a daemon whose backend servers all follow the plan of each call. */
const startScripted = async (t: TestContext, count = 1, configuration = makeConfiguration(1)): Promise<ScriptedFixture> => {
	const fixture = await startPlatformFixture({
		daemons: 0, engines: 1, apps: 1, configuration: makeConfiguration(1),
	});
	t.after(async () => fixture.close());
	const plans = new Map<string, Plan>();
	const arrivals = new Map<string, number>();
	const answer = async (request: ScriptedRequest): Promise<readonly ScriptStep[]> => {
		if (request.path === '/report') {
			return [{kind: 'bytes', text: 'HTTP/1.1 404 Not Found\r\nContent-Length: 2\r\n\r\n{}'}];
		}

		const id = request.headers['x-request-id'] ?? '';
		const arrival = (arrivals.get(id) ?? 0) + 1;
		arrivals.set(id, arrival);
		return plans.get(id)?.(request, arrival) ?? [{kind: 'close'}];
	};

	const addresses: string[] = [];
	for (const [service, unused] of [['llm', fixture.engines.pop()!], ['app', fixture.apps.pop()!]] as const) {
		removeBackend(fixture.store, unused);
		t.after(async () => unused.close());
		const servers = await startScriptedBackends(answer, count); // eslint-disable-line no-await-in-loop -- one service after the other
		for (const [index, server] of servers.entries()) {
			addresses.push(server.address);
			t.after(async () => server.close());
			announceBackend(fixture.store, {id: `${service}-${index}`, address: server.address, born: undefined}, {
				service, address: server.address, born: 1000, places: 64,
			});
		}
	}

	const {state} = await fixture.startDaemon('daemon-0', {bounds: manyRepeats});
	await waitUntil('the daemon knows the backend servers', () => state.registry.byId.size === count * 2);
	return {
		fixture, address: state.settings.listen.callers, servers: addresses, plans, countArrivals: id => arrivals.get(id) ?? 0,
		forgiveBackends() {
			for (const known of state.registry.byId.values()) {
				known.suspendedUntil = Number.NEGATIVE_INFINITY;
				known.failedConnects = 0;
				known.unsoundness = undefined;
			}
		},
	};
};

/** All cuts of an answer, or a selection that has those around the ends of its head and of its body. */
const listCuts = ({text, headBytes}: AnswerBytes): number[] => {
	const all = Array.from({length: text.length + 1}, (_value, index) => index);
	if (playsAll) {
		return all;
	}

	const drawn = fc.sample(fc.nat(text.length), {seed, numRuns: selectedCuts});
	const ends = [headBytes - 2, headBytes - 1, headBytes, headBytes + 1, text.length - 1, text.length];
	return [...new Set([...ends, ...drawn])].filter(cut => cut >= 0 && cut <= text.length);
};

type Tally = Map<string, number>;

const count = (tally: Tally, outcome: string): void => {
	tally.set(outcome, (tally.get(outcome) ?? 0) + 1);
};

const promises: ReadonlySet<number> = new Set([408, 421, 429, 503]);

type Cut = {
	readonly shape: AnswerShape;
	readonly answer: AnswerBytes;
	readonly parts: AnswerParts;
	readonly bytes: number;
	readonly ending: Ending;
};

/** Whether nothing tells that the bytes are not the whole answer: it has no length, and its connection was closed in order behind a part of its body. */
const isWholeByProtocol = ({answer, bytes, ending}: Cut): boolean => answer.isUnframed && ending === 'close' && bytes > answer.headBytes;

/** Whether a caller is owed the answer if all of it is sent. A reset may come before all of it is read. */
const isSound = ({shape, ending}: Cut): boolean => shape.isUnreadable !== true && ending === 'close';

/** Returns what became of the call, which begins with `fault` if the caller was misled. */
const judge = (cut: Cut, received: Received | undefined, arrivals: number): string => {
	const {answer, parts, bytes} = cut;
	// A call may meet the end of the connection of the call before it.
	const isAllSent = bytes === answer.text.length && arrivals > 0;
	if (received?.isComplete !== true) {
		return isAllSent && isSound(cut) ? 'fault: a whole answer was not passed on' : 'unfinished';
	}

	if (received.seal === '') {
		return (arrivals > 0 && promises.has(received.status)) || (isAllSent && isSound(cut)) ? `fault: status ${received.status} for a call that ran` : `status ${received.status}`;
	}

	const wholeBody = answer.isBodiless ? '' : parts.body;
	if (received.body === wholeBody && bytes >= answer.headBytes) {
		return 'whole';
	}

	return isWholeByProtocol(cut) && parts.body.startsWith(received.body) ? 'whole by the protocol' : `fault: looks whole, status ${received.status}, ${received.body.length} of ${parts.body.length} bytes`;
};

const runAll = async <Item>(items: readonly Item[], run: (item: Item) => Promise<void>): Promise<void> => {
	const left = [...items];
	await Promise.all(Array.from({length: callsAtOnce}, async () => {
		for (let item = left.pop(); item !== undefined; item = left.pop()) {
			await run(item); // eslint-disable-line no-await-in-loop -- so many at once
		}
	}));
};

const printTally = (t: TestContext, tally: Tally): void => {
	t.diagnostic(JSON.stringify(Object.fromEntries([...tally].toSorted(([left], [right]) => left.localeCompare(right)))));
};

/** Fails with the first cuts by which a caller was misled. */
const assertNone = (faults: readonly string[]): void => {
	assert.equal(faults.length, 0, faults.slice(0, 20).join('\n'));
};

type CutPlay<Name = Route> = {
	readonly route: Name;
	readonly shapes: readonly AnswerShape[];
	/** Differs from call to call, as answers state the id. */
	readonly makeParts: (id: string) => AnswerParts;
};

const listCutsOf = ({route, shapes, makeParts: make}: CutPlay<string>): Array<Cut & {readonly id: string}> => {
	let number = 0;
	return shapes.flatMap((shape, shapeNumber) => endings.flatMap(ending => {
		const sample = shapeAnswer(shape, make(`${route}-00-00000`));
		return listCuts(sample).map(bytes => {
			number++;
			const id = `${route}-${String(shapeNumber).padStart(2, '0')}-${String(number).padStart(5, '0')}`;
			const parts = make(id);
			return {
				id, shape, parts, answer: shapeAnswer(shape, parts), bytes, ending,
			};
		});
	}));
};

const describeCut = ({shape, ending, bytes, answer}: Cut): string => `${shape.name}, ${ending} after byte ${bytes} (head ${answer.headBytes}, all ${answer.text.length})`;

const playCuts = async (t: TestContext, {address, plans, countArrivals, forgiveBackends}: ScriptedFixture, play: CutPlay): Promise<void> => {
	const tally: Tally = new Map();
	const faults: string[] = [];
	await runAll(listCutsOf(play), async cut => {
		const {id, shape, answer, bytes, ending} = cut;
		plans.set(id, () => cutAnswer(answer, bytes, ending, shape.findPause?.(answer)));
		forgiveBackends();
		const outcome = judge(cut, await askGateway(address, play.route, id, shape.method), countArrivals(id));
		plans.delete(id);
		count(tally, outcome);
		if (outcome.startsWith('fault')) {
			faults.push(`${outcome}: ${describeCut(cut)}`);
		}
	});
	printTally(t, tally);
	assertNone(faults);
};

for (const route of ['book', 'draft', 'read', 'ask'] as const) {
	test(`an answer that is cut at any byte does not look whole to a caller of ${route}`, async t => {
		// The caller would take an empty or shorter body for the result.
		const fixture = await startScripted(t);
		await playCuts(t, fixture, {route, shapes: successShapes, makeParts: id => makeParts(route, id)});
	});
}

test('an answer without a body whose head is cut at any byte does not look whole', async t => {
	const fixture = await startScripted(t);
	await playCuts(t, fixture, {route: 'read', shapes: bodilessShapes, makeParts: id => makeParts('read', id)});
});

for (const route of ['book', 'draft'] as const) {
	test(`an error of a backend server that is cut at any byte does not look whole to a caller of ${route}`, async t => {
		const fixture = await startScripted(t);
		await playCuts(t, fixture, {
			route, shapes: failureShapes, makeParts: id => ({...makeParts(route, id), statusLine: 'HTTP/1.1 500 Internal Server Error', body: `the failure of ${id}, of some bytes`}),
		});
	});
}

const refusals = [
	{statusLine: 'HTTP/1.1 503 Service Unavailable', fields: ['X-Not-Executed: 1'], body: 'refused, of some bytes'},
	{statusLine: 'HTTP/1.1 421 Misdirected Request', fields: ['X-Instance-Id: another'], body: 'refused, of some bytes'},
] as const;

for (const refusal of refusals) {
	test(`a refusal "${refusal.statusLine}" that is cut promises nothing before its head is whole, and its connection is not used again`, async t => {
		// The status alone does not tell that a call has not run, and the rest of the refusal would be read as the next answer.
		const fixture = await startScripted(t);
		const {address, plans, countArrivals, forgiveBackends} = fixture;
		const cuts = listCutsOf({route: 'book', shapes: failureShapes, makeParts: () => refusal});
		const tally: Tally = new Map();
		const faults: string[] = [];
		const cutConnections = new Set<number>();
		await runAll(cuts, async cut => {
			const {id, answer, bytes, ending} = cut;
			plans.set(id, ({connection}) => {
				if (cutConnections.has(connection)) {
					faults.push(`used again: ${describeCut(cut)}`);
				}

				cutConnections.add(connection);
				return cutAnswer(answer, bytes, ending);
			});
			forgiveBackends();
			const received = await askGateway(address, 'book', id);
			plans.delete(id);
			const isPromise = received !== undefined && promises.has(received.status);
			count(tally, `${bytes < answer.headBytes ? 'part of a head' : 'head'}: ${received?.status ?? 'none'}`);
			if (received?.status === 200 || (isPromise && countArrivals(id) > 0 && bytes < answer.headBytes)) {
				faults.push(`status ${received.status}: ${describeCut(cut)}`);
			}
		});
		printTally(t, tally);
		assertNone(faults);
	});
}

/** Returns what became of a stream that goes on elsewhere. */
const judgeEvents = (cut: Cut, received: Received | undefined): string => {
	if (received?.status !== 200) {
		return `unfinished, ${received?.status ?? 'none'}`;
	}

	if (!formatEvents().startsWith(received.body)) {
		return 'fault: mixed';
	}

	if (!received.isComplete) {
		return 'unfinished, 200';
	}

	if (received.body === formatEvents()) {
		return 'whole';
	}

	return isWholeByProtocol(cut) ? 'whole by the protocol' : 'fault: looks whole';
};

test('a stream that is taken up is not whole if the answer there is cut at any byte', async t => {
	// The caller would miss the last events, or get events of two answers.
	const fixture = await startScripted(t, 3);
	const {address, plans, forgiveBackends} = fixture;
	const tally: Tally = new Map();
	const faults: string[] = [];
	const cuts = listCutsOf({route: 'ask', shapes: successShapes, makeParts: id => ({...makeParts('ask', id), body: formatEvents(3)})});
	await runAll(cuts, async cut => {
		const {id, shape, answer, bytes, ending} = cut;
		const first = shapeAnswer(successShapes.find(({name}) => name === 'chunks')!, makeParts('ask', id));
		const firstBytes = first.text.indexOf('id: 3');
		plans.set(id, ({headers}) => headers['last-event-id'] === undefined
			? cutAnswer(first, firstBytes, 'close')
			: cutAnswer(shapeAnswer(shape, {...makeParts('ask', id), body: formatEvents(Number(headers['last-event-id']) + 1)}), bytes, ending, shape.findPause?.(answer)));
		forgiveBackends();
		const received = await askGateway(address, 'ask', id);
		plans.delete(id);
		const outcome = judgeEvents(cut, received);
		count(tally, outcome);
		if (outcome.startsWith('fault')) {
			faults.push(`${outcome}, ${received?.body.length ?? 0} bytes: ${describeCut(cut)}`);
		}
	});
	printTally(t, tally);
	assertNone(faults);
});

/** What the daemon asks backend servers of the own interface beside the calls. */
const reports: ReadonlyMap<string, string> = new Map([
	['/load', JSON.stringify({running: 0, queued: 0, at: 0})],
	['/events', JSON.stringify({events: [], next: 0})],
]);

/** Starts a daemon of the own interface whose backend servers follow the plan of each call, which its body names. */
const startScriptedFleet = async (t: TestContext) => {
	const plans = new Map<string, Plan>();
	const arrivals = new Map<string, number>();
	const server = await startScriptedServer(async request => {
		const body = reports.get(request.path.split('?', 1)[0]!);
		if (body !== undefined) {
			return [{kind: 'bytes', text: `HTTP/1.1 200 OK\r\nContent-Length: ${body.length}\r\n\r\n${body}`}];
		}

		const id = /call-[\d\-]+/v.exec(request.path + request.body)?.[0] ?? '';
		arrivals.set(id, (arrivals.get(id) ?? 0) + 1);
		return plans.get(id)?.(request, arrivals.get(id)!) ?? [{kind: 'close'}];
	});
	t.after(async () => server.close());
	const {daemons: [daemon], platform} = await startFleet(t, {daemons: 1, engines: [{}], services: 1});
	const countLive = async (count: number): Promise<void> => {
		await waitFor(`the daemon knows ${count} backend servers`, async () => {
			const text = await daemon!.environment.metrics.registry.getSingleMetricAsString('shallotpass_backends');
			return text.includes(`state="live"} ${count}`);
		});
	};

	platform.list.put({
		role: 'backend', state: 'live', id: 'scripted', address: server.address, availabilityZone: 'zone-1', services: ['assistant', 'reservations', 'catalogue'],
	});
	await countLive(3);
	platform.list.remove('engine-0');
	platform.list.remove('reservations-0');
	await countLive(1);
	return {address: daemon!.callers, plans, countArrivals: (id: string) => arrivals.get(id) ?? 0};
};

const formatChatChunk = (id: string, delta: Record<string, unknown>, finishReason?: string): string =>
	`data: ${JSON.stringify({id, choices: [{index: 0, delta, finish_reason: finishReason ?? null}]})}\n\n`;

const formatChat = (id: string): string => [
	formatChatChunk(id, {role: 'assistant', content: ''}), formatChatChunk(id, {content: 'a'}), formatChatChunk(id, {content: 'b'}), formatChatChunk(id, {}, 'stop'), 'data: [DONE]\n\n',
].join('');

type OwnPlay = {
	readonly name: string;
	readonly path: (id: string) => string;
	readonly headers?: (id: string) => Readonly<Record<string, string>>;
	readonly callBody: (id: string) => string;
	readonly answerBody: (id: string) => string;
	/** Whether what the caller received claims to be the whole answer. */
	readonly looksWhole: (body: string) => boolean;
};

const chatRequest = (id: string, stream: boolean): string => JSON.stringify({model: 'assistant-7b', stream, messages: [{role: 'user', content: id}]});

const ownPlays: readonly OwnPlay[] = [
	{
		name: 'a call that may be repeated', path: id => `/services/catalogue/${id}`, callBody: id => id, answerBody: id => `the answer to ${id}, of some bytes`, looksWhole: () => true,
	},
	{
		name: 'a call with an idempotency key', path: id => `/services/reservations/${id}`, headers: id => ({'idempotency-key': id}), callBody: id => id, answerBody: id => `the answer to ${id}, of some bytes`, looksWhole: () => true,
	},
	{
		name: 'a stream', path: () => '/v1/chat/completions', callBody: id => chatRequest(id, true), answerBody: formatChat, looksWhole: body => body.includes('[DONE]'),
	},
	{
		name: 'a completion', path: () => '/v1/chat/completions', callBody: id => chatRequest(id, false), answerBody: id => JSON.stringify({id, choices: [{index: 0, message: {role: 'assistant', content: 'ab'}}]}), looksWhole: () => true,
	},
];

for (const play of ownPlays) {
	test(`an answer of the own interface that is cut at any byte does not look whole to the caller of ${play.name}`, async t => {
		const {address, plans, countArrivals} = await startScriptedFleet(t);
		const tally: Tally = new Map();
		const faults: string[] = [];
		// The id of the request is given by the daemon, and stands in the answer in the same length.
		const uuid = '00000000-0000-0000-0000-000000000000';
		const cuts = listCutsOf({route: 'call', shapes: successShapes, makeParts: id => ({statusLine: 'HTTP/1.1 200 OK', fields: [`X-Request-Id: ${uuid}`], body: play.answerBody(id)})});
		const playCut = async (cut: (typeof cuts)[0]): Promise<void> => {
			const {id, shape, answer, bytes, ending} = cut;
			plans.set(id, ({headers}) => cutAnswer({...answer, text: answer.text.replace(uuid, headers['x-request-id']!)}, bytes, ending, shape.findPause?.(answer)));
			const received = await ask({
				address, method: 'POST', path: play.path(id), headers: {authorization: `Bearer ${callerKey}`, 'content-type': 'application/json', ...play.headers?.(id)}, body: play.callBody(id),
			});
			plans.delete(id);
			const isOk = received?.status === 200 && received.isComplete && play.looksWhole(received.body);
			const isWhole = received?.body === cut.parts.body && bytes >= answer.headBytes;
			const isPrefix = isWholeByProtocol(cut) && cut.parts.body.startsWith(received?.body ?? '');
			// The client of this interface reads no status 100 that was not asked for.
			const isReadable = isSound(cut) && !answer.text.startsWith('HTTP/1.1 100');
			const owed = bytes === answer.text.length && countArrivals(id) > 0 && isReadable ? 'fault: a whole answer was not passed on' : `unfinished, ${received?.status ?? 'none'}`;
			const wrong = isPrefix ? 'whole by the protocol' : `fault: looks whole, ${received?.body.length ?? 0} of ${cut.parts.body.length} bytes`;
			const ok = isWhole ? 'whole' : wrong;
			const outcome = isOk ? ok : owed;
			count(tally, outcome);
			if (outcome.startsWith('fault')) {
				faults.push(`${outcome}: ${describeCut(cut)}`);
			}
		};

		// A reset of one connection makes answers doubtful that end with another one at the same time.
		for (const ending of endings) {
			await runAll(cuts.filter(cut => cut.ending === ending), playCut); // eslint-disable-line no-await-in-loop -- one after the other
		}

		printTally(t, tally);
		assertNone(faults);
	});
}

const reportTimeoutMs = 2000;

test('a report of a backend server that is cut at any byte tells nothing', async t => {
	// The process would be taken for the one of the directory, and a stream go on at another software version.
	const report = {
		stage: 'both', born: 1_700_000_000_000, running: 1, queued: 0, at: 1,
	};
	const plans = new Map<string, Plan>();
	const server = await startScriptedServer(async request => plans.get('')!(request, 1));
	t.after(async () => server.close());
	const engines = makeHttpEngines();
	const dispatcher = new Agent();
	t.after(async () => dispatcher.destroy());
	const tally: Tally = new Map();
	const faults: string[] = [];
	const parts = {statusLine: 'HTTP/1.1 200 OK', fields: [], body: JSON.stringify(report)};
	for (const cut of listCutsOf({route: 'report', shapes: successShapes, makeParts: () => parts})) {
		const {shape, answer, bytes, ending} = cut;
		plans.set('', () => cutAnswer(answer, bytes, ending, shape.findPause?.(answer)));
		const agent = new BackendAgent();
		// eslint-disable-next-line no-await-in-loop -- one after the other
		const start = await engines.readStart({address: server.address, agent}, {timeoutMs: reportTimeoutMs, signal: AbortSignal.timeout(reportTimeoutMs)});
		agent.destroy();
		const isAllSent = bytes === answer.text.length;
		const isStartRight = start.kind === 'failed' ? !(isAllSent && isSound(cut)) : start.kind === 'started' && start.startedAt === report.born;
		let isLoadRight = !(isAllSent && isSound(cut)) || answer.text.startsWith('HTTP/1.1 100');
		try {
			const load = await readLoad(server.address, dispatcher, AbortSignal.timeout(reportTimeoutMs)); // eslint-disable-line no-await-in-loop -- one after the other
			isLoadRight = load.running === report.running && load.at === report.at;
		} catch {
			// It was not taken for a report.
		}

		count(tally, start.kind);
		if (!isStartRight || !isLoadRight) {
			faults.push(`start ${start.kind}, load ${isLoadRight ? 'right' : 'wrong'}: ${describeCut(cut)}`);
		}
	}

	printTally(t, tally);
	assertNone(faults);
});

for (const route of ['book', 'draft'] as const) {
	test(`an answer that is cut at any byte does not look whole through a peer to a caller of ${route}`, async t => {
		const scripted = await startScripted(t);
		const {fixture, servers, plans} = scripted;
		const links = await startBackendLinks(servers);
		t.after(async () => links.close());
		const {state} = await fixture.startDaemon('daemon-1', {bounds: manyRepeats, openConnection: links.openConnection});
		await waitUntil('the daemons know each other', () => fixture.gateways.every(gateway => gateway.state.peers.size === 1) && state.registry.byId.size === servers.length);
		links.fail('reset');
		const address = state.settings.listen.callers;
		const lostId = `${route}-lost`;
		plans.set(lostId, () => cutAnswer(shapeAnswer(successShapes[0]!, makeParts(route, lostId)), Infinity, 'close'));
		await askGateway(address, route, lostId);
		await waitUntil('the daemon knows that it is cut off', () => state.paths.lostSince !== undefined);
		await playCuts(t, {...scripted, address}, {route, shapes: successShapes, makeParts: id => makeParts(route, id)});
	});
}

const hedgedShapes: ReadonlySet<string> = new Set(['length last', 'chunks', 'neither', 'another transfer coding', 'informational heads, length']);

test('an answer that is cut at any byte does not look whole to a caller whose call is hedged', async t => {
	// Two answers come, and both are cut.
	const targetMs = 300;
	const slowMs = 450;
	const {routes} = makeConfiguration(1);
	const scripted = await startScripted(t, 2, makeConfiguration(1, {routes: routes.map(route => ({...route, target_latency_ms: targetMs}))}));
	const {fixture, address, plans, countArrivals, forgiveBackends} = scripted;
	const {state} = fixture.gateways[0]!;
	const tally: Tally = new Map();
	const faults: string[] = [];
	await runAll(listCutsOf({route: 'read', shapes: successShapes.filter(({name}) => hedgedShapes.has(name)), makeParts: id => makeParts('read', id)}), async cut => {
		const {id, shape, answer, bytes, ending} = cut;
		plans.set(id, async (_request, arrival) => {
			if (arrival === 1) {
				await sleep(slowMs);
			}

			return cutAnswer(answer, bytes, ending, shape.findPause?.(answer));
		});
		forgiveBackends();
		for (const known of state.registry.byId.values()) {
			// Each server has answered before.
			known.plainMs = 10;
			known.speed = {slowness: 1, at: state.clocks.steady()};
		}

		const outcome = judge(cut, await askGateway(address, 'read', id), countArrivals(id));
		count(tally, outcome);
		if (outcome.startsWith('fault')) {
			faults.push(`${outcome}: ${describeCut(cut)}`);
		}
	});
	printTally(t, tally);
	const hedges = fixture.lines.filter(({event}) => event === 'call_hedged').length;
	t.diagnostic(`${hedges} calls were hedged`);
	assert.ok(hedges > 0, 'no call was hedged');
	assertNone(faults);
});
