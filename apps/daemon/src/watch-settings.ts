/** Notices that the settings file has changed: the platform may say so by SIGHUP, or change it without a word. */
import {readFileSync} from 'node:fs';
import {setTimeout as sleep} from 'node:timers/promises';
import {type FileMistake, type FileReading} from '@shallotpass/common/toml-file.js';

/** A file that is being written is whole again after a moment: until so long after the start it is read again, each time after a pause, in milliseconds. */
const settleMs = 3000;
const settlePauseMs = 200;

/** Between two looks at the file, in milliseconds; it has 1 kB. */
const lookEveryMs = 2000;

export type SettingsWatch<Settings> = {
	readonly path: string;
	readonly read: (text: string) => FileReading<Settings>;
	readonly onChange: (settings: Settings) => void;
	/** The file cannot be read or has mistakes: what was in force stays. */
	readonly onRefusal: (mistakes: readonly FileMistake[]) => void;
};

export type SettingsWatcher = {
	/** Looks at once. */
	readonly look: () => void;
	readonly stop: () => void;
};

const readFile = <Settings>(path: string, read: (text: string) => FileReading<Settings>): FileReading<Settings> => {
	try {
		return read(readFileSync(path, 'utf8'));
	} catch (error) {
		return {kind: 'mistakes', mistakes: [{place: path, expected: 'a readable file', found: String(error)}]};
	}
};

export type FirstReading<Settings> = Pick<SettingsWatch<Settings>, 'path' | 'read' | 'onRefusal'>;

/**
 * Reads the settings at the start; undefined when they stay wrong. The platform may start a process
 * while it writes the file: one that ended at once would be missed by callers until it is started
 * again, and counts as a process that ends by itself.
 */
export const readFirstSettings = async <Settings>({path, read, onRefusal}: FirstReading<Settings>): Promise<Settings | undefined> => {
	const giveUpAt = performance.now() + settleMs;
	let reading = readFile(path, read);
	if (reading.kind === 'mistakes') {
		onRefusal(reading.mistakes);
	}

	while (reading.kind === 'mistakes' && performance.now() < giveUpAt) {
		await sleep(settlePauseMs); // eslint-disable-line no-await-in-loop -- a poll
		reading = readFile(path, read);
	}

	return reading.kind === 'read' ? reading.value : undefined;
};

export const watchSettings = <Settings>({path, read, onChange, onRefusal}: SettingsWatch<Settings>): SettingsWatcher => {
	const readText = (): string | undefined => {
		try {
			return readFileSync(path, 'utf8');
		} catch (error) {
			onRefusal([{place: path, expected: 'a readable file', found: String(error)}]);
			return undefined;
		}
	};

	let known = readText();
	const look = (): void => {
		const text = readText();
		if (text === undefined || text === known) {
			return;
		}

		known = text;
		const reading = read(text);
		if (reading.kind === 'read') {
			onChange(reading.value);
		} else {
			onRefusal(reading.mistakes);
		}
	};

	const timer = setInterval(look, lookEveryMs);
	timer.unref();
	return {
		look,
		stop() {
			clearInterval(timer);
		},
	};
};
