import assert from 'node:assert/strict';
import {mkdtempSync, readFileSync, rmSync} from 'node:fs';
import os from 'node:os';
import path from 'node:path';
import test, {type TestContext} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import {makeRandom} from '@shallotpass/core/testing/make-random.js';
import {openPacedCaller, type PacedCaller, splitAnswers} from '@shallotpass/platform/stand-ins/paced-caller.js';
import {type RawRequest} from '@shallotpass/platform/stand-ins/raw-caller.js';
import {
	makeConfiguration, makeSettings, type PlatformFixture, startPlatformFixture, waitUntil,
} from '@shallotpass/platform/stand-ins/platform-fixture.js';
import {type DaemonProcess, makeDaemonProcess} from './daemon-process.js';

const makeLongConfiguration = () => {
	const configuration = makeConfiguration(1);

	return {...configuration, routes: configuration.routes.map(route => ({...route, timeout_ms: 30_000}))};
};

/** Time for which a daemon that drains accepts connections. */
const drainMs = 3200;

/** Long, so that a busy machine does not end it. */
const longGraceMs = 20_000;

/** As on the users' platform. */
const usualGraceMs = 8000;

type Started = {
	readonly fixture: PlatformFixture;
	readonly daemon: DaemonProcess;
	readonly readLog: () => ReadonlyArray<Readonly<Record<string, unknown>>>;
	/** Resolves when the last line of the daemon's log is written. */
	readonly waitForLog: () => Promise<void>;
};

const isReady = async (address: string): Promise<boolean> => {
	try {
		const answer = await fetch(`http://${address}/ready`);
		return answer.status === 200;
	} catch {
		// The daemon does not listen yet.
		return false;
	}
};

const start = async (t: TestContext, graceMs = longGraceMs): Promise<Started> => {
	const fixture = await startPlatformFixture({
		daemons: 0, engines: 1, apps: 1, configuration: makeLongConfiguration(),
	});
	const folder = mkdtempSync(path.join(os.tmpdir(), 'drains-'));
	const settings = makeSettings('daemon', fixture.store.address, fixture.cloud.address);
	const daemon = makeDaemonProcess({...settings, bounds: {...settings.bounds, graceMs}}, folder);
	t.after(async () => {
		await daemon.end('SIGKILL');
		await fixture.close();
		rmSync(folder, {recursive: true});
	});
	daemon.start();
	await waitUntil('the daemon is ready', async () => isReady(daemon.settings.listen.ready));
	const readLog: Started['readLog'] = () => {
		const text = readFileSync(path.join(folder, 'daemon.log'), 'utf8');
		return text.slice(0, text.lastIndexOf('\n')).split('\n').map(line => JSON.parse(line) as Readonly<Record<string, unknown>>);
	};

	return {
		fixture, daemon, readLog,
		async waitForLog() {
			await waitUntil('the daemon has told that it stopped', () => readLog().some(({event}) => event === 'stopped'));
		},
	};
};

const largeBytes = 12_000_000;
const slowBytesPerMs = 1800;

for (const route of ['read', 'ask'] as const) {
	test(`a process lasts until slow readers have read large answers that were under way at SIGTERM, route: ${route}`, async t => {
		const {
			fixture, daemon, readLog, waitForLog,
		} = await start(t);
		const events = 120;
		const [engine, app] = [fixture.engines[0]!, fixture.apps[0]!];
		engine.events = events;
		engine.paddingBytes = largeBytes / events;
		app.paddingBytes = largeBytes;
		const callers = await Promise.all([0, 1, 2, 3].map(async () => openPacedCaller(daemon.settings.listen.callers)));
		for (const [index, caller] of callers.entries()) {
			caller.setPace(slowBytesPerMs);
			caller.send({route, id: `r-${index}`, deadlineMs: 30_000});
		}

		await waitUntil('all callers read', () => callers.every(caller => caller.countReceived() > 0));
		const timer = setInterval(() => {
			// Half of them: without any, the system delivers what the process has handed to it, even after its end.
			for (const caller of callers.slice(callers.length / 2)) {
				caller.write('\r\n');
			}
		}, 50);
		const ended = daemon.end('SIGTERM');
		const wereRunning = await Promise.all(callers.map(async caller => {
			await caller.closed;
			return daemon.isRunning();
		}));
		clearInterval(timer);
		await ended;
		const ends = callers.map((caller, index) => {
			const [answer] = splitAnswers(caller.getReceived());
			return `${answer?.status} ${answer?.isComplete ? 'whole' : 'torn'} ${caller.getError() ?? ''}, process ${wereRunning[index] ? 'running' : 'ended before'}`;
		});
		assert.deepEqual(ends, callers.map(() => '200 whole , process running'));
		await waitForLog();
		assert.equal(readLog().find(({event}) => event === 'stopped')?.owedAnswers, 0);
		assert.deepEqual(readLog().filter(({event}) => event === 'answer_unfinished'), []);
	});
}

