import assert from 'node:assert/strict';
import {spawn} from 'node:child_process';
import path from 'node:path';
import process from 'node:process';
import test from 'node:test';
import {callerKey, operatorKey, waitFor} from '@shallotpass/measure/local-fleet.js';
import {streamChat, sendReservation} from '@shallotpass/measure/caller-client.js';
import {startEngineStandIn} from '@shallotpass/stand-ins/engine-stand-in.js';
import {startPlainServiceStandIn} from '@shallotpass/stand-ins/plain-service-stand-in.js';
import {startLogStandIn} from '@shallotpass/stand-ins/log-stand-in.js';
import {
	makeConfigurationFile, makeTemporaryFolder, root, startDaemonProcess, writeSettings,
} from './process-fixture.js';

type CliResult = {readonly code: number; readonly stdout: string; readonly stderr: string};

/** Runs the command-line tool until it exits. */
const runCli = async (cliArguments: readonly string[], environment: Readonly<Record<string, string>> = {}): Promise<CliResult> => new Promise(resolve => {
	const child = spawn(process.execPath, [path.join(root, 'apps/cli/bin/shallotpass.js'), ...cliArguments], {env: {...process.env, ...environment}});
	let stdout = '';
	let stderr = '';
	child.stdout.on('data', chunk => {
		stdout += String(chunk);
	});
	child.stderr.on('data', chunk => {
		stderr += String(chunk);
	});
	child.on('close', code => {
		resolve({code: code ?? -1, stdout, stderr});
	});
});

test('a single daemon serves its initial configuration, and a planned stop completes running calls', async t => {
	// An operator stops the daemon during a stream and a reservation. Both calls must complete, the
	// readiness check must fail at once and the process must exit with 0.
	const folder = makeTemporaryFolder(t);
	const engine = await startEngineStandIn({models: ['assistant-7b'], parameters: {stepMs: 10}});
	const service = await startPlainServiceStandIn();
	t.after(async () => Promise.all([engine.close(), service.close()]));
	const configuration = makeConfigurationFile(folder, engine.address, service.address);
	const daemon = await startDaemonProcess(t, ['--settings', writeSettings(folder, 'entry-1'), '--configuration', configuration]);
	let notifyStarted: () => void;
	const streamStarted = new Promise<void>(resolve => {
		notifyStarted = resolve;
	});
	const pendingStream = streamChat({
		address: daemon.callers, marker: 'long', tokens: 200, onToken() {
			notifyStarted();
		},
	});
	await streamStarted;
	service.faults.add({
		on: 'call', kind: 'delay', delayMs: 1500, times: 1,
	});
	const pendingReservation = sendReservation({address: daemon.callers, key: 'order-1', body: '{}'});
	await waitFor('the reservation is running', () => service.executions.length > 0);
	daemon.child.kill('SIGTERM');
	await new Promise(resolve => {
		setTimeout(resolve, 100);
	});
	const ready = await fetch(`http://${daemon.admin}/readyz`);
	assert.equal(ready.status, 503);
	const [answer, reservation] = await Promise.all([pendingStream, pendingReservation]);
	assert.equal(answer.isComplete, true);
	assert.equal(reservation.status, 200);
	assert.equal(await daemon.exited, 0);
});

type UsageErrorCase = {readonly name: string; readonly cliArguments: readonly string[]; readonly code: number; readonly expectedError: RegExp};

const usageErrorCases: readonly UsageErrorCase[] = [
	{
		name: 'no command', cliArguments: [], code: 2, expectedError: /no command is given/v,
	},
	{
		name: 'an unknown command', cliArguments: ['aply'], code: 2, expectedError: /there is no command aply/v,
	},
	{
		name: 'a missing file argument', cliArguments: ['check'], code: 2, expectedError: /file/iv,
	},
	{
		name: 'a nonexistent file', cliArguments: ['check', '/nowhere.toml'], code: 2, expectedError: /nowhere\.toml: cannot be read/v,
	},
	{
		name: 'a missing daemon address', cliArguments: ['status'], code: 2, expectedError: /no daemon is named/v,
	},
	{
		name: 'a daemon that does not answer', cliArguments: ['status', '--admin', 'http://127.0.0.1:9', '--key', 'x'], code: 3, expectedError: /does not answer/v,
	},
	{
		name: 'a base version that is not a number', cliArguments: ['apply', 'x.toml', '--base', 'three', '--admin', 'http://127.0.0.1:9', '--key', 'x'], code: 2, expectedError: /--base must be a version/v,
	},
];

