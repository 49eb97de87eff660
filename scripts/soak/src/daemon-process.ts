/** One daemon as a process of its own, with its settings file; only processes that were started here are ever signalled. */
import {type ChildProcess, spawn} from 'node:child_process';
import {createWriteStream, writeFileSync} from 'node:fs';
import path from 'node:path';
import process from 'node:process';
import {stringify} from 'smol-toml';
import {type GatewaySettings} from '@shallotpass/gateway/gateway-settings.js';

const root = path.resolve(import.meta.dirname, '../../..');
const program = path.join(root, 'target/shallotpassd.mjs');
const clockModule = path.join(import.meta.dirname, 'shifted-clock.js');

/** The platform starts a process that has ended again after such a pause, in milliseconds. */
const restartMs = 500;

export type DaemonProcess = {
	readonly id: string;
	readonly settings: GatewaySettings;
	/** How often it ended though nobody had stopped or killed it, and no signal came before it ran. */
	readonly countOwnEnds: () => number;
	readonly isRunning: () => boolean;
	readonly start: () => void;
	readonly send: (signal: NodeJS.Signals) => void;
	/** Sends the signal and waits until the process is gone. */
	readonly end: (signal: 'SIGTERM' | 'SIGKILL') => Promise<void>;
	readonly setClock: (offsetMs: number) => void;
	/** Writes the settings file: whole, or cut short. */
	readonly writeSettings: (how: 'whole' | 'cut_short', remark?: string) => void;
};

const toSnakeCase = (name: string): string => name.replaceAll(/[A-Z]/gv, letter => `_${letter.toLowerCase()}`);

const withSnakeCase = (value: unknown): unknown => typeof value === 'object' && value !== null && !Array.isArray(value)
	? Object.fromEntries(Object.entries(value).map(([name, inner]) => [toSnakeCase(name), withSnakeCase(inner)]))
	: value;

export const openDaemonProcess = (settings: GatewaySettings, folder: string): DaemonProcess => {
	const {id} = settings.instance;
	const settingsPath = path.join(folder, `${id}.toml`);
	const clockPath = path.join(folder, `${id}.clock`);
	const log = createWriteStream(path.join(folder, `${id}.log`), {flags: 'a'});
	const text = stringify(withSnakeCase(settings));
	const writeSettings: DaemonProcess['writeSettings'] = (how, remark = '') => {
		writeFileSync(settingsPath, how === 'whole' ? `# ${remark}\n${text}` : text.slice(0, text.length / 3));
	};

	let child: ChildProcess | undefined;
	/** Whether the end that comes next was asked for. */
	let isEnding = false;
	let ownEnds = 0;
	let restartTimer: NodeJS.Timeout | undefined;
	writeSettings('whole');

	const start = (): void => {
		isEnding = false;
		const started = spawn(process.execPath, ['--import', clockModule, program], {
			// eslint-disable-next-line @typescript-eslint/naming-convention -- environment variables
			env: {...process.env, SHALLOTPASS_CONFIG: settingsPath, SHIFTED_CLOCK_FILE: clockPath},
			stdio: ['ignore', 'pipe', 'pipe'],
		});
		started.stdout.pipe(log, {end: false});
		started.stderr.pipe(log, {end: false});
		let hasSpoken = false;
		started.stdout.once('data', () => {
			hasSpoken = true;
		});
		started.once('exit', (_code, signal) => {
			child = undefined;
			if (!isEnding) {
				// A SIGHUP that comes while Node itself starts, before it runs any module, ends the process, and
				// no program can prevent it: seen 3 to 323 ms after the start, and after a suspension in that time.
				const isTooEarly = signal === 'SIGHUP' && !hasSpoken;
				ownEnds += isTooEarly ? 0 : 1;
				restartTimer = setTimeout(start, restartMs);
			}
		});
		child = started;
	};

	return {
		id,
		settings,
		countOwnEnds: () => ownEnds,
		isRunning: () => child !== undefined,
		start,
		send(signal) {
			child?.kill(signal);
		},
		async end(signal) {
			clearTimeout(restartTimer);
			isEnding = true;
			const ending = child;
			if (ending === undefined) {
				return;
			}

			const gone = new Promise<void>(resolve => {
				ending.once('exit', () => {
					resolve();
				});
			});
			ending.kill(signal);
			await gone;
		},
		setClock(offsetMs) {
			writeFileSync(clockPath, String(offsetMs));
			child?.kill('SIGUSR2');
		},
		writeSettings,
	};
};
