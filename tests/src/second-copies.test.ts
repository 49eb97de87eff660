import assert from 'node:assert/strict';
import http from 'node:http';
import process from 'node:process';
import test, {type TestContext} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import {type Gateway} from '@shallotpass/gateway/start-gateway.js';
import {
	announceBackend, makeConfiguration, removeBackend, startPlatformFixture, waitUntil,
} from '@shallotpass/platform/stand-ins/platform-fixture.js';
import {host, shopKey} from '@shallotpass/platform/stand-ins/send-call.js';
import {type ScriptedRequest, type ScriptStep, startScriptedServer} from '@shallotpass/stand-ins/scripted-server.js';
import fc from 'fast-check';

/** What a backend server does with a call: runs it, fails, or turns it away, with or without its id. */
const answerKinds = ['run', 'fail', 'full', 'full_named', 'busy', 'other_backend'] as const;

/**
 * When the second copy of the answer follows. `packet`: in the packet of the first. `soon`: before the next call. `with_next`: as the next call arrives.
 * `after_next`: in the packet of the next answer. `late`: by a time. `cut`: a part of it as the next call arrives.
 */
const copyTimes = ['none', 'packet', 'soon', 'with_next', 'after_next', 'late', 'cut'] as const;

type AnswerPlan = {
	readonly kind: (typeof answerKinds)[number];
	readonly copy: (typeof copyTimes)[number];
	readonly workMs: number;
};

const planArbitrary: fc.Arbitrary<AnswerPlan> = fc.record({
	kind: fc.constantFrom(...answerKinds), copy: fc.constantFrom(...copyTimes), workMs: fc.nat(8),
});

const playArbitrary = fc.record({
	plans: fc.array(planArbitrary, {minLength: 20, maxLength: 60}),
	/** Calls of the play in order: the route, and the time until the next one. */
	calls: fc.array(fc.record({route: fc.constantFrom('read' as const, 'book' as const), gapMs: fc.nat(6)}), {minLength: 20, maxLength: 40}),
});

const lateMs = 40;

const runs = Number(process.env.COPY_RUNS ?? 12);
const seed = Number(process.env.COPY_SEED ?? 73);

const formatAnswer = (statusLine: string, fields: readonly string[], body: string): string => [`HTTP/1.1 ${statusLine}`, ...fields, `Content-Length: ${body.length}`, '', body].join('\r\n');

const formatPlanned = (kind: AnswerPlan['kind'], id: string): string => {
	switch (kind) {
		case 'run': {
			return formatAnswer('200 OK', [`X-Request-Id: ${id}`, 'X-Response-Seal: seal'], `the answer to ${id}`);
		}

		case 'fail': {
			return formatAnswer('500 Internal Server Error', [`X-Request-Id: ${id}`, 'X-Response-Seal: seal'], `the failure of ${id}`);
		}

		case 'full': {
			return formatAnswer('503 Service Unavailable', ['X-Not-Executed: 1'], '');
		}

		case 'full_named': {
			return formatAnswer('503 Service Unavailable', ['X-Not-Executed: 1', `X-Request-Id: ${id}`], 'full');
		}

		case 'busy': {
			return formatAnswer('429 Too Many Requests', ['X-Not-Executed: 1'], 'busy');
		}

		case 'other_backend': {
			return formatAnswer('421 Misdirected Request', ['X-Instance-Id: another'], '');
		}
	}
};

type CopyFixture = {
	readonly gateway: Gateway;
	/** Sets the plans of the answers to come, and forgets the runs. */
	readonly begin: (plans: readonly AnswerPlan[]) => void;
	/** Runs by call. */
	readonly countRuns: (id: string) => number;
};

const startCopying = async (t: TestContext): Promise<CopyFixture> => {
	const routes = makeConfiguration(1).routes.map(route => ({...route, max_attempts: route.name === 'read' ? 3 : route.max_attempts}));
	const fixture = await startPlatformFixture({
		daemons: 0, engines: 1, apps: 1, configuration: makeConfiguration(1, {routes}),
	});
	t.after(async () => fixture.close());
	let left: AnswerPlan[] = [];
	let runsById = new Map<string, number>();
	/** Copies that wait for the next call on their connection, and for the answer to it. */
	const beforeNext = new Map<string, string>();
	const afterNext = new Map<string, string>();

	const take = (copies: Map<string, string>, key: string): string => {
		const copy = copies.get(key) ?? '';
		copies.delete(key);
		return copy;
	};

	const answer = async (server: number, {path, headers, connection, write}: ScriptedRequest): Promise<readonly ScriptStep[]> => {
		if (path === '/report') {
			return [{kind: 'bytes', text: formatAnswer('404 Not Found', [], '{}')}];
		}

		const key = `${server} ${connection}`;
		write(take(beforeNext, key));
		const id = headers['x-request-id'] ?? '';
		const {kind, copy, workMs} = left.shift() ?? {kind: 'run', copy: 'none', workMs: 0};
		if (kind === 'run' || kind === 'fail') {
			runsById.set(id, (runsById.get(id) ?? 0) + 1);
		}

		await sleep(workMs);
		const text = formatPlanned(kind, id);
		const bytes = text + take(afterNext, key);
		switch (copy) {
			case 'packet': {
				return [{kind: 'bytes', text: bytes + text}];
			}

			case 'soon': {
				return [{kind: 'bytes', text: bytes}, {kind: 'pause', until: performance.now() + 1}, {kind: 'bytes', text}];
			}

			case 'with_next': {
				beforeNext.set(key, text);
				break;
			}

			case 'cut': {
				beforeNext.set(key, text.slice(0, Math.floor(text.length / 2)));
				break;
			}

			case 'after_next': {
				afterNext.set(key, text);
				break;
			}

			case 'late': {
				setTimeout(() => {
					write(text);
				}, lateMs);
				break;
			}

			case 'none': {
				break;
			}
		}

		return [{kind: 'bytes', text: bytes}];
	};

	const unused = fixture.apps.pop()!;
	removeBackend(fixture.store, unused);
	t.after(async () => unused.close());
	for (const number of [0, 1]) {
		const server = await startScriptedServer(async request => answer(number, request)); // eslint-disable-line no-await-in-loop -- one after the other
		t.after(async () => server.close());
		announceBackend(fixture.store, {id: `app-${number}`, address: server.address, born: undefined}, {
			service: 'app', address: server.address, born: 1000, places: 64,
		});
	}

	const gateway = await fixture.startDaemon('daemon-0', {bounds: {repeatRatio: 5, repeatSlack: 100_000}});
	await waitUntil('the daemon knows the backend servers', () => gateway.state.registry.byId.size === 3);
	return {
		gateway,
		begin(plans) {
			left = [...plans];
			runsById = new Map();
		},
		countRuns: id => runsById.get(id) ?? 0,
	};
};

