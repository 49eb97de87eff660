import assert from 'node:assert/strict';
import {spawn, type ChildProcess} from 'node:child_process';
import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import test, {type TestContext} from 'node:test';
import {fileURLToPath} from 'node:url';
import {
	callerKey,
	hashKey,
	makeConfigurationText,
	operatorKey,
} from '@shallotpass/measure/local-fleet.js';
import {askStream, reserve} from '@shallotpass/measure/caller-client.js';
import {startEngineStandIn} from '@shallotpass/stand-ins/engine-stand-in.js';
import {startPlainServiceStandIn} from '@shallotpass/stand-ins/plain-service-stand-in.js';
import {startLogStandIn} from '@shallotpass/stand-ins/log-stand-in.js';

const root = fileURLToPath(new URL('../../', import.meta.url));

type Ran = {readonly code: number; readonly out: string; readonly errors: string};

const runTool = async (words: readonly string[], environment: Readonly<Record<string, string>> = {}): Promise<Ran> => new Promise(resolve => {
	const child = spawn(process.execPath, [path.join(root, 'apps/cli/bin/shallotpass.js'), ...words], {env: {...process.env, ...environment}});
	let out = '';
	let errors = '';
	child.stdout.on('data', chunk => {
		out += String(chunk);
	});
	child.stderr.on('data', chunk => {
		errors += String(chunk);
	});
	child.on('close', code => {
		resolve({code: code ?? -1, out, errors});
	});
});

type DaemonProcess = {
	readonly child: ChildProcess;
	readonly callers: string;
	readonly admin: string;
	readonly exited: Promise<number | undefined>;
};

const startProcess = async (t: TestContext, words: readonly string[]): Promise<DaemonProcess> => {
	const child = spawn(process.execPath, [path.join(root, 'apps/daemon/bin/shallotpassd.js'), ...words], {stdio: ['ignore', 'pipe', 'pipe']});
	t.after(() => {
		child.kill('SIGKILL');
	});
	const exited = new Promise<number | undefined>(resolve => {
		child.on('exit', code => {
			resolve(code ?? undefined);
		});
	});
	const line = await new Promise<string>((resolve, reject) => {
		let text = '';
		child.stdout.on('data', chunk => {
			text += String(chunk);
			if (text.includes('\n')) {
				resolve(text);
			}
		});
		child.on('exit', () => {
			reject(new Error(`the daemon ended before it was ready: ${text}`));
		});
	});
	const match = /^ready callers=(?<callers>\S+) admin=(?<admin>\S+) peers=\S+\n$/v.exec(line);
	assert.ok(match?.groups, line);
	return {
		child, callers: match.groups.callers!, admin: match.groups.admin!, exited,
	};
};

const makeFolder = (t: TestContext): string => {
	const folder = mkdtempSync(path.join(tmpdir(), 'shallotpass-'));
	t.after(() => {
		rmSync(folder, {recursive: true});
	});
	return folder;
};

const writeSettings = (folder: string, name: string, extra = ''): string => {
	const file = path.join(folder, `${name}.toml`);
	writeFileSync(file, `
[instance]
id = "${name}"
availability_zone = "zone-1"

[peers]
keys = ["a shared key of the peers"]

[[admin_key]]
name = "night-shift"
sha256 = "${hashKey(operatorKey)}"
role = "operator"

[[admin_key]]
name = "guest"
sha256 = "${hashKey('the-key-of-the-guest')}"
role = "viewer"
${extra}`);
	return file;
};

const makeConfigurationFile = (folder: string, engine: string, service: string, note = 'first'): string => {
	const file = path.join(folder, `${note}.toml`);
	writeFileSync(file, `${makeConfigurationText(note)}
[[backend]]
id = "engine-1"
address = "${engine}"
availability_zone = "zone-1"
services = ["assistant"]

[[backend]]
id = "reservations-1"
address = "${service}"
availability_zone = "zone-1"
services = ["reservations"]
`);
	return file;
};

test('a daemon on its own serves its first configuration, and a planned stop cuts nothing off', async t => {
	// An operator replaces an instance while a long answer streams and a reservation runs. Both
	// callers get all of their answer, the balancer sees the instance leave at once, and the
	// process ends by itself with 0.
	const folder = makeFolder(t);
	const engine = await startEngineStandIn({models: ['assistant-7b'], parameters: {stepMs: 10}});
	const service = await startPlainServiceStandIn();
	t.after(async () => Promise.all([engine.close(), service.close()]));
	const configuration = makeConfigurationFile(folder, engine.address, service.address);
	const daemon = await startProcess(t, ['--settings', writeSettings(folder, 'entry-1'), '--configuration', configuration]);
	let started: () => void;
	const running = new Promise<void>(resolve => {
		started = resolve;
	});
	const streaming = askStream({
		address: daemon.callers, marker: 'long', tokens: 200, onToken() {
			started();
		},
	});
	await running;
	service.faults.add({
		on: 'call', kind: 'delay', delayMs: 1500, times: 1,
	});
	const reserving = reserve({address: daemon.callers, key: 'order-1', body: '{}'});
	while (service.executions.length === 0) {
		await new Promise(resolve => { // eslint-disable-line no-await-in-loop -- polls
			setTimeout(resolve, 5);
		});
	}

	daemon.child.kill('SIGTERM');
	await new Promise(resolve => {
		setTimeout(resolve, 100);
	});
	const ready = await fetch(`http://${daemon.admin}/readyz`);
	assert.equal(ready.status, 503);
	const [answer, reservation] = await Promise.all([streaming, reserving]);
	assert.equal(answer.isWhole, true);
	assert.equal(reservation.status, 200);
	assert.equal(await daemon.exited, 0);
});