test('signals that come again in a drain do not end it', async t => {
	const {
		fixture, daemon, readLog, waitForLog,
	} = await start(t);
	const app = fixture.apps[0]!;
	const caller = await openPacedCaller(daemon.settings.listen.callers);
	app.delayMs = 4000;
	caller.send({route: 'book', id: 'r-0', deadlineMs: 30_000});
	await waitUntil('the call runs', () => app.executions.length === 1);
	const ended = daemon.end('SIGTERM');
	for (const signal of ['SIGHUP', 'SIGTERM', 'SIGHUP', 'SIGTERM'] as const) {
		await sleep(300); // eslint-disable-line no-await-in-loop -- in the middle of the drain
		daemon.writeSettings('whole', signal);
		daemon.send(signal);
	}

	await caller.closed;
	await ended;
	const [answer] = splitAnswers(caller.getReceived());
	assert.deepEqual([answer?.status, answer?.isComplete, caller.getError()], [200, true, undefined]);
	await waitForLog();
	assert.equal(readLog().filter(({event}) => event === 'draining').length, 1);
	assert.equal(readLog().find(({event}) => event === 'stopped')?.owedAnswers, 0);
});

test('connections that wait to be accepted while a daemon that drains is suspended beyond its time are answered', async t => {
	const {daemon, readLog, waitForLog} = await start(t);
	const ended = daemon.end('SIGTERM');
	await waitUntil('the daemon drains', () => readLog().some(({event}) => event === 'draining'));
	daemon.send('SIGSTOP');
	await sleep(drainMs + 300);
	const callers = await Promise.all(Array.from({length: 20}, async () => openPacedCaller(daemon.settings.listen.callers)));
	for (const [index, caller] of callers.entries()) {
		caller.send({route: 'book', id: `r-${index}`});
	}

	daemon.send('SIGCONT');
	await Promise.all(callers.map(async ({closed}) => closed));
	await ended;
	const answers = callers.map(caller => [...splitAnswers(caller.getReceived()).map(({status, requestId}) => `${status} ${requestId}`), caller.getError()]);
	assert.deepEqual(answers, callers.map((_caller, index) => [`503 r-${index}`, undefined]));
	await waitForLog();
	assert.equal(readLog().find(({event}) => event === 'stopped')?.owedAnswers, 0);
});

test('answers that are at hand behind one that no backend server begins leave the process before it ends', async t => {
	const {fixture, daemon, readLog, waitForLog} = await start(t, usualGraceMs);
	const [engine, app] = [fixture.engines[0]!, fixture.apps[0]!];
	engine.failureMode = 'mute';
	const caller = await openPacedCaller(daemon.settings.listen.callers);
	caller.send({route: 'draft', id: 'r-0', deadlineMs: 30_000}, {route: 'book', id: 'r-1', deadlineMs: 30_000});
	await waitUntil('both run', () => engine.executions.length === 1 && app.executions.length === 1);
	const ended = daemon.end('SIGTERM');
	await caller.closed;
	await ended;
	assert.deepEqual(splitAnswers(caller.getReceived()).map(({requestId, status, isComplete}) => `${requestId} ${status} ${isComplete}`), ['r-0 502 true', 'r-1 200 true']);
	assert.equal(caller.getError(), undefined);
	await waitForLog();
	assert.deepEqual(readLog().filter(({event}) => event === 'answer_unfinished'), []);
});