type Outcome = {readonly status: number; readonly requestId: string; readonly body: string};

const agent = new http.Agent({keepAlive: true});

const sendCall = async ({state}: Gateway, route: 'read' | 'book', id: string): Promise<Outcome | undefined> => new Promise(resolve => {
	const [ip, port] = state.settings.listen.callers.split(':');
	const request = http.request({
		host: ip, port: Number(port), method: route === 'read' ? 'GET' : 'POST', path: `/${route}/${id}`, agent, headers: {
			Host: host, 'X-Request-Id': id, 'X-Deadline-Ms': '2000', Authorization: `Bearer ${shopKey}`,
		},
	}, response => {
		let body = '';
		response.on('data', (chunk: Uint8Array) => {
			body += new TextDecoder().decode(chunk);
		});
		response.on('error', () => {/* An answer that breaks off claims nothing. */});
		response.once('close', () => {
			resolve(response.complete ? {status: response.statusCode ?? 0, requestId: response.headers['x-request-id']?.toString() ?? '', body} : undefined);
		});
	});
	request.once('error', () => {
		resolve(undefined);
	});
	request.end(route === 'book' ? 'x' : undefined);
});

const promises: ReadonlySet<number> = new Set([408, 421, 429, 503]);

/** Returns what is wrong with the outcome of a call. */
const findFault = (route: 'read' | 'book', id: string, outcome: Outcome | undefined, ran: number): string | undefined => {
	if (outcome?.status === 200 && (outcome.requestId !== id || outcome.body !== `the answer to ${id}`)) {
		return 'mixed';
	}

	if (outcome?.status === 200 && ran === 0) {
		return 'success without a run';
	}

	if (route === 'book' && outcome !== undefined && promises.has(outcome.status) && ran > 0) {
		return 'refused, and has run';
	}

	if (route === 'book' && ran > 1) {
		return 'run twice';
	}

	return ran > 3 ? 'more runs than attempts' : undefined;
};

test('second copies of answers, at any time, are never taken for the answer to another call', async t => {
	// The caller would be told that its call has not run, which runs, or get the answer of another one.
	const {gateway, begin, countRuns} = await startCopying(t);
	const tally: Record<string, number> = {};
	let plays = 0;
	await fc.assert(fc.asyncProperty(playArbitrary, async ({plans, calls}) => {
		plays++;
		const play = plays;
		begin(plans);
		const pending: Array<Promise<readonly [route: 'read' | 'book', id: string, outcome: Outcome | undefined]>> = [];
		for (const [number, {route, gapMs}] of calls.entries()) {
			const id = `${route}-${play}-${number}`;
			for (const known of gateway.state.registry.byId.values()) {
				known.suspendedUntil = Number.NEGATIVE_INFINITY;
				known.failedConnects = 0;
				known.unsoundness = undefined;
			}

			pending.push(sendCall(gateway, route, id).then(outcome => [route, id, outcome])); // eslint-disable-line promise/prefer-await-to-then -- calls overlap
			await sleep(gapMs); // eslint-disable-line no-await-in-loop -- one call after the other
		}

		const outcomes = await Promise.all(pending);
		const faults = outcomes.flatMap(([route, id, outcome]) => {
			tally[`${route} ${outcome?.status ?? 'none'}`] = (tally[`${route} ${outcome?.status ?? 'none'}`] ?? 0) + 1;
			const fault = findFault(route, id, outcome, countRuns(id));
			return fault === undefined ? [] : [`${id}: ${fault}, status ${outcome?.status ?? 'none'}, ${countRuns(id)} runs`];
		});
		assert.equal(faults.length, 0, faults.join('\n'));
	}), {
		numRuns: runs, seed, endOnFailure: true, includeErrorInReport: true,
	});
	t.diagnostic(JSON.stringify(tally));
});
