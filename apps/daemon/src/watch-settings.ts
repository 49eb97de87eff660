/** Detects changes to the settings file. The platform may send SIGHUP after a change, but does not have to. */
import {readFileSync} from 'node:fs';
import {setTimeout as sleep} from 'node:timers/promises';
import {type FileMistake, type FileReadResult} from '@shallotpass/common/toml-file.js';

/** At the start, an invalid file is read again until this timeout, because the platform may still be writing it. */
const initialReadTimeoutMs = 3000;
const initialReadIntervalMs = 200;

/** Interval between checks for changes. Reading the file is cheap, as it has about 1 kB. */
const pollIntervalMs = 2000;

export type SettingsWatchOptions<Settings> = {
	readonly path: string;
	readonly read: (text: string) => FileReadResult<Settings>;
	readonly onChange: (settings: Settings) => void;
	/** Called when the file cannot be read or is invalid. The previous settings stay in force. */
	readonly onInvalid: (mistakes: readonly FileMistake[]) => void;
};

export type SettingsWatcher = {
	/** Checks for a change immediately. */
	readonly checkNow: () => void;
	readonly stop: () => void;
};

const readFile = <Settings>(path: string, read: (text: string) => FileReadResult<Settings>): FileReadResult<Settings> => {
	try {
		return read(readFileSync(path, 'utf8'));
	} catch (error) {
		return {kind: 'mistakes', mistakes: [{place: path, expected: 'a readable file', found: String(error)}]};
	}
};

export type InitialReadOptions<Settings> = Pick<SettingsWatchOptions<Settings>, 'path' | 'read' | 'onInvalid'> & {
	/** Aborted when the process is asked to stop: an invalid file is not read again then. */
	readonly signal: AbortSignal;
};

/**
 * Reads the settings at the start, and returns undefined if they stay invalid. The platform may start the
 * process while it still writes the file. A process that exited immediately would be unavailable to
 * callers until it is started again, and the platform would count the exit as a crash.
 */
export const readInitialSettings = async <Settings>({path, read, onInvalid, signal}: InitialReadOptions<Settings>): Promise<Settings | undefined> => {
	const deadline = performance.now() + initialReadTimeoutMs;
	let reading = readFile(path, read);
	if (reading.kind === 'mistakes') {
		onInvalid(reading.mistakes);
	}

	while (reading.kind === 'mistakes' && performance.now() < deadline && !signal.aborted) {
		await sleep(initialReadIntervalMs); // eslint-disable-line no-await-in-loop -- polls
		reading = readFile(path, read);
	}

	return reading.kind === 'read' ? reading.value : undefined;
};

export const watchSettings = <Settings>({path, read, onChange, onInvalid}: SettingsWatchOptions<Settings>): SettingsWatcher => {
	const readText = (): string | undefined => {
		try {
			return readFileSync(path, 'utf8');
		} catch (error) {
			onInvalid([{place: path, expected: 'a readable file', found: String(error)}]);
			return undefined;
		}
	};

	let lastText = readText();
	const checkNow = (): void => {
		const text = readText();
		if (text === undefined || text === lastText) {
			return;
		}

		lastText = text;
		const reading = read(text);
		if (reading.kind === 'read') {
			onChange(reading.value);
		} else {
			onInvalid(reading.mistakes);
		}
	};

	const timer = setInterval(checkNow, pollIntervalMs);
	timer.unref();
	return {
		checkNow,
		stop() {
			clearInterval(timer);
		},
	};
};