type Conversation = {
	readonly caller: PacedCaller;
	/** Ids of the requests that were written at once. */
	readonly batches: ReadonlyArray<readonly string[]>;
};

const hasEnded = (caller: PacedCaller): boolean => caller.hasEnded() || caller.getError() !== undefined;

const routes = ['read', 'book', 'ask', 'draft'] as const;

test('requests at all moments of a drain, pipelined on kept connections, are answered whole or not run', async t => {
	const {
		fixture, daemon, readLog, waitForLog,
	} = await start(t);
	const [engine, app] = [fixture.engines[0]!, fixture.apps[0]!];
	engine.delayMs = 30;
	app.delayMs = 10;
	const random = makeRandom(7001);
	const conversations: Conversation[] = [];
	let sent = 0;
	const makeRequest = (): RawRequest => ({route: routes[Math.floor(random() * routes.length)]!, id: `r-${sent++}`});
	/** Sends batches of requests one after another on a connection, until it ends. Returns whether there was one. */
	const sendBatches = async (): Promise<boolean> => {
		let caller: PacedCaller;
		try {
			caller = await openPacedCaller(daemon.settings.listen.callers);
		} catch {
			return false;
		}

		const batches: string[][] = [];
		conversations.push({caller, batches});
		while (!hasEnded(caller)) {
			const requests = Array.from({length: 1 + Math.floor(random() * 3)}, () => makeRequest());
			batches.push(requests.map(({id}) => id));
			caller.send(...requests);
			// eslint-disable-next-line no-await-in-loop -- a caller waits for its answers
			await waitUntil('the batch was answered', () => hasEnded(caller) || splitAnswers(caller.getReceived()).filter(({isComplete}) => isComplete).length === batches.flat().length);
			await sleep(random() * 40); // eslint-disable-line no-await-in-loop -- a pause
		}

		return true;
	};

	const runCaller = async (): Promise<void> => {
		while (await sendBatches()) { // eslint-disable-line no-await-in-loop -- one connection after another
			await sleep(random() * 20); // eslint-disable-line no-await-in-loop -- a pause
		}
	};

	const running = Promise.all(Array.from({length: 24}, async () => runCaller()));
	await waitUntil('calls run', () => engine.executions.length > 20);
	await daemon.end('SIGTERM');
	await running;
	await waitForLog();

	const executed = new Set([...engine.executions, ...app.executions].map(({id}) => id));
	const faults = conversations.flatMap(({caller, batches}) => {
		const answers = splitAnswers(caller.getReceived());
		// The system resets a connection that it opened between the last accept and the close of the listener.
		const wasAccepted = answers.length > 0 || caller.getError() !== 'ECONNRESET';
		return batches.flat().flatMap((id, index) => {
			const answer = answers[index];
			const isRun = executed.has(id);
			const isSound = answer === undefined ? !isRun : answer.isComplete && answer.requestId === id && (answer.status === 200 || (answer.status === 503 && !isRun));
			return isSound && (!wasAccepted || caller.getError() === undefined)
				? []
				: [{
					id, isRun, ...answer, error: caller.getError(),
				}];
		});
	});
	t.diagnostic(`${sent} requests on ${conversations.length} connections; ${faults.filter(({isRun}) => isRun).length} were run and not answered whole`);
	assert.deepEqual(faults, []);
	assert.equal(readLog().find(({event}) => event === 'stopped')?.owedAnswers, 0);
	assert.deepEqual(readLog().filter(({event}) => event === 'answer_unfinished'), []);
	const halfAnswered = conversations.flatMap(({caller, batches}) => {
		const answered = new Set(splitAnswers(caller.getReceived()).map(({requestId}) => requestId));
		return batches.filter(ids => ids.some(id => answered.has(id)) && !ids.every(id => answered.has(id)));
	});
	assert.deepEqual(halfAnswered, [], 'what a caller has sent at once is answered if any of it is');
	const unanswered = conversations.reduce((count, {caller, batches}) => count + batches.flat().length - splitAnswers(caller.getReceived()).length, 0);
	assert.ok(sent > 300, `sent ${sent}`);
	t.diagnostic(`${unanswered} requests crossed the end of their connection`);
});