test('the command-line tool has different exit codes for usage errors and unreachable daemons', async () => {
	const results = await Promise.all(usageErrorCases.map(async ({cliArguments}) => runCli(cliArguments)));
	for (const [index, {name, code, expectedError}] of usageErrorCases.entries()) {
		assert.equal(results[index]!.code, code, `${name}: ${results[index]!.stderr}`);
		assert.match(results[index]!.stderr, expectedError, name);
	}
});

test('the daemon refuses invalid settings and prints the file, the key, the expected and the actual value', async t => {
	const folder = makeTemporaryFolder(t);
	const file = writeSettings(folder, 'entry-1', '[limits]\nmax_conections = 3\n');
	await assert.rejects(startDaemonProcess(t, ['--settings', file]));
	const child = spawn(process.execPath, [path.join(root, 'apps/daemon/bin/shallotpassd.js'), '--settings', file]);
	let stderr = '';
	child.stderr.on('data', chunk => {
		stderr += String(chunk);
	});
	const code = await new Promise(resolve => {
		child.on('exit', resolve);
	});
	assert.equal(code, 2);
	assert.match(stderr, /entry-1\.toml: limits\.max_conections: expected a known key; did you mean max_connections\?, found max_conections/v);
});

test('the command-line tool supports the workflow of an operator, including conflicting applies', async t => {
	const folder = makeTemporaryFolder(t);
	const engine = await startEngineStandIn({models: ['assistant-7b']});
	const service = await startPlainServiceStandIn();
	const log = await startLogStandIn();
	t.after(async () => Promise.all([engine.close(), service.close(), log.close()]));
	const daemon = await startDaemonProcess(t, ['--settings', writeSettings(folder, 'entry-1', `[platform]\nlog = "${log.url}"\n`)]);
	const environment = {SHALLOTPASS_ADMIN: `http://${daemon.admin}`, SHALLOTPASS_KEY: operatorKey};
	const first = makeConfigurationFile(folder, engine.address, service.address, 'first');
	const second = makeConfigurationFile(folder, engine.address, '127.0.0.1:9', 'second');

	const checked = await runCli(['check', first]);
	assert.equal(checked.code, 0);
	const applied = await runCli(['apply', first, '--wait', '--json'], environment);
	assert.equal(applied.code, 0, applied.stderr);
	const {version, isInForce, zones} = JSON.parse(applied.stdout) as {version: number; isInForce: boolean; zones: Record<string, {members: number}>};
	assert.deepEqual([version, isInForce, zones['zone-1']?.members], [0, true, 1]);
	const planned = await runCli(['plan', second, '--json'], environment);
	assert.deepEqual(JSON.parse(planned.stdout), {base: 0, changes: [{table: 'backend', name: 'reservations-1', change: 'changed'}]});

	// Two operators apply files based on the same version. The second apply must be refused.
	const race = await Promise.all([
		runCli(['apply', second, '--base', '0', '--json'], environment),
		runCli(['apply', first, '--base', '0', '--json'], environment),
	]);
	assert.deepEqual(race.map(result => result.code).toSorted((left, right) => left - right), [0, 1]);
	assert.match(race.find(result => result.code === 1)!.stderr, /version 0; version \d is accepted/v);

	const viewer = await runCli(['apply', first], {...environment, SHALLOTPASS_KEY: 'the-key-of-the-guest'});
	assert.deepEqual([viewer.code, viewer.stderr.includes('needs operator')], [1, true]);
	for (const command of ['show', 'history', 'status', 'members', 'backends', 'quarantine']) {
		const plain = await runCli([command], environment); // eslint-disable-line no-await-in-loop -- few at a time
		const json = await runCli([command, '--json'], environment); // eslint-disable-line no-await-in-loop -- few at a time
		assert.equal(plain.code, 0, `${command}: ${plain.stderr}`);
		assert.doesNotThrow(() => JSON.parse(json.stdout) as unknown, command);
	}

	// The reply to an append is lost. The record must be found by its id instead of being appended twice.
	log.faults.add({on: 'append', kind: 'lose_reply', times: 1});
	const appliedDespiteLostReply = await runCli(['apply', first, '--json'], environment);
	assert.equal(appliedDespiteLostReply.code, 0, appliedDespiteLostReply.stderr);
	log.faults.add({on: 'append', kind: 'refuse'});
	const unknown = await runCli(['apply', second], environment);
	assert.deepEqual([unknown.code, unknown.stderr.includes('not known whether apply')], [3, true]);
	log.faults.clear();
	const drained = await runCli(['drain'], environment);
	assert.equal(drained.code, 0);
	assert.equal(await daemon.exited, 0);
	assert.ok(callerKey.length > 0);
});
