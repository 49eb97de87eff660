/** Crowds of clients that do not behave, before each listener of the own interface. Nothing is checked that depends on the speed of the machine. */
import assert from 'node:assert/strict';
import {setTimeout as sleep} from 'node:timers/promises';
import test, {type TestContext} from 'node:test';
import {callerKey, operatorKey} from '@shallotpass/measure/local-fleet.js';
import {type CrowdOptions, startCrowd} from '@shallotpass/platform/stand-ins/crowd.js';
import {observeUntil} from '@shallotpass/platform/stand-ins/observe-process.js';
import {
	type DaemonProcess, makeConfigurationFile, makeTemporaryFolder, startDaemonProcess, writeSettings,
} from './process-fixture.js';

type CrowdCase = Omit<CrowdOptions, 'address'> & {
	readonly listener: 'callers' | 'admin' | 'peers';
};

/** Resident memory that the daemon may take. */
const maxMemoryMb = 300;

/** Its JavaScript heap. */
const heapMb = 96;

const maxHeldBytes = 67_108_864;

const smallChunk = '1\r\nx\r\n';
const largeChunk = `4000\r\n${'x'.repeat(16_384)}\r\n`;

const chunkedHead = (method: string, path: string, key: string): string => `${method} ${path} HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer ${key}\r\nTransfer-Encoding: chunked\r\n\r\n`;

/** Short names that differ, one to a field. */
const smallFields = Array.from({length: 1000}, (_value, index) => `${index.toString(36)}:\r\n`).join('');

const cases: Readonly<Record<string, CrowdCase>> = {
	'bodies in chunks of one byte that stop short': {
		listener: 'callers', size: 150, reads: true, prefix: chunkedHead('POST', '/v1/chat/completions', callerKey), repeated: smallChunk, repeatedBytes: 360_000,
	},
	'bodies in large chunks that stop short': {
		listener: 'callers', size: 100, reads: true, prefix: chunkedHead('POST', '/v1/chat/completions', callerKey), repeated: largeChunk, repeatedBytes: 4_000_000,
	},
	'requests without Host ahead, unread': {
		listener: 'callers', size: 100, reads: false, prefix: '', repeated: 'GET / HTTP/1.1\r\n\r\n', repeatedBytes: 4_000_000,
	},
	'questions for models ahead, unread': {
		listener: 'callers', size: 100, reads: false, prefix: '', repeated: `GET /v1/models HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer ${callerKey}\r\n\r\n`, repeatedBytes: 4_000_000,
	},
	'heads of small fields that do not end': {
		listener: 'callers', size: 150, reads: true, prefix: 'GET /v1/models HTTP/1.1\r\nHost: a\r\n', repeated: smallFields, repeatedBytes: 60_000,
	},
	'checks of health ahead, unread': {
		listener: 'admin', size: 100, reads: false, prefix: '', repeated: 'GET /healthz HTTP/1.1\r\nHost: a\r\n\r\n', repeatedBytes: 4_000_000,
	},
	'scrapes of metrics ahead, unread': {
		listener: 'admin', size: 40, reads: false, prefix: '', repeated: 'GET /metrics HTTP/1.1\r\nHost: a\r\n\r\n', repeatedBytes: 200_000,
	},
	'configurations in chunks of one byte that stop short': {
		listener: 'admin', size: 60, reads: true, prefix: chunkedHead('PUT', '/admin/v1/teams/default/configuration', operatorKey), repeated: smallChunk, repeatedBytes: 360_000,
	},
	'lines that do not end before a handshake': {
		listener: 'peers', size: 100, reads: true, prefix: '', repeated: 'x'.repeat(1024), repeatedBytes: 8_000_000,
	},
};

const callPauseMs = 200;
const maxCalls = 50;
const callTimeoutMs = 10_000;

/** Sends one call after the other until one is served, as a caller that was refused comes again. */
const isOrdinaryCallServed = async ({child, callers}: DaemonProcess): Promise<boolean> => {
	for (let count = 0; count < maxCalls && child.exitCode === null && child.signalCode === null; count++) {
		try {
			// eslint-disable-next-line no-await-in-loop -- one after the other
			const {status} = await fetch(`http://${callers}/v1/models`, {headers: {authorization: `Bearer ${callerKey}`}, signal: AbortSignal.timeout(callTimeoutMs)});
			if (status === 200) {
				return true;
			}
		} catch {
			// The connection was refused, closed or not answered.
		}

		await sleep(callPauseMs); // eslint-disable-line no-await-in-loop -- as above
	}

	return false;
};

const startDaemon = async (t: TestContext): Promise<DaemonProcess> => {
	const folder = makeTemporaryFolder(t);
	const settings = writeSettings(folder, 'entry-1', `[limits]\nmax_held_bytes = ${maxHeldBytes}\n`);
	const daemon = await startDaemonProcess(t, ['--settings', settings, '--configuration', makeConfigurationFile(folder, '127.0.0.1:9', '127.0.0.1:9')], [`--max-old-space-size=${heapMb}`]);
	// A pipe that nobody reads would fill.
	daemon.child.stderr?.resume();
	return daemon;
};

for (const [name, {listener, ...options}] of Object.entries(cases)) {
	test(`a daemon of the own interface withstands a crowd: ${name}`, async t => {
		const daemon = await startDaemon(t);
		const crowd = startCrowd({...options, address: daemon[listener]});
		t.after(() => {
			crowd.close();
		});
		let isServed = false;
		const {peakMb} = await observeUntil(daemon, (async () => {
			await crowd.settled;
			isServed = await isOrdinaryCallServed(daemon);
		})());
		const hasEnded = daemon.child.exitCode !== null || daemon.child.signalCode !== null;
		t.diagnostic(`${hasEnded ? 'ended' : 'lives'}, ${Math.round(peakMb ?? 0)} MB at most, ${crowd.countOpen()} connections open, ${Math.round(crowd.countSentBytes() / 1000)} kB sent, ordinary call ${isServed ? 'served' : 'not served'}`);
		assert.ok(!hasEnded, 'the process ended');
		assert.ok(peakMb !== undefined && peakMb < maxMemoryMb, `${peakMb} MB of ${maxMemoryMb}`);
		assert.ok(isServed, 'no ordinary call was served');
	});
}