type UsageCase = {readonly name: string; readonly words: readonly string[]; readonly code: number; readonly says: RegExp};

const usageCases: readonly UsageCase[] = [
	{
		name: 'no command', words: [], code: 2, says: /no command is given/v,
	},
	{
		name: 'an unknown command', words: ['aply'], code: 2, says: /there is no command aply/v,
	},
	{
		name: 'no file', words: ['check'], code: 2, says: /file/iv,
	},
	{
		name: 'a file that is not there', words: ['check', '/nowhere.toml'], code: 2, says: /nowhere\.toml: cannot be read/v,
	},
	{
		name: 'no daemon named', words: ['status'], code: 2, says: /no daemon is named/v,
	},
	{
		name: 'a daemon that does not answer', words: ['status', '--admin', 'http://127.0.0.1:9', '--key', 'x'], code: 3, says: /does not answer/v,
	},
	{
		name: 'a base that is no number', words: ['apply', 'x.toml', '--base', 'three', '--admin', 'http://127.0.0.1:9', '--key', 'x'], code: 2, says: /--base must be a version/v,
	},
];

test('the tool tells wrong use and unreachable daemons apart by its exit code', async () => {
	const results = await Promise.all(usageCases.map(async ({words}) => runTool(words)));
	for (const [index, {name, code, says}] of usageCases.entries()) {
		assert.equal(results[index]!.code, code, `${name}: ${results[index]!.errors}`);
		assert.match(results[index]!.errors, says, name);
	}
});

test('the daemon refuses settings with mistakes, naming file, key, expectation and finding', async t => {
	const folder = makeFolder(t);
	const file = writeSettings(folder, 'entry-1', '[limits]\nmax_conections = 3\n');
	await assert.rejects(startProcess(t, ['--settings', file]));
	const child = spawn(process.execPath, [path.join(root, 'apps/daemon/bin/shallotpassd.js'), '--settings', file]);
	let errors = '';
	child.stderr.on('data', chunk => {
		errors += String(chunk);
	});
	const code = await new Promise(resolve => {
		child.on('exit', resolve);
	});
	assert.equal(code, 2);
	assert.match(errors, /entry-1\.toml: limits\.max_conections: expected a known key; did you mean max_connections\?, found max_conections/v);
});

test('an operator checks, plans, applies, races and looks, all through the tool', async t => {
	const folder = makeFolder(t);
	const engine = await startEngineStandIn({models: ['assistant-7b']});
	const service = await startPlainServiceStandIn();
	const log = await startLogStandIn();
	t.after(async () => Promise.all([engine.close(), service.close(), log.close()]));
	const daemon = await startProcess(t, ['--settings', writeSettings(folder, 'entry-1', `[platform]\nlog = "${log.url}"\n`)]);
	const environment = {SHALLOTPASS_ADMIN: `http://${daemon.admin}`, SHALLOTPASS_KEY: operatorKey};
	const first = makeConfigurationFile(folder, engine.address, service.address, 'first');
	const second = makeConfigurationFile(folder, engine.address, '127.0.0.1:9', 'second');

	const checked = await runTool(['check', first]);
	assert.equal(checked.code, 0);
	const applied = await runTool(['apply', first, '--wait', '--json'], environment);
	assert.equal(applied.code, 0, applied.errors);
	const {version, isInForce, zones} = JSON.parse(applied.out) as {version: number; isInForce: boolean; zones: Record<string, {members: number}>};
	assert.deepEqual([version, isInForce, zones['zone-1']?.members], [0, true, 1]);
	const planned = await runTool(['plan', second, '--json'], environment);
	assert.deepEqual(JSON.parse(planned.out), {base: 0, changes: [{table: 'backend', name: 'reservations-1', change: 'changed'}]});

	// Two operators work from the same version; the slower one must not undo the other's file.
	const race = await Promise.all([
		runTool(['apply', second, '--base', '0', '--json'], environment),
		runTool(['apply', first, '--base', '0', '--json'], environment),
	]);
	assert.deepEqual(race.map(result => result.code).toSorted((left, right) => left - right), [0, 1]);
	assert.match(race.find(result => result.code === 1)!.errors, /version 0; version \d is accepted/v);

	const viewer = await runTool(['apply', first], {...environment, SHALLOTPASS_KEY: 'the-key-of-the-guest'});
	assert.deepEqual([viewer.code, viewer.errors.includes('needs operator')], [1, true]);
	for (const command of ['show', 'history', 'status', 'members', 'backends', 'quarantine']) {
		const plain = await runTool([command], environment); // eslint-disable-line no-await-in-loop -- few at a time
		const json = await runTool([command, '--json'], environment); // eslint-disable-line no-await-in-loop -- few at a time
		assert.equal(plain.code, 0, `${command}: ${plain.errors}`);
		assert.doesNotThrow(() => JSON.parse(json.out) as unknown, command);
	}

	// The reply to an append is lost. The tool finds the record by its id instead of applying twice.
	log.faults.add({on: 'append', kind: 'lose_reply', times: 1});
	const lost = await runTool(['apply', first, '--json'], environment);
	assert.equal(lost.code, 0, lost.errors);
	log.faults.add({on: 'append', kind: 'refuse'});
	const unknown = await runTool(['apply', second], environment);
	assert.deepEqual([unknown.code, unknown.errors.includes('not known whether apply')], [3, true]);
	log.faults.clear();
	const drained = await runTool(['drain'], environment);
	assert.equal(drained.code, 0);
	assert.equal(await daemon.exited, 0);
	assert.ok(callerKey.length > 0);
});
