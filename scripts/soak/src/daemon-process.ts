/** Runs one daemon as a child process with its own settings file. Signals are sent only to processes started here. */
import {type ChildProcess, spawn} from 'node:child_process';
import {createWriteStream, renameSync, writeFileSync} from 'node:fs';
import path from 'node:path';
import process from 'node:process';
import {type GatewaySettings} from '@shallotpass/gateway/gateway-settings.js';
import {formatSettings} from '@shallotpass/platform/stand-ins/bundle-process.js';
import {
	type DaemonLinks, type DatagramFaults, noDatagramFaults, toDatagramFaultsPath,
} from './daemon-links.js';

const root = path.resolve(import.meta.dirname, '../../..');
const bundlePath = path.join(root, 'target/shallotpassd.mjs');
const clockModule = path.join(import.meta.dirname, 'shifted-clock.js');
const linksModule = path.join(import.meta.dirname, 'daemon-links.js');

/** Delay before a process that exited unexpectedly is restarted, as the platform does. */
const restartDelayMs = 500;

export type DaemonProcess = {
	readonly id: string;
	readonly settings: GatewaySettings;
	/** Returns the number of exits that were not requested, except those caused by SIGHUP during the startup of Node.js. */
	readonly countUnexpectedExits: () => number;
	readonly isRunning: () => boolean;
	readonly start: () => void;
	readonly send: (signal: NodeJS.Signals) => void;
	/** Sends the signal and waits until the process has exited. */
	readonly end: (signal: 'SIGTERM' | 'SIGKILL') => Promise<void>;
	readonly setClock: (offsetMs: number) => void;
	/** Sets the clock with which the process starts from now on. A process that runs keeps its own. */
	readonly setClockAtStart: (offsetMs: number) => void;
	readonly setLinks: (links: DaemonLinks) => void;
	readonly setDatagramFaults: (faults: DatagramFaults) => void;
	/** Writes the settings file, either complete or truncated. */
	readonly writeSettings: (how: 'whole' | 'cut_short', comment?: string) => void;
};

export const makeDaemonProcess = (settings: GatewaySettings, folder: string): DaemonProcess => {
	const {id} = settings.instance;
	const settingsPath = path.join(folder, `${id}.toml`);
	const clockPath = path.join(folder, `${id}.clock`);
	const linksPath = path.join(folder, `${id}.links`);
	const log = createWriteStream(path.join(folder, `${id}.log`), {flags: 'a'});
	/** Whether the process has not been started yet. */
	let isFirstStart = true;
	const formatCurrentSettings = (): string => formatSettings({...settings, instance: {...settings.instance, firstStart: isFirstStart}});
	const writeSettings: DaemonProcess['writeSettings'] = (how, comment = '') => {
		const text = formatCurrentSettings();
		writeFileSync(settingsPath, how === 'whole' ? `# ${comment}\n${text}` : text.slice(0, text.length / 3));
	};

	let child: ChildProcess | undefined;
	/** Whether the current process has written output, so its signal handlers are installed. */
	let hasWrittenOutput = false;
	let isClockStepPending = false;
	/** Makes the process read its clock offset. Before its handler is installed, the signal would terminate it. */
	const sendClockStep = (): void => {
		isClockStepPending = !hasWrittenOutput;
		if (hasWrittenOutput) {
			child?.kill('SIGUSR2');
		}
	};

	/** Whether the next exit was requested. */
	let isExitExpected = false;
	let unexpectedExits = 0;
	let restartTimer: NodeJS.Timeout | undefined;
	/** Replaces a file as a whole, because the daemon may read it at any time. */
	const replaceFile = (path: string, content: unknown): void => {
		writeFileSync(`${path}.new`, JSON.stringify(content));
		renameSync(`${path}.new`, path);
	};

	const setLinks: DaemonProcess['setLinks'] = links => {
		replaceFile(linksPath, links);
	};

	const setDatagramFaults: DaemonProcess['setDatagramFaults'] = faults => {
		replaceFile(toDatagramFaultsPath(linksPath), faults);
	};

	const setClockAtStart: DaemonProcess['setClockAtStart'] = offsetMs => {
		replaceFile(clockPath, offsetMs);
	};

	setClockAtStart(0);
	setLinks({relays: {}});
	setDatagramFaults(noDatagramFaults);
	writeSettings('whole');

	const start = (): void => {
		isExitExpected = false;
		writeSettings('whole');
		isFirstStart = false;
		const spawned = spawn(process.execPath, ['--import', clockModule, '--import', linksModule, bundlePath], {
			env: {
				...process.env,
				// eslint-disable-next-line @typescript-eslint/naming-convention -- environment variables
				SHALLOTPASS_CONFIG: settingsPath, SHIFTED_CLOCK_FILE: clockPath, DAEMON_LINKS_FILE: linksPath,
			},
			stdio: ['ignore', 'pipe', 'pipe'],
		});
		spawned.stdout.pipe(log, {end: false});
		spawned.stderr.pipe(log, {end: false});
		hasWrittenOutput = false;
		spawned.stdout.once('data', () => {
			hasWrittenOutput = true;
			if (isClockStepPending) {
				sendClockStep();
			}
		});
		spawned.once('exit', (_code, signal) => {
			child = undefined;
			if (!isExitExpected) {
				// SIGHUP terminates a process in which Node.js has not yet loaded any module, which a program cannot
				// prevent. It was observed 3 to 323 ms after the start, and after a suspension during that time.
				const isDuringNodeStartup = signal === 'SIGHUP' && !hasWrittenOutput;
				unexpectedExits += isDuringNodeStartup ? 0 : 1;
				restartTimer = setTimeout(start, restartDelayMs);
			}
		});
		child = spawned;
	};

	return {
		id,
		settings,
		countUnexpectedExits: () => unexpectedExits,
		isRunning: () => child !== undefined,
		start,
		send(signal) {
			child?.kill(signal);
		},
		async end(signal) {
			clearTimeout(restartTimer);
			isExitExpected = true;
			const exitingChild = child;
			if (exitingChild === undefined) {
				return;
			}

			const exited = new Promise<void>(resolve => {
				exitingChild.once('exit', () => {
					resolve();
				});
			});
			exitingChild.kill(signal);
			await exited;
		},
		setClock(offsetMs) {
			setClockAtStart(offsetMs);
			sendClockStep();
		},
		setClockAtStart,
		setLinks,
		setDatagramFaults,
		writeSettings,
	};
};
