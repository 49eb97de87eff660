/** Daemons of the own interface as processes of their own, with settings and configurations in files. */
import assert from 'node:assert/strict';
import {spawn, type ChildProcess} from 'node:child_process';
import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {type TestContext} from 'node:test';
import {fileURLToPath} from 'node:url';
import {hashKey, makeConfigurationText, operatorKey} from '@shallotpass/measure/local-fleet.js';

export const root = fileURLToPath(new URL('../../', import.meta.url));

export type DaemonProcess = {
	readonly child: ChildProcess;
	readonly callers: string;
	readonly admin: string;
	readonly peers: string;
	readonly exited: Promise<number | undefined>;
};

/** Starts a daemon process and waits until it reports its addresses. */
export const startDaemonProcess = async (t: TestContext, cliArguments: readonly string[], nodeArguments: readonly string[] = []): Promise<DaemonProcess> => {
	const child = spawn(process.execPath, [...nodeArguments, path.join(root, 'apps/daemon/bin/shallotpassd.js'), ...cliArguments], {stdio: ['ignore', 'pipe', 'pipe']});
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
	const match = /^ready callers=(?<callers>\S+) admin=(?<admin>\S+) peers=(?<peers>\S+)\n$/v.exec(line);
	assert.ok(match?.groups, line);
	return {
		child, callers: match.groups.callers!, admin: match.groups.admin!, peers: match.groups.peers!, exited,
	};
};

export const makeTemporaryFolder = (t: TestContext): string => {
	const folder = mkdtempSync(path.join(tmpdir(), 'shallotpass-'));
	t.after(() => {
		rmSync(folder, {recursive: true});
	});
	return folder;
};

export const writeSettings = (folder: string, name: string, extra = ''): string => {
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

export const makeConfigurationFile = (folder: string, engine: string, service: string, name = 'first'): string => {
	const file = path.join(folder, `${name}.toml`);
	writeFileSync(file, `${makeConfigurationText(name)}
[[backend]]
id = "engine-1"
address = "${engine}"
availability_zone = "zone-1"
services = ["assistant"]

[[backend]]
id = "reservations-1"
address = "${service}"
availability_zone = "zone-1"
services = ["reservations", "catalogue"]
`);
	return file;
};
