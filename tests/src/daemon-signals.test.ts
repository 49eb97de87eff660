import assert from 'node:assert/strict';
import {spawn} from 'node:child_process';
import {once} from 'node:events';
import path from 'node:path';
import process from 'node:process';
import test from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import {streamChat} from '@shallotpass/measure/caller-client.js';
import {operatorKey, waitFor} from '@shallotpass/measure/local-fleet.js';
import {startEngineStandIn} from '@shallotpass/stand-ins/engine-stand-in.js';
import {
	makeConfigurationFile, makeTemporaryFolder, root, startDaemonProcess, writeSettings,
} from './process-fixture.js';

test('further signals do not end the calls of a daemon that drains, and SIGHUP none', async t => {
	// A signal without a handler ends the process with all its calls.
	const folder = makeTemporaryFolder(t);
	const engine = await startEngineStandIn({models: ['assistant-7b'], parameters: {stepMs: 10}});
	t.after(async () => engine.close());
	const configuration = makeConfigurationFile(folder, engine.address, '127.0.0.1:9');
	await Promise.all([['SIGTERM', 'SIGTERM'], ['SIGINT', 'SIGTERM'], ['SIGHUP', 'SIGHUP', 'SIGINT', 'SIGINT']].map(async (signals, index) => {
		const name = `entry-${index}`;
		const daemon = await startDaemonProcess(t, ['--settings', writeSettings(folder, name), '--configuration', configuration]);
		const stream = await streamChat({
			address: daemon.callers, marker: name, tokens: 120, async onToken(token) {
				if (token !== 1) {
					return;
				}

				for (const signal of signals) {
					daemon.child.kill(signal as NodeJS.Signals);
					await sleep(20); // eslint-disable-line no-await-in-loop -- the next signal comes soon after
				}
			},
		});
		assert.deepEqual([signals, stream.isComplete, stream.tokens], [signals, true, 120]);
		assert.equal(await daemon.exited, 0);
	}));
});

test('a daemon that is asked to stop while it starts answers what it has read, and drains once if it is asked twice', async t => {
	const folder = makeTemporaryFolder(t);
	const engine = await startEngineStandIn({models: ['assistant-7b'], parameters: {stepMs: 1}});
	t.after(async () => engine.close());
	const configuration = makeConfigurationFile(folder, engine.address, '127.0.0.1:9');
	const host = `127.${100 + (process.pid % 100)}.${Math.floor(process.pid / 100) % 250}.1`;
	const askToDrain = async (admin: string): Promise<number> => {
		const response = await fetch(`http://${admin}/admin/v1/drain`, {method: 'POST', headers: {authorization: `Bearer ${operatorKey}`}});
		return response.status;
	};

	await Promise.all([0, 10, 30, 'drain'].map(async (how, index) => {
		const [callers, admin] = [`${host}:${18_400 + index}`, `${host}:${18_410 + index}`];
		const settings = writeSettings(folder, `entry-${index}`, `[listen]\ncallers = "${callers}"\nadmin = "${admin}"\n`);
		const child = spawn(process.execPath, [path.join(root, 'apps/daemon/bin/shallotpassd.js'), '--settings', settings, '--configuration', configuration], {stdio: 'ignore'});
		t.after(() => child.kill('SIGKILL'));
		const exited = once(child, 'exit');
		const callEarly = async (marker: string): Promise<number> => {
			for (;;) {
				try {
					const {status, isComplete, problem} = await streamChat({address: callers, marker, tokens: 5}); // eslint-disable-line no-await-in-loop -- until the daemon listens
					assert.ok(isComplete || (status === 503 && problem?.executed === 'no'), `status ${status}`);
					return status;
				} catch (error) {
					assert.equal((error as NodeJS.ErrnoException).code, 'ECONNREFUSED');
					await sleep(2); // eslint-disable-line no-await-in-loop -- until the daemon listens
				}
			}
		};

		const calls = Promise.all(['a', 'b', 'c'].map(async marker => callEarly(marker)));
		if (how === 'drain') {
			await waitFor('operators are answered', async () => {
				try {
					return await askToDrain(admin) === 202;
				} catch {
					return false;
				}
			});
			assert.equal(await askToDrain(admin), 202);
		} else {
			await Promise.race([calls, waitFor('callers are accepted', async () => {
				try {
					await fetch(`http://${callers}/`);
					return true;
				} catch {
					return false;
				}
			})]);
			await sleep(Number(how));
			child.kill('SIGTERM');
		}

		await calls;
		const [code] = await exited as [number | undefined];
		assert.deepEqual([how, code], [how, 0]);
	}));
});
